//! Whether a waiting request may put off its load.

use ward_protocol::{PolicyValues, PriorityLevel, TimeSpan};

/// A request for a model without a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlackView {
    /// Its priority.
    pub priority: PriorityLevel,
    /// Time that it has waited.
    pub waited: TimeSpan,
    /// Time until its deadline.
    pub time_left: TimeSpan,
    /// Time until a replica would answer if it were ordered now.
    pub load_time: TimeSpan,
    /// Time that the request itself takes.
    pub service_time: TimeSpan,
}

/// How long the load may be put off; nothing when it must be ordered now.
///
/// The delay ends in time for a load with twice the expected start, because
/// a quiet store may have become busy by then.
#[must_use]
pub fn max_load_delay(view: &SlackView, values: &PolicyValues) -> Option<TimeSpan> {
    if view.priority < values.slack_from {
        return None;
    }
    let needed = view.load_time + view.load_time + view.service_time;
    let spare = view.time_left.duration().checked_sub(needed.duration())?;
    let allowed = values
        .slack_longest
        .duration()
        .checked_sub(view.waited.duration())?;
    let delay = TimeSpan::from(spare.min(allowed));
    (delay > TimeSpan::ZERO).then_some(delay)
}
