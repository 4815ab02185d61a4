//! The queue of requests that wait for a slot at an engine.

mod admission;
mod dispatch;
mod limited;
mod slot;
mod ticket;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::sync::{Notify, oneshot};
use ward_fleet::admission::{RequestWork, ShareClass};
use ward_fleet::choice::{EngineChoice, spare_engine};
use ward_fleet::flow::RequestFlow;
use ward_fleet::queue::{AnswerTime, FirstPartTime};
use ward_fleet::{
    ChoiceContext, HostSettings, RequestPriority, SlowModel, WaitingCount, choose_engine,
};
use ward_protocol::{BackendId, MonoTime, ServiceName, TimeSpan};

use self::admission::AdmissionState;
pub(crate) use self::admission::RequestKind;
pub(crate) use self::dispatch::dispatch_queue;
use self::limited::{permit_wait_if_late, want_spare_permits};
pub(crate) use self::slot::{EngineSlot, RunState};
use self::ticket::{ModelKey, WaitKey};
pub(crate) use self::ticket::{RequestIdentity, WaitFailure, WaitTicket};
use crate::clock;
use crate::crash::request_block;
use crate::gateway::Gateway;
use crate::limit::own_turns;
use crate::phase::RequestPhase;

/// Maximum number of routes with a recorded time to the first part of an answer.
/// Beyond it all are discarded, which also drops routes that operators have removed.
const MAX_TRACKED_ROUTES: usize = 1_000;

/// A waiting request; `grant` sends the result of its wait and is then `None`.
struct Waiter {
    number: u64,
    ticket: WaitTicket,
    grant: Option<oneshot::Sender<Result<EngineSlot, WaitFailure>>>,
}

/// Requests that wait for a slot, and the estimates that decide how long they may
/// wait.
#[derive(Default)]
pub(crate) struct WaitQueue {
    waiters: RefCell<IndexMap<u64, Waiter>>,
    next_number: Cell<u64>,
    changed: Notify,
    /// Whether the daemon is shutting down, so that no request may wait.
    closed: Cell<bool>,
    flows: RefCell<IndexMap<WaitKey, RequestFlow>>,
    admission: AdmissionState,
    /// Time to the first part of an answer, by name of the route.
    first_parts: RefCell<IndexMap<String, FirstPartTime>>,
    /// Time to the end of an answer, by name of the route.
    answer_times: RefCell<IndexMap<Rc<str>, AnswerTime>>,
    /// When the models that no engine holds and that must come from the weight store are
    /// expected to be ready.
    slow_models: RefCell<IndexMap<ModelKey, MonoTime>>,
}

/// Removes a waiter from the queue when its wait ends or its request is dropped.
struct WaiterGuard {
    gateway: Rc<Gateway>,
    number: u64,
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        let queue = &self.gateway.queue;
        let removed = queue.waiters.borrow_mut().shift_remove(&self.number);
        self.gateway.metrics.waiting.set(to_gauge(queue.len()));
        if let Some(waiter) = removed.filter(|waiter| queue.waiting_like(&waiter.ticket) == 0) {
            queue.admission.record_empty(&waiter.ticket);
        }
    }
}

fn to_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

impl WaitQueue {
    /// Wakes the dispatcher after a change that may end a wait.
    pub(crate) fn notify_change(&self) {
        self.changed.notify_one();
    }

