//! Admission control: whether a request may enter the queue.

use ward_protocol::{ResultCode, RoutingView, TimeSpan, WallTime};

use super::decision::{WaitDecision, decide_wait};
use super::slots::ready_backends;
use super::state::WaitState;
use super::waiter::{QueuePosition, WaitDelivery, WaitRequest};
use crate::problem::ProblemReport;

/// A request is refused if its expected wait exceeds this multiple of the time
/// left. The margin is there because the duration of requests varies.
const WAIT_MARGIN: u32 = 2;

/// Refuses a request that cannot start in time according to the view.
pub(super) fn check_start(view: &RoutingView, request: &WaitRequest) -> Result<(), ProblemReport> {
    let deadline = request.terms.wall_deadline;
    match decide_wait(view, &request.target, deadline, WallTime::now()) {
        WaitDecision::Wait => Ok(()),
        WaitDecision::Refuse(report) => Err(report),
    }
}

/// Refuses a request at once if a slot is unlikely to become free in time.
pub(super) fn check_expected_wait(
    state: &WaitState,
    view: &RoutingView,
    request: &WaitRequest,
    position: QueuePosition,
    per_replica: u32,
) -> Result<(), ProblemReport> {
    let replicas = ready_backends(view, &request.target).count();
    let replicas = u32::try_from(replicas).unwrap_or(u32::MAX);
    let slots = replicas.saturating_mul(per_replica);
    let expected = state.expected_wait(&request.target, position, slots);
    let Some(wait) = expected.filter(|wait| *wait > request.terms.time_left() * WAIT_MARGIN) else {
        return Ok(());
    };
    let wait = TimeSpan::from_millis(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    let detail = format!("the requests ahead should take {wait}, more than the time limit");
    Err(ProblemReport::refused(ResultCode::TooLate, detail).with_retry_after(wait))
}

/// Makes room for one more request in a queue of at most `max_waiting`, by evicting
/// a less urgent one if the queue is full.
pub(super) fn make_room(
    state: &mut WaitState,
    position: QueuePosition,
    max_waiting: usize,
) -> Result<Option<WaitDelivery>, ProblemReport> {
    if state.count() < max_waiting {
        return Ok(None);
    }
    match state.evict_less_urgent(position) {
        Some(delivery) => Ok(Some(delivery)),
        None => Err(ProblemReport::refused(
            ResultCode::QueueFull,
            format!("{} requests wait already", state.count()),
        )),
    }
}
