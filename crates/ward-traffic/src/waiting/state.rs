//! State of the queues and slots, protected by one lock.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;
use ward_protocol::{
    BackendId, PriorityLevel, ReplicaKey, ResultCode, RoutingView, RowTarget, WakeHint,
};

use super::hold::HoldTime;
use super::listing::RunningRequest;
use super::slots::ReplicaSlots;
use super::waiter::{QueuePosition, WaitDelivery, WaitRequest, Waiter};
use crate::problem::ProblemReport;

/// Waiting requests of one target, most urgent first.
pub(super) type WaitQueue = BTreeMap<QueuePosition, Waiter>;

/// Queues, slots and running requests.
#[derive(Debug, Default)]
pub(super) struct WaitState {
    pub(super) queues: IndexMap<RowTarget, WaitQueue>,
    pub(super) slots: ReplicaSlots,
    /// Requests that hold a slot, by the number of the slot.
    pub(super) running: IndexMap<u64, RunningRequest>,
    /// Replicas that got requests since the last notices were sent.
    pub(super) used: IndexMap<ReplicaKey, WakeHint>,
    hold_times: IndexMap<RowTarget, HoldTime>,
    /// Number of waiting requests, over all queues.
    count: usize,
    /// Last number given to a waiting request or a slot.
    sequence: u64,
}

impl WaitState {
    pub(super) const fn count(&self) -> usize {
        self.count
    }

    pub(super) fn next_position(&mut self, request: &WaitRequest) -> QueuePosition {
        self.sequence += 1;
        QueuePosition {
            priority: request.priority,
            deadline: request.terms.deadline,
            sequence: self.sequence,
        }
    }

    pub(super) fn insert(&mut self, position: QueuePosition, waiter: Waiter) {
        let target = waiter.request.target.clone();
        self.queues
            .entry(target)
            .or_default()
            .insert(position, waiter);
        self.count += 1;
    }

    pub(super) fn remove(&mut self, target: &RowTarget, position: QueuePosition) -> Option<Waiter> {
        let queue = self.queues.get_mut(target)?;
        let waiter = queue.remove(&position)?;
        if queue.is_empty() {
            self.queues.swap_remove(target);
        }
        self.count -= 1;
        Some(waiter)
    }

    pub(super) fn request(
        &self,
        target: &RowTarget,
        position: QueuePosition,
    ) -> Option<WaitRequest> {
        let queue = self.queues.get(target)?;
        queue.get(&position).map(|waiter| waiter.request.clone())
    }

    pub(super) fn record_hold_time(&mut self, target: &RowTarget, time: Duration) {
        if let Some(hold) = self.hold_times.get_mut(target) {
            hold.add(time);
            return;
        }
        let mut hold = HoldTime::default();
        hold.add(time);
        self.hold_times.insert(target.clone(), hold);
    }

    /// Expected wait of a request at `position` while all `slots` are taken; `None` while
    /// too few requests of the target have ended, or if there are no slots.
    pub(super) fn expected_wait(
        &self,
        target: &RowTarget,
        position: QueuePosition,
        slots: u32,
    ) -> Option<Duration> {
        let hold = self.hold_times.get(target)?;
        let queue = self.queues.get(target);
        let ahead = queue.map_or(0, |queue| queue.range(..position).count());
        hold.expected_wait(ahead, slots)
    }

    /// Removes a waiter from whichever queue holds it; a new plan may have moved it to
    /// another target.
    pub(super) fn remove_waiter(&mut self, position: QueuePosition) {
        let target = self
            .queues
            .iter()
            .find(|(_, queue)| queue.contains_key(&position))
            .map(|(target, _)| target.clone());
        if let Some(target) = target {
            self.remove(&target, position);
        }
    }

    /// Removes the least urgent waiter if it is less urgent than `position`, and returns
    /// the refusal to deliver to it.
    pub(super) fn evict_less_urgent(&mut self, position: QueuePosition) -> Option<WaitDelivery> {
        let (target, last) = self
            .queues
            .iter()
            .filter_map(|(target, queue)| Some((target, *queue.last_key_value()?.0)))
            .max_by_key(|(_, last)| *last)?;
        if last <= position {
            return None;
        }
        let target = target.clone();
        let waiter = self.remove(&target, last)?;
        let report = ProblemReport::refused(
            ResultCode::Overloaded,
            "the queue is full of more urgent requests",
        );
        Some(WaitDelivery {
            sender: waiter.sender,
            result: Err(report),
        })
    }

    pub(super) fn targets(&self) -> Vec<RowTarget> {
        self.queues.keys().cloned().collect()
    }

    pub(super) fn queued_positions(&self, target: &RowTarget) -> Vec<QueuePosition> {
        let queue = self.queues.get(target);
        queue.map_or_else(Vec::new, |queue| queue.keys().copied().collect())
    }

    /// The wake hint for one target; `None` if it is a service, no request waits, or a
    /// replica is being loaded.
    pub(super) fn hint(&self, view: &RoutingView, target: &RowTarget) -> Option<WakeHint> {
        queue_hint(view, target, self.queues.get(target)?)
    }

    /// Removes the hold times of targets that are no longer in the plan.
    pub(super) fn remove_withdrawn_hold_times(&mut self, view: &RoutingView) {
        self.hold_times
            .retain(|target, _| view.catalog.rows.contains_key(target));
    }

    /// One wake hint for each key whose requests wait while no replica is being loaded.
    pub(super) fn hints(&self, view: &RoutingView) -> Vec<WakeHint> {
        self.queues
            .iter()
            .filter_map(|(target, queue)| queue_hint(view, target, queue))
            .collect()
    }

    /// Records that a request got a slot, and returns the number of the slot.
    pub(super) fn record_start(&mut self, request: &WaitRequest, backend: &BackendId) -> u64 {
        self.record_replica_use(request);
        self.sequence += 1;
        let running = RunningRequest {
            request: request.clone(),
            backend: backend.clone(),
            answering: false,
        };
        self.running.insert(self.sequence, running);
        self.sequence
    }

    fn record_replica_use(&mut self, request: &WaitRequest) {
        let RowTarget::Replica(key) = &request.target else {
            return;
        };
        let deadline = request.terms.wall_deadline;
        if let Some(hint) = self.used.get_mut(key) {
            hint.waiting = hint.waiting.saturating_add(1);
            hint.priority = hint.priority.min(request.priority);
            hint.deadline = hint.deadline.min(deadline);
            return;
        }
        let hint = WakeHint {
            key: key.clone(),
            waiting: 1,
            priority: request.priority,
            deadline,
        };
        self.used.insert(key.clone(), hint);
    }
}

fn queue_hint(view: &RoutingView, target: &RowTarget, queue: &WaitQueue) -> Option<WakeHint> {
    let RowTarget::Replica(key) = target else {
        return None;
    };
    if view
        .loading
        .get(key)
        .is_some_and(|loading| !loading.is_empty())
    {
        return None;
    }
    let priority = queue
        .first_key_value()
        .map_or(PriorityLevel::LAST, |(position, _)| position.priority);
    let deadline = queue
        .values()
        .map(|waiter| waiter.request.terms.wall_deadline)
        .min()?;
    Some(WakeHint {
        key: key.clone(),
        waiting: u32::try_from(queue.len()).unwrap_or(u32::MAX),
        priority,
        deadline,
    })
}
