//! Ages since the last request at which a replica should be loaded.

use ward_protocol::TimeSpan;

/// A range of ages at which a replica should be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmSpan {
    /// Start.
    pub from: TimeSpan,
    /// End.
    pub until: TimeSpan,
}

/// When an idle replica should be loaded, by age since the last request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WarmSchedule {
    spans: Vec<WarmSpan>,
}

impl WarmSchedule {
    /// A schedule from disjoint spans in order.
    #[must_use]
    pub const fn new(spans: Vec<WarmSpan>) -> Self {
        Self { spans }
    }

    /// A schedule that keeps a replica up to an age.
    #[must_use]
    pub fn keep(until: TimeSpan) -> Self {
        let from = TimeSpan::ZERO;
        Self::new(vec![WarmSpan { from, until }])
    }

    /// Until which age a replica of this age is kept; nothing when it may go.
    ///
    /// A replica whose next span starts within `reload` is not worth dropping.
    #[must_use]
    pub fn kept_until(&self, age: TimeSpan, reload: TimeSpan) -> Option<TimeSpan> {
        let covers = |span: &&WarmSpan| span.from <= age + reload && age < span.until;
        self.spans.iter().find(covers).map(|span| span.until)
    }

    /// The next age at which a replica that is not loaded should answer.
    #[must_use]
    pub fn next_start(&self, age: TimeSpan) -> Option<TimeSpan> {
        let later = |from: &TimeSpan| *from > age;
        self.spans.iter().map(|span| span.from).find(later)
    }
}
