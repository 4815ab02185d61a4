//! The queue of requests that wait for a slot.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{oneshot, watch};
use tokio::time::Instant;
use ward_protocol::{BackendId, ResultCode, RoutingView, RowTarget, TimeSpan, WakeHint, ZoneName};

use super::admission::{check_expected_wait, check_start, make_room};
use super::slots::SlotCriteria;
use super::state::WaitState;
use super::ticket::WaitTicket;
use super::waiter::{QueuePosition, SlotGrant, SlotPermit, WaitDelivery, WaitRequest, Waiter};
use crate::notice::{NoticeSink, TrafficNotice};
use crate::problem::ProblemReport;
use crate::target::{is_active, resolve_model};

/// Settings of the queue.
#[derive(Clone)]
pub struct WaitSettings {
    /// Maximum number of waiting requests, over all targets.
    pub max_waiting: usize,
    /// Maximum number of concurrent requests of this daemon on one replica.
    pub max_per_replica: u32,
    /// How long a backend server that could not be reached, or a replica that was not
    /// ready, gets no new requests.
    pub avoid_duration: TimeSpan,
    /// Availability zone of this daemon.
    pub zone: ZoneName,
    /// Receives hints about wanted and used replicas.
    pub notice: NoticeSink,
}

/// The queue of requests that wait for a slot, and the slots.
pub struct WaitList {
    settings: WaitSettings,
    view: watch::Receiver<Arc<RoutingView>>,
    state: Mutex<WaitState>,
}

impl std::fmt::Debug for WaitList {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("WaitList")
    }
}

impl WaitList {
    /// An empty queue that reads routing views from `view`.
    #[must_use]
    pub fn new(settings: WaitSettings, view: watch::Receiver<Arc<RoutingView>>) -> Arc<Self> {
        Arc::new(Self {
            settings,
            view,
            state: Mutex::default(),
        })
    }

