//! Which requests are refused when a queue fills up.
//!
//! Each priority level may fill the queue up to a limit of its own, so requests
//! of the last level are refused while there are still slots for the first.
//! Requests that already wait are refused only in favour of a more urgent one,
//! or when they cannot start before their deadline.

use ward_protocol::{PolicyValues, PriorityLevel, TimeSpan};

const FULL_PERCENT: u64 = 100;

/// A request that waits in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Priority of the request; a lower level is more urgent.
    pub priority: PriorityLevel,
    /// Time until the deadline of the request.
    pub time_left: TimeSpan,
    /// Time until the request could start.
    pub start_in: TimeSpan,
}

/// Whether a queue admits a request of this priority when `waiting` of its `limit` slots are
/// taken.
#[must_use]
pub fn admits_priority(
    priority: PriorityLevel,
    waiting: u32,
    limit: u32,
    values: &PolicyValues,
) -> bool {
    let base_percent = u64::from(values.refuse_from_percent).min(FULL_PERCENT);
    let last = u64::from(PriorityLevel::LAST.level());
    let urgency = last - u64::from(priority.level());
    let percent = base_percent + (FULL_PERCENT - base_percent) * urgency / last;
    u64::from(waiting) * FULL_PERCENT < u64::from(limit) * percent
}

/// The index of the waiting request to refuse in favour of one with priority `arriving`;
/// `None` if all can start in time and are at least as urgent.
///
/// Requests that cannot start before their deadline are refused first, then
/// those of the lowest priority, then those with the most time left, because
/// their callers have the most time for a retry.
#[must_use]
pub fn request_to_refuse(waiting: &[WaitingRequest], arriving: PriorityLevel) -> Option<usize> {
    waiting
        .iter()
        .enumerate()
        .filter(|(_, request)| request.start_in > request.time_left || request.priority > arriving)
        .max_by_key(|(_, request)| {
            let too_late = request.start_in > request.time_left;
            (too_late, request.priority, request.time_left)
        })
        .map(|(index, _)| index)
}
