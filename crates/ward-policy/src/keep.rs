//! How long an idle replica is kept.

use ward_protocol::{MonoTime, PolicyValues, TimeSpan};

/// What is known of the gaps between a model's requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GapHistory {
    last: Option<MonoTime>,
}

impl GapHistory {
    /// Notes that a request came.
    pub fn observe(&mut self, now: MonoTime) {
        self.last = Some(now);
    }

    /// How long to keep the replica after its last request, given the time of a cold load.
    #[must_use]
    pub fn keep_time(&self, values: &PolicyValues, load: TimeSpan) -> TimeSpan {
        load.clamp(values.keep_shortest, values.keep_longest)
    }
}