    /// The newest published routing view.
    #[must_use]
    pub fn view(&self) -> Arc<RoutingView> {
        Arc::clone(&self.view.borrow())
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.lock().count()
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// The request is refused: at once if it cannot start in time, otherwise as soon
    /// as that becomes known, at its deadline at the latest.
    pub async fn acquire(
        self: &Arc<Self>,
        request: WaitRequest,
    ) -> Result<SlotGrant, ProblemReport> {
        match self.acquire_or_enqueue(request)? {
            AcquireResult::Granted(grant) => Ok(grant),
            AcquireResult::Waiting(ticket) => ticket.wait().await,
        }
    }

    /// Takes a free slot, or adds the request to the queue.
    ///
    /// # Errors
    ///
    /// The request cannot start in time, or the queue is full of more urgent requests.
    pub fn acquire_or_enqueue(
        self: &Arc<Self>,
        request: WaitRequest,
    ) -> Result<AcquireResult, ProblemReport> {
        let view = self.view();
        let now = Instant::now();
        let mut state = self.lock();
        let has_queue = state.queues.contains_key(&request.target);
        if !has_queue && let Some(grant) = self.grant(&mut state, &view, &request, now) {
            return Ok(AcquireResult::Granted(grant));
        }
        check_start(&view, &request)?;
        let position = state.next_position(&request);
        check_expected_wait(
            &state,
            &view,
            &request,
            position,
            self.settings.max_per_replica,
        )?;
        let evicted = make_room(&mut state, position, self.settings.max_waiting)?;
        let (sender, receiver) = oneshot::channel();
        let target = request.target.clone();
        state.insert(position, Waiter { request, sender });
        let hint = state.hint(&view, &target).filter(|_| !has_queue);
        let mut deliveries = self.assign_slots(&mut state, &view, &target, now);
        drop(state);
        deliveries.extend(evicted);
        deliveries.into_iter().for_each(WaitDelivery::deliver);
        self.send_wanted(hint);
        Ok(AcquireResult::Waiting(WaitTicket {
            list: Arc::clone(self),
            position,
            receiver,
            queued: true,
        }))
    }

    /// Sends no new requests to a backend server for a short time.
    pub fn avoid(&self, backend: &BackendId) {
        let until = Instant::now() + self.settings.avoid_duration.duration();
        self.lock().slots.avoid(backend, until);
    }

    /// For a short time, sends no new requests to a replica that was not ready.
    pub fn avoid_replica(&self, target: &RowTarget, backend: &BackendId) {
        let until = Instant::now() + self.settings.avoid_duration.duration();
        self.lock().slots.avoid_replica(target, backend, until);
    }

    /// Checks every waiting request again: refuses those that can no longer start in
    /// time, moves those of a withdrawn version to another, and grants free slots.
    /// Called for each new view and periodically.
    pub fn sweep(self: &Arc<Self>) {
        let view = self.view();
        let now = Instant::now();
        let mut state = self.lock();
        state.slots.remove_expired(now);
        let mut deliveries = Vec::new();
        for target in state.targets() {
            deliveries.extend(refuse_or_redirect(&mut state, &view, &target));
        }
        for target in state.targets() {
            deliveries.extend(self.assign_slots(&mut state, &view, &target, now));
        }
        drop(state);
        deliveries.into_iter().for_each(WaitDelivery::deliver);
    }

    /// Sends the wake hints for all keys whose requests wait while no replica is being
    /// loaded, and a notice for each replica that got requests since the last call.
    pub fn send_notices(&self) {
        let view = self.view();
        let mut state = self.lock();
        let hints = state.hints(&view);
        let used = std::mem::take(&mut state.used);
        state.remove_withdrawn_hold_times(&view);
        drop(state);
        self.send_wanted(hints);
        for hint in used.into_values() {
            (self.settings.notice)(TrafficNotice::Used { hint });
        }
    }

    pub(super) fn release_slot(self: &Arc<Self>, permit: &SlotPermit) {
        let view = self.view();
        let mut state = self.lock();
        let target = &permit.target;
        state.record_hold_time(target, permit.acquired_at.elapsed());
        state.running.swap_remove(&permit.slot);
        state.slots.release(target, &permit.backend, permit.suspect);
        // Requests of any target that are suspect may have waited for this server.
        let targets = if permit.suspect {
            state.targets()
        } else {
            vec![target.clone()]
        };
        let mut deliveries = Vec::new();
        for target in targets {
            deliveries.extend(self.assign_slots(&mut state, &view, &target, Instant::now()));
        }
        drop(state);
        deliveries.into_iter().for_each(WaitDelivery::deliver);
    }

    pub(super) fn remove_waiter(&self, position: QueuePosition) {
        self.lock().remove_waiter(position);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, WaitState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a slot for a request; `None` if no slot is free.
    fn grant(
        self: &Arc<Self>,
        state: &mut WaitState,
        view: &RoutingView,
        request: &WaitRequest,
        now: Instant,
    ) -> Option<SlotGrant> {
        let criteria = SlotCriteria {
            target: &request.target,
            prefix_hash: request.prefix_hash,
            suspect: request.suspect,
            failed_backend: request.failed_backend.as_ref(),
            zone: &self.settings.zone,
            limit: self.settings.max_per_replica,
            now,
        };
        let backend = state.slots.take(view, &criteria)?;
        let address = view.backends.get(&backend)?.address;
        let slot = state.record_start(request, &backend);
        Some(SlotGrant {
            target: request.target.clone(),
            address,
            permit: Some(SlotPermit {
                list: Arc::downgrade(self),
                target: request.target.clone(),
                backend: backend.clone(),
                suspect: request.suspect,
                slot,
                acquired_at: now,
            }),
            backend,
        })
    }

    /// Grants free slots to the waiting requests of a target, most urgent first.
    fn assign_slots(
        self: &Arc<Self>,
        state: &mut WaitState,
        view: &RoutingView,
        target: &RowTarget,
        now: Instant,
    ) -> Vec<WaitDelivery> {
        let mut deliveries = Vec::new();
        for position in state.queued_positions(target) {
            let Some(request) = state.request(target, position) else {
                continue;
            };
            let suspect = request.suspect;
            match self.grant(state, view, &request, now) {
                Some(grant) => {
                    if let Some(waiter) = state.remove(target, position) {
                        deliveries.push(WaitDelivery {
                            sender: waiter.sender,
                            result: Ok(grant),
                        });
                    }
                }
                // A suspect may have to wait for a server without another suspect, while
                // other requests still get slots.
                None if suspect => {}
                None => break,
            }
        }
        deliveries
    }

    fn send_wanted(&self, hints: impl IntoIterator<Item = WakeHint>) {
        for hint in hints {
            (self.settings.notice)(TrafficNotice::Wanted { hint });
        }
    }
}

/// Result of a request's arrival at the queue.
#[derive(Debug)]
pub enum AcquireResult {
    /// The request has a slot.
    Granted(SlotGrant),
    /// The request was added to the queue; the ticket gives its result.
    Waiting(WaitTicket),
}

fn is_withdrawn(view: &RoutingView, target: &RowTarget) -> bool {
    match target {
        RowTarget::Replica(key) => !is_active(&view.catalog, key),
        RowTarget::Service(_) => !view.catalog.rows.contains_key(target),
    }
}

/// Changes the target of a request to the version that now serves its model; refuses a
/// request that pins a version or cannot start in time.
fn redirect(view: &RoutingView, request: &mut WaitRequest) -> Result<(), ProblemReport> {
    let reference = request.reference.as_ref();
    let Some(reference) = reference.filter(|reference| reference.version.is_none()) else {
        let detail = format!("{} was taken out of the plan", request.target);
        return Err(ProblemReport::refused(ResultCode::Withdrawn, detail));
    };
    request.target = RowTarget::Replica(resolve_model(view, reference)?);
    check_start(view, request)
}

/// Refuses requests that can no longer start in time. Requests without a pinned
/// version move to another version if theirs was withdrawn.
fn refuse_or_redirect(
    state: &mut WaitState,
    view: &RoutingView,
    target: &RowTarget,
) -> Vec<WaitDelivery> {
    let mut deliveries = Vec::new();
    let withdrawn = is_withdrawn(view, target);
    for position in state.queued_positions(target) {
        let Some(mut request) = state.request(target, position) else {
            continue;
        };
        let result = if withdrawn {
            redirect(view, &mut request)
        } else {
            check_start(view, &request)
        };
        let moved = request.target != *target;
        if result.is_ok() && !moved {
            continue;
        }
        let Some(waiter) = state.remove(target, position) else {
            continue;
        };
        let sender = waiter.sender;
        match result {
            Ok(()) => state.insert(position, Waiter { request, sender }),
            Err(report) => deliveries.push(WaitDelivery {
                sender,
                result: Err(report),
            }),
        }
    }
    deliveries
}