    /// Ends all waits, and refuses later ones.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        for waiter in self.waiters.borrow_mut().values_mut() {
            drop(waiter.grant.take());
        }
    }

    /// Number of waiting requests that name a model, by service, model and adapter.
    pub(crate) fn waiting_counts(&self) -> Vec<WaitingCount> {
        let mut counts: IndexMap<WaitKey, u32> = IndexMap::new();
        for waiter in self.waiters.borrow().values() {
            *counts.entry(waiter.ticket.key()).or_default() += 1;
        }
        let counts = counts.into_iter().filter_map(|(key, count)| {
            Some(WaitingCount {
                service: key.service,
                model: key.model?,
                adapter: key.adapter,
                software: key.software,
                count,
            })
        });
        counts.collect()
    }

    fn record_arrival(&self, ticket: &WaitTicket) {
        let mut flows = self.flows.borrow_mut();
        flows
            .entry(ticket.key())
            .or_default()
            .record_arrival(clock::now());
    }

    fn record_grant(&self, ticket: &WaitTicket) {
        let mut flows = self.flows.borrow_mut();
        flows
            .entry(ticket.key())
            .or_default()
            .record_grant(clock::now());
        drop(flows);
        self.admission.record_grant(ticket);
    }

    /// Records the arrival of a request, and returns the class that must not be starved.
    pub(crate) fn classify(
        &self,
        service: &ServiceName,
        route: &Rc<str>,
        priority: RequestPriority,
        work: RequestWork,
    ) -> ShareClass<RequestKind> {
        self.admission.classify(service, route, priority, work)
    }

    /// Expected time to the first part of an answer on a route.
    pub(crate) fn expected_first_part(&self, route: &str) -> TimeSpan {
        let times = self.first_parts.borrow();
        times.get(route).copied().unwrap_or_default().expected()
    }

    /// Records how long the first part of an answer took on a route.
    pub(crate) fn record_first_part(&self, route: &str, span: TimeSpan) {
        let mut times = self.first_parts.borrow_mut();
        match times.get_mut(route) {
            Some(time) => time.record(span),
            None => times.entry(route.to_owned()).or_default().record(span),
        }
    }

    /// Time from a request's arrival to the end of its answer that few answers on a route
    /// exceed; zero if there was none.
    pub(crate) fn answer_time_bound(&self, route: &str) -> TimeSpan {
        let times = self.answer_times.borrow();
        times.get(route).copied().unwrap_or_default().bound()
    }

    /// Records a complete answer.
    fn record_answer_end(&self, ticket: &WaitTicket) {
        let span = clock::now().since(ticket.arrival);
        let mut times = self.answer_times.borrow_mut();
        let time = times.entry(Rc::clone(&ticket.route)).or_default();
        time.record(span);
    }

    /// Replaces the models that no engine holds and that must come from the weight store.
    pub(crate) fn set_slow_models(&self, slow: &[SlowModel], now: MonoTime) {
        let ready = slow.iter().map(|slow| {
            let key = ModelKey {
                service: slow.service.clone(),
                model: slow.model.clone(),
            };
            (key, now + slow.ready_in)
        });
        *self.slow_models.borrow_mut() = ready.collect();
    }

    /// Time until a request's model is ready, if that is too late for the request.
    fn ready_in_if_late(&self, ticket: &WaitTicket) -> Option<TimeSpan> {
        let key = ModelKey {
            service: ticket.service.clone(),
            model: ticket.model.clone()?,
        };
        let ready = *self.slow_models.borrow().get(&key)?;
        (ready > ticket.times.latest_start()).then(|| ready.since(clock::now()))
    }

    /// Removes idle request flows, and clears the recorded times of answers if they cover
    /// more than `MAX_TRACKED_ROUTES` routes.
    pub(crate) fn sweep(&self) {
        let now = clock::now();
        let mut first_parts = self.first_parts.borrow_mut();
        if first_parts.len() > MAX_TRACKED_ROUTES {
            first_parts.clear();
        }
        drop(first_parts);
        let mut answer_times = self.answer_times.borrow_mut();
        if answer_times.len() > MAX_TRACKED_ROUTES {
            answer_times.clear();
        }
        drop(answer_times);
        self.flows.borrow_mut().retain(|_, flow| !flow.is_idle(now));
    }

    /// Number of waiting requests that the same engines can serve.
    fn waiting_like(&self, ticket: &WaitTicket) -> usize {
        let key = ticket.key();
        let waiters = self.waiters.borrow();
        let same = waiters.values().filter(|waiter| waiter.ticket.key() == key);
        same.count()
    }

    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.waiters.borrow().len()
    }
}

/// Acquires a slot at an engine for a request, and waits until one is free. Every
/// send passes through here, including retries.
pub(crate) async fn acquire_slot(
    gateway: &Rc<Gateway>,
    ticket: WaitTicket,
) -> Result<EngineSlot, WaitFailure> {
    check_allowed(gateway, &ticket)?;
    gateway.queue.record_arrival(&ticket);
    match choose_engine_for(gateway, &ticket) {
        EngineChoice::Engine(id) => {
            if let Some(slot) = occupy_slot(gateway, &id, &ticket) {
                gateway.queue.record_grant(&ticket);
                return Ok(slot);
            }
        }
        EngineChoice::NoEngine => return Err(WaitFailure::NoEngine),
        EngineChoice::OtherVersions => {
            ticket.phase.enter(RequestPhase::Model);
            gateway.report_requested.notify_one();
            if ticket.is_too_late_for_load(clock::now()) {
                return Err(WaitFailure::NoEngine);
            }
        }
        EngineChoice::Missing => {
            ticket.phase.enter(RequestPhase::Model);
            gateway.report_requested.notify_one();
            if let Some(ready_in) = gateway.queue.ready_in_if_late(&ticket) {
                return Err(WaitFailure::NotInTime(ready_in));
            }
        }
        EngineChoice::Paused(until) => {
            ticket.phase.enter(RequestPhase::Pause);
            if let Some(remaining) = pause_if_late(&ticket, until) {
                return Err(WaitFailure::Paused(remaining));
            }
        }
        EngineChoice::Limited(limited) => {
            ticket.phase.enter(RequestPhase::Permit);
            let ahead = gateway.queue.waiting_like(&ticket);
            if let Some(wait) = permit_wait_if_late(gateway, &ticket, &limited, ahead) {
                want_spare_permits(gateway, &limited);
                return Err(WaitFailure::Limited(wait));
            }
            // The dispatcher asks for permits.
            gateway.queue.notify_change();
        }
        EngineChoice::Full => ticket.phase.enter(RequestPhase::Slot),
    }
    if gateway.queue.closed.get() {
        return Err(WaitFailure::Closed);
    }
    wait_for_slot(gateway, ticket).await
}

