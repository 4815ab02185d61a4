//! The periods after a model's last request in which a replica should be loaded.

use ward_protocol::TimeSpan;

/// A period in which a replica should be loaded, as time since the last request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmSpan {
    /// Start of the period.
    pub from: TimeSpan,
    /// End of the period, not part of it.
    pub until: TimeSpan,
}

/// The periods in which an idle replica should be loaded.
///
/// An age is the time since the last request for the model.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WarmSchedule {
    spans: Vec<WarmSpan>,
}

impl WarmSchedule {
    /// A schedule from disjoint spans in ascending order.
    #[must_use]
    pub const fn new(spans: Vec<WarmSpan>) -> Self {
        Self { spans }
    }

    /// A schedule that keeps a replica from its last request up to an age.
    #[must_use]
    pub fn keep(until: TimeSpan) -> Self {
        let from = TimeSpan::ZERO;
        Self::new(vec![WarmSpan { from, until }])
    }

    /// The age until which a replica of this age is kept; `None` when it may be unloaded.
    ///
    /// A replica whose next span starts within `reload` is kept, because unloading it
    /// would save less than loading it again costs.
    #[must_use]
    pub fn kept_until(&self, age: TimeSpan, reload: TimeSpan) -> Option<TimeSpan> {
        let covers = |span: &&WarmSpan| span.from <= age + reload && age < span.until;
        self.spans.iter().find(covers).map(|span| span.until)
    }

    /// The next age at which a replica that is not loaded should be ready; `None` from the
    /// start of the last span on.
    #[must_use]
    pub fn next_start(&self, age: TimeSpan) -> Option<TimeSpan> {
        let later = |from: &TimeSpan| *from > age;
        self.spans.iter().map(|span| span.from).find(later)
    }
}
