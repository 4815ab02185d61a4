//! Lists the waiting and running requests for operators.

use std::sync::Arc;

use tokio::time::Instant;
use ward_protocol::{BackendId, PriorityLevel, RequestId, RowTarget, TimeSpan};

use super::wait_list::WaitList;
use super::waiter::{SlotPermit, WaitRequest};

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryPhase {
    /// In the queue, without a slot.
    Waiting,
    /// Has a slot and no answer yet.
    Running,
    /// The answer is being sent to the caller.
    Answering,
}

/// One waiting or running request in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestEntry {
    /// Id of the request.
    pub request: RequestId,
    /// Row of the plan that serves the request.
    pub target: RowTarget,
    /// Whether it waits, runs or is being answered.
    pub phase: EntryPhase,
    /// Priority in the queue.
    pub priority: PriorityLevel,
    /// Time since the request arrived, or since its stream was moved or run again.
    pub age: TimeSpan,
    /// Time left until the deadline; zero once it has passed.
    pub time_left: TimeSpan,
    /// Backend server that runs it; `None` while it waits.
    pub backend: Option<BackendId>,
    /// Whether the request may run at most once.
    pub once: bool,
}

/// Request that holds a slot.
#[derive(Debug)]
pub(super) struct RunningRequest {
    pub(super) request: WaitRequest,
    pub(super) backend: BackendId,
    pub(super) answering: bool,
}

impl RequestEntry {
    pub(super) fn waiting(request: &WaitRequest, now: Instant) -> Self {
        Self {
            request: request.request,
            target: request.target.clone(),
            phase: EntryPhase::Waiting,
            priority: request.priority,
            age: now.duration_since(request.terms.arrived).into(),
            time_left: request.terms.deadline.duration_since(now).into(),
            backend: None,
            once: request.once,
        }
    }

    pub(super) fn running(running: &RunningRequest, now: Instant) -> Self {
        let phase = if running.answering {
            EntryPhase::Answering
        } else {
            EntryPhase::Running
        };
        Self {
            phase,
            backend: Some(running.backend.clone()),
            ..Self::waiting(&running.request, now)
        }
    }
}

impl WaitList {
    /// All waiting and running requests, oldest first.
    #[must_use]
    pub fn requests(&self) -> Vec<RequestEntry> {
        let now = Instant::now();
        let state = self.lock();
        let running = state.running.values();
        let running = running.map(|running| RequestEntry::running(running, now));
        let waiting = state.queues.values().flat_map(|queue| queue.values());
        let waiting = waiting.map(|waiter| RequestEntry::waiting(&waiter.request, now));
        let mut entries: Vec<_> = running.chain(waiting).collect();
        drop(state);
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.age));
        entries
    }
}

impl SlotPermit {
    /// Records that the answer is being sent to the caller.
    pub fn mark_answering(&self) {
        let Some(list) = self.list.upgrade() else {
            return;
        };
        list.mark_answering(self.slot);
    }
}

impl WaitList {
    fn mark_answering(self: &Arc<Self>, slot: u64) {
        if let Some(running) = self.lock().running.get_mut(&slot) {
            running.answering = true;
        }
    }
}
