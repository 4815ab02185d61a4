//! The queue of requests that wait for a slot.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{oneshot, watch};
use tokio::time::Instant;
use ward_protocol::{BackendId, ResultCode, RoutingView, RowTarget, TimeSpan, WakeHint, ZoneName};

use super::admission::{check, check_wait, make_room};
use super::slots::SlotCriteria;
use super::state::WaitState;
use super::ticket::WaitTicket;
use super::waiter::{SlotGrant, SlotPermit, WaitDelivery, WaitOrder, WaitRequest, Waiter};
use crate::notice::{NoticeSink, TrafficNotice};
use crate::problem::ProblemReport;
use crate::target::{is_active, resolve_model};

/// What the queue is given.
#[derive(Clone)]
pub struct WaitSettings {
    /// Most requests that wait.
    pub max_waiting: usize,
    /// Most requests at a time on one replica.
    pub max_per_replica: u32,
    /// How long a backend server that did not answer gets nothing.
    pub avoid_duration: TimeSpan,
    /// This daemon's zone.
    pub zone: ZoneName,
    /// Takes notices.
    pub notice: NoticeSink,
}

/// Requests that wait for a slot.
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
    /// An empty queue.
    #[must_use]
    pub fn new(settings: WaitSettings, view: watch::Receiver<Arc<RoutingView>>) -> Arc<Self> {
        Arc::new(Self {
            settings,
            view,
            state: Mutex::default(),
        })
    }

    /// The newest view.
    #[must_use]
    pub fn view(&self) -> Arc<RoutingView> {
        Arc::clone(&self.view.borrow())
    }

    /// Requests that wait now.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.lock().count()
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// The request is refused: at once when waiting cannot help, else as soon as
    /// that becomes known, at the latest at its deadline.
    pub async fn acquire(
        self: &Arc<Self>,
        request: WaitRequest,
    ) -> Result<SlotGrant, ProblemReport> {
        match self.acquire_or_enqueue(request)? {
            AcquireResult::Granted(grant) => Ok(grant),
            AcquireResult::Waiting(ticket) => ticket.wait().await,
        }
    }

    /// Takes a slot or a place in the queue.
    ///
    /// # Errors
    ///
    /// Waiting cannot help, or the queue is full of more urgent requests.
    pub fn acquire_or_enqueue(
        self: &Arc<Self>,
        request: WaitRequest,
    ) -> Result<AcquireResult, ProblemReport> {
        let view = self.view();
        let now = Instant::now();
        let mut state = self.lock();
        let ahead = state.queues.contains_key(&request.target);
        if !ahead && let Some(grant) = self.grant(&mut state, &view, &request, now) {
            return Ok(AcquireResult::Granted(grant));
        }
        check(&view, &request)?;
        let order = state.next_order(&request);
        check_wait(
            &state,
            &view,
            &request,
            order,
            self.settings.max_per_replica,
        )?;
        let displaced = make_room(&mut state, order, self.settings.max_waiting)?;
        let (sender, receiver) = oneshot::channel();
        let target = request.target.clone();
        state.insert(order, Waiter { request, sender });
        let hint = state.hint(&view, &target).filter(|_| !ahead);
        let mut deliveries = self.serve(&mut state, &view, &target, now);
        drop(state);
        deliveries.extend(displaced);
        deliveries.into_iter().for_each(WaitDelivery::deliver);
        self.send_wanted(hint);
        Ok(AcquireResult::Waiting(WaitTicket {
            list: Arc::clone(self),
            order,
            receiver,
            waits: true,
        }))
    }

    /// Gives a backend server nothing new for a short time.
    pub fn avoid(&self, backend: &BackendId) {
        let until = Instant::now() + self.settings.avoid_duration.duration();
        self.lock().slots.avoid(backend, until);
    }

    /// Gives a replica that was not ready nothing new for a short time.
    pub fn avoid_replica(&self, target: &RowTarget, backend: &BackendId) {
        let until = Instant::now() + self.settings.avoid_duration.duration();
        self.lock().slots.avoid_replica(target, backend, until);
    }

    /// Looks at every waiting request again, after a new view or some time.
    pub fn sweep(self: &Arc<Self>) {
        let view = self.view();
        let now = Instant::now();
        let mut state = self.lock();
        state.slots.remove_expired(now);
        let mut deliveries = Vec::new();
        for target in state.targets() {
            deliveries.extend(refuse_hopeless(&mut state, &view, &target));
        }
        for target in state.targets() {
            deliveries.extend(self.serve(&mut state, &view, &target, now));
        }
        drop(state);
        deliveries.into_iter().for_each(WaitDelivery::deliver);
    }

    /// Repeats the hints for all waiting requests and tells what was used.
    pub fn send_notices(&self) {
        let view = self.view();
        let mut state = self.lock();
        let hints = state.hints(&view);
        let used = std::mem::take(&mut state.used);
        state.forget_withdrawn(&view);
        drop(state);
        self.send_wanted(hints);
        for hint in used.into_values() {
            (self.settings.notice)(TrafficNotice::Used { hint });
        }
    }

    pub(super) fn give_back(self: &Arc<Self>, permit: &SlotPermit) {
        let view = self.view();
        let mut state = self.lock();
        let target = &permit.target;
        state.note_hold(target, permit.since.elapsed());
        state.running.swap_remove(&permit.slot);
        state.slots.release(target, &permit.backend, permit.suspect);
        let targets = if permit.suspect {
            state.targets()
        } else {
            vec![target.clone()]
        };
        let mut deliveries = Vec::new();
        for target in targets {
            deliveries.extend(self.serve(&mut state, &view, &target, Instant::now()));
        }
        drop(state);
        deliveries.into_iter().for_each(WaitDelivery::deliver);
    }

    pub(super) fn leave(&self, order: WaitOrder) {
        self.lock().leave(order);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, WaitState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn grant(
        self: &Arc<Self>,
        state: &mut WaitState,
        view: &RoutingView,
        request: &WaitRequest,
        now: Instant,
    ) -> Option<SlotGrant> {
        let criteria = SlotCriteria {
            target: &request.target,
            prefix: request.prefix,
            suspect: request.suspect,
            failed_backend: request.failed_backend.as_ref(),
            zone: &self.settings.zone,
            limit: self.settings.max_per_replica,
            now,
        };
        let backend = state.slots.take(view, &criteria)?;
        let address = view.backends.get(&backend)?.address;
        let slot = state.note_start(request, &backend);
        Some(SlotGrant {
            target: request.target.clone(),
            address,
            permit: Some(SlotPermit {
                list: Arc::downgrade(self),
                target: request.target.clone(),
                backend: backend.clone(),
                suspect: request.suspect,
                slot,
                since: now,
            }),
            backend,
        })
    }

    /// Hands free slots to the waiting requests of a target, most urgent first.
    fn serve(
        self: &Arc<Self>,
        state: &mut WaitState,
        view: &RoutingView,
        target: &RowTarget,
        now: Instant,
    ) -> Vec<WaitDelivery> {
        let mut deliveries = Vec::new();
        for order in state.orders(target) {
            let Some(request) = state.request(target, order) else {
                continue;
            };
            let suspect = request.suspect;
            match self.grant(state, view, &request, now) {
                Some(grant) => {
                    if let Some(waiter) = state.remove(target, order) {
                        deliveries.push(WaitDelivery {
                            sender: waiter.sender,
                            result: Ok(grant),
                        });
                    }
                }
                // A suspect may have to wait although others find a slot.
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

/// What a request got on arrival.
#[derive(Debug)]
pub enum AcquireResult {
    /// A slot.
    Granted(SlotGrant),
    /// A place in the queue.
    Waiting(WaitTicket),
}

fn is_withdrawn(view: &RoutingView, target: &RowTarget) -> bool {
    match target {
        RowTarget::Replica(key) => !is_active(&view.catalog, key),
        RowTarget::Service(_) => !view.catalog.rows.contains_key(target),
    }
}

fn redirect(view: &RoutingView, request: &mut WaitRequest) -> Result<(), ProblemReport> {
    let reference = request.reference.as_ref();
    let Some(reference) = reference.filter(|reference| reference.version.is_none()) else {
        let detail = format!("{} was taken out of the plan", request.target);
        return Err(ProblemReport::refused(ResultCode::Withdrawn, detail));
    };
    request.target = RowTarget::Replica(resolve_model(view, reference)?);
    check(view, request)
}

/// Refuses what can no longer start in time and moves what lost its version.
fn refuse_hopeless(
    state: &mut WaitState,
    view: &RoutingView,
    target: &RowTarget,
) -> Vec<WaitDelivery> {
    let mut deliveries = Vec::new();
    let withdrawn = is_withdrawn(view, target);
    for order in state.orders(target) {
        let Some(mut request) = state.request(target, order) else {
            continue;
        };
        let result = if withdrawn {
            redirect(view, &mut request)
        } else {
            check(view, &request)
        };
        let moved = request.target != *target;
        if result.is_ok() && !moved {
            continue;
        }
        let Some(waiter) = state.remove(target, order) else {
            continue;
        };
        let sender = waiter.sender;
        match result {
            Ok(()) => state.insert(order, Waiter { request, sender }),
            Err(report) => deliveries.push(WaitDelivery {
                sender,
                result: Err(report),
            }),
        }
    }
    deliveries
}
