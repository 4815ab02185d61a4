//! Who is refused first when there is more work than room.
//!
//! Each priority level may fill the queue up to a mark of its own, so the last
//! level is refused while there is still room for the first. Requests that
//! already wait are refused only in favour of a more urgent one.

use ward_protocol::{PolicyValues, PriorityLevel, TimeSpan};

const FULL_PERCENT: u64 = 100;

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Its priority.
    pub priority: PriorityLevel,
    /// Time until its deadline.
    pub time_left: TimeSpan,
    /// Time until it could start.
    pub start_in: TimeSpan,
}

/// Whether a queue with `waiting` of `limit` places takes a request of this priority.
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

/// The waiting request to refuse in favour of one with priority `arriving`.
///
/// One that cannot start in time goes first, then the lowest priority, then the
/// one with the most time left, whose caller can best come back.
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