/// Checks that a request may still be sent to engines: it has not crashed any, and its API
/// key is in force.
fn check_allowed(gateway: &Gateway, ticket: &WaitTicket) -> Result<(), WaitFailure> {
    if let Some(block) = request_block(gateway, &ticket.identity) {
        return Err(WaitFailure::Blocked(block));
    }
    let manifest = gateway.manifest();
    let tenants = manifest
        .as_ref()
        .and_then(|manifest| manifest.tenants.as_ref());
    let is_withdrawn = match (&ticket.api_key, tenants) {
        (Some(key), Some(tenants)) => tenants.holder(key).is_none(),
        _ => false,
    };
    if is_withdrawn {
        return Err(WaitFailure::KeyWithdrawn);
    }
    Ok(())
}

async fn wait_for_slot(
    gateway: &Rc<Gateway>,
    ticket: WaitTicket,
) -> Result<EngineSlot, WaitFailure> {
    let queue = &gateway.queue;
    let number = queue.next_number.get();
    queue.next_number.set(number + 1);
    let (grant, granted) = oneshot::channel();
    let remaining = ticket.times.latest_start().since(clock::now());
    queue.admission.record_waiting(&ticket);
    let waiter = Waiter {
        number,
        ticket: ticket.clone(),
        grant: Some(grant),
    };
    queue.waiters.borrow_mut().insert(number, waiter);
    gateway.metrics.waiting.set(to_gauge(queue.len()));
    let _guard = WaiterGuard {
        gateway: Rc::clone(gateway),
        number,
    };
    match tokio::time::timeout(remaining.duration(), granted).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) if queue.closed.get() => Err(WaitFailure::Closed),
        Ok(Err(_)) => Err(WaitFailure::NoEngine),
        Err(_) => {
            queue.admission.record_refusal(&ticket);
            Err(WaitFailure::Timeout)
        }
    }
}

/// Time until a pause ends, if that is too late for the request.
fn pause_if_late(ticket: &WaitTicket, until: MonoTime) -> Option<TimeSpan> {
    (until > ticket.times.latest_start()).then(|| until.since(clock::now()))
}

fn choose_engine_for(gateway: &Gateway, ticket: &WaitTicket) -> EngineChoice {
    let settings = gateway.settings();
    let context = choice_context(gateway, &settings);
    choose_engine(
        &gateway.table.borrow(),
        &ticket.requirement(),
        &context,
        &ticket.avoided,
        |below| rand::random_range(0..below),
    )
}

fn choice_context<'a>(gateway: &Gateway, settings: &'a HostSettings) -> ChoiceContext<'a> {
    ChoiceContext {
        zone: &settings.zone,
        daemons: gateway.daemon_count(),
        now: clock::now(),
        turns: own_turns(gateway),
    }
}

fn occupy_slot(gateway: &Rc<Gateway>, id: &BackendId, ticket: &WaitTicket) -> Option<EngineSlot> {
    let settings = gateway.settings();
    let context = choice_context(gateway, &settings);
    let mut table = gateway.table.borrow_mut();
    let record = table.get(id)?;
    let engine = record.info.clone();
    let turn = context.turn_at(&table, record);
    let spare = spare_engine(&table, &ticket.requirement(), &context).cloned();
    if let Some(spare) = spare {
        table.permits.want_spare(&spare, context.now);
    }
    if table.limits.rate_of(&engine).is_some() {
        table.permits.spend(id, turn, context.now);
        gateway.metrics.limited_sends.inc();
    }
    table.begin_request(id, ticket.model.as_ref(), ticket.adapter.as_ref());
    Some(EngineSlot::new(gateway, engine, ticket))
}
