//! How long a waiting request may postpone the load of its model.

use ward_protocol::{PolicyValues, PriorityLevel, TimeSpan};

/// A waiting request for a model that has no replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlackView {
    /// Priority of the request.
    pub priority: PriorityLevel,
    /// Time that the request has waited so far.
    pub waited: TimeSpan,
    /// Time until the deadline of the request.
    pub time_left: TimeSpan,
    /// Time until a replica would answer if it were ordered now.
    pub load_time: TimeSpan,
    /// Time that the engine takes to run the request.
    pub service_time: TimeSpan,
}

/// How long the load may be postponed; `None` when it must be ordered now.
///
/// The delay leaves time for a load that takes twice as long as expected,
/// because a weight store that is idle now may be busy by then.
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
