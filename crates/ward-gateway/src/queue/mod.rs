//! Requests that wait for an engine.

mod lease;
mod ticket;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};
use tokio::sync::{Notify, oneshot};
use ward_fleet::choice::EngineChoice;
use ward_fleet::flow::{LateDecision, RequestFlow};
use ward_fleet::queue::FirstPartTime;
use ward_fleet::{ChoiceContext, SlowModel, WaitingCount, choose_engine};
use ward_protocol::{BackendId, MonoTime, TimeSpan};

pub(crate) use self::lease::{EngineLease, RunState};
pub(crate) use self::ticket::{RequestSubject, WaitFailure, WaitTicket};
use self::ticket::{SlowKey, WaitKey};
use crate::clock;
use crate::crash::blocked_for;
use crate::gateway::Gateway;
use crate::phase::RequestPhase;

/// Routes whose first parts are remembered; those that the operators removed are
/// among them until then.
const MOST_ROUTES: usize = 1_000;

struct Waiter {
    number: u64,
    ticket: WaitTicket,
    grant: Option<oneshot::Sender<Result<EngineLease, WaitFailure>>>,
}

/// The requests that wait.
#[derive(Default)]
pub(crate) struct WaitQueue {
    waiters: RefCell<IndexMap<u64, Waiter>>,
    next: Cell<u64>,
    changed: Notify,
    /// Whether no request may wait any more.
    closed: Cell<bool>,
    flows: RefCell<IndexMap<WaitKey, RequestFlow>>,
    /// By name of the route.
    first_parts: RefCell<IndexMap<String, FirstPartTime>>,
    /// Models that no engine has at hand, and when they should be ready.
    slow: RefCell<IndexMap<SlowKey, MonoTime>>,
}

/// Takes a waiter out of the queue when its request is dropped.
struct WaiterGuard {
    gateway: Rc<Gateway>,
    number: u64,
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        let mut waiters = self.gateway.queue.waiters.borrow_mut();
        waiters.shift_remove(&self.number);
        self.gateway.metrics.waiting.set(gauge(waiters.len()));
    }
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

impl WaitQueue {
    /// Engines, their load or what they hold has changed.
    pub(crate) fn changed(&self) {
        self.changed.notify_one();
    }

    /// Ends all waits, now and later.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        for waiter in self.waiters.borrow_mut().values_mut() {
            drop(waiter.grant.take());
        }
    }

    /// Waiting requests by model and adapter.
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
                count,
            })
        });
        counts.collect()
    }

    fn note_arrival(&self, ticket: &WaitTicket) {
        let mut flows = self.flows.borrow_mut();
        flows
            .entry(ticket.key())
            .or_default()
            .record_arrival(clock::now());
    }

    fn note_grant(&self, ticket: &WaitTicket) {
        let mut flows = self.flows.borrow_mut();
        flows
            .entry(ticket.key())
            .or_default()
            .record_grant(clock::now());
    }

    /// Time that the first part of an answer should take on a route.
    pub(crate) fn first_part(&self, route: &str) -> TimeSpan {
        let times = self.first_parts.borrow();
        times.get(route).copied().unwrap_or_default().expected()
    }

    /// Notes how long the first part of an answer took on a route.
    pub(crate) fn note_first_part(&self, route: &str, span: TimeSpan) {
        let mut times = self.first_parts.borrow_mut();
        match times.get_mut(route) {
            Some(time) => time.record(span),
            None => times.entry(route.to_owned()).or_default().record(span),
        }
    }

    /// Notes which models must come from the weight store.
    pub(crate) fn note_slow(&self, slow: &[SlowModel], now: MonoTime) {
        let ready = slow.iter().map(|slow| {
            let key = SlowKey {
                service: slow.service.clone(),
                model: slow.model.clone(),
            };
            (key, now + slow.ready_in)
        });
        *self.slow.borrow_mut() = ready.collect();
    }

    /// Time until a request's model is ready, when that is too late for it.
    fn too_slow(&self, ticket: &WaitTicket) -> Option<TimeSpan> {
        let key = SlowKey {
            service: ticket.service.clone(),
            model: ticket.model.clone()?,
        };
        let ready = *self.slow.borrow().get(&key)?;
        (ready > ticket.times.latest_start()).then(|| ready.since(clock::now()))
    }

    /// Forgets flows that have dried up, and routes once they are many.
    pub(crate) fn sweep(&self) {
        let now = clock::now();
        let mut first_parts = self.first_parts.borrow_mut();
        if first_parts.len() > MOST_ROUTES {
            first_parts.clear();
        }
        drop(first_parts);
        self.flows.borrow_mut().retain(|_, flow| !flow.is_idle(now));
    }

    /// Number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiters.borrow().len()
    }
}

/// A place at an engine for a request, now or when there is one. All sends come
/// through here, the first and the repeated ones.
pub(crate) async fn acquire(
    gateway: &Rc<Gateway>,
    ticket: WaitTicket,
) -> Result<EngineLease, WaitFailure> {
    if let Some(left) = blocked_for(gateway, &ticket.subject.fingerprint) {
        return Err(WaitFailure::Crashes(left));
    }
    gateway.queue.note_arrival(&ticket);
    match choose(gateway, &ticket) {
        EngineChoice::Engine(id) => {
            if let Some(lease) = begin(gateway, &id, &ticket) {
                gateway.queue.note_grant(&ticket);
                return Ok(lease);
            }
        }
        EngineChoice::NoEngine => return Err(WaitFailure::NoEngine),
        EngineChoice::Missing => {
            ticket.phase.enter(RequestPhase::Model);
            gateway.report_wanted.notify_one();
            if let Some(ready_in) = gateway.queue.too_slow(&ticket) {
                return Err(WaitFailure::NotInTime(ready_in));
            }
        }
        EngineChoice::Paused(until) => {
            ticket.phase.enter(RequestPhase::Pause);
            if let Some(left) = too_long(&ticket, until) {
                return Err(WaitFailure::Paused(left));
            }
        }
        EngineChoice::Full => ticket.phase.enter(RequestPhase::Place),
    }
    if gateway.queue.closed.get() {
        return Err(WaitFailure::Closed);
    }
    wait(gateway, ticket).await
}

async fn wait(gateway: &Rc<Gateway>, ticket: WaitTicket) -> Result<EngineLease, WaitFailure> {
    let queue = &gateway.queue;
    let number = queue.next.get();
    queue.next.set(number + 1);
    let (grant, granted) = oneshot::channel();
    let left = ticket.times.latest_start().since(clock::now());
    let waiter = Waiter {
        number,
        ticket,
        grant: Some(grant),
    };
    queue.waiters.borrow_mut().insert(number, waiter);
    gateway.metrics.waiting.set(gauge(queue.len()));
    let _guard = WaiterGuard {
        gateway: Rc::clone(gateway),
        number,
    };
    match tokio::time::timeout(left.duration(), granted).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) if queue.closed.get() => Err(WaitFailure::Closed),
        Ok(Err(_)) => Err(WaitFailure::NoEngine),
        Err(_) => Err(WaitFailure::Timeout),
    }
}

/// Time until a pause ends, when that is too late for a request.
fn too_long(ticket: &WaitTicket, until: MonoTime) -> Option<TimeSpan> {
    (until > ticket.times.latest_start()).then(|| until.since(clock::now()))
}

fn choose(gateway: &Gateway, ticket: &WaitTicket) -> EngineChoice {
    let settings = gateway.settings();
    let context = ChoiceContext {
        zone: &settings.zone,
        daemons: gateway.daemon_count(),
        now: clock::now(),
    };
    choose_engine(
        &gateway.table.borrow(),
        &ticket.wish(),
        &context,
        &ticket.avoided,
        |below| rand::random_range(0..below),
    )
}

fn begin(gateway: &Rc<Gateway>, id: &BackendId, ticket: &WaitTicket) -> Option<EngineLease> {
    let mut table = gateway.table.borrow_mut();
    let engine = table.get(id)?.info.clone();
    table.begin_request(id, ticket.model.as_ref(), ticket.adapter.as_ref());
    Some(EngineLease::new(gateway, engine, ticket))
}

/// Gives engines to waiting requests whenever something changed.
pub(crate) async fn serve_queue(gateway: Rc<Gateway>) {
    loop {
        gateway.queue.changed.notified().await;
        serve_once(&gateway);
    }
}

fn serve_once(gateway: &Rc<Gateway>) {
    let mut unserved: IndexMap<WaitKey, usize> = IndexMap::new();
    let mut unready = IndexSet::new();
    for number in numbers_by_rank(gateway) {
        let Some(ticket) = ticket(gateway, number) else {
            continue;
        };
        if let Some(left) = blocked_for(gateway, &ticket.subject.fingerprint) {
            end_wait(gateway, number, WaitFailure::Crashes(left));
            continue;
        }
        let key = ticket.key();
        if ticket.avoided.is_empty() && unready.contains(&key) {
            continue;
        }
        if let Some(ahead) = unserved.get_mut(&key).filter(|_| ticket.avoided.is_empty()) {
            *ahead += 1;
            let ahead = *ahead;
            review_late(gateway, number, &ticket, ahead);
            continue;
        }
        match choose(gateway, &ticket) {
            EngineChoice::Engine(id) => grant(gateway, number, &id, &ticket),
            EngineChoice::NoEngine => withdraw(gateway, number),
            EngineChoice::Paused(until) => {
                if let Some(left) = too_long(&ticket, until) {
                    end_wait(gateway, number, WaitFailure::Paused(left));
                } else {
                    // The next in rank can wait longer still.
                    ticket.phase.enter(RequestPhase::Pause);
                    unready.insert(key);
                }
            }
            EngineChoice::Full => {
                ticket.phase.enter(RequestPhase::Place);
                unserved.insert(key, 0);
                review_late(gateway, number, &ticket, 0);
            }
            EngineChoice::Missing => {
                if let Some(ready_in) = gateway.queue.too_slow(&ticket) {
                    end_wait(gateway, number, WaitFailure::NotInTime(ready_in));
                } else {
                    ticket.phase.enter(RequestPhase::Model);
                    unready.insert(key);
                }
            }
        }
    }
}

/// Ends the wait of a late request whose turn is not likely to come.
fn review_late(gateway: &Gateway, number: u64, ticket: &WaitTicket, ahead: usize) {
    let now = clock::now();
    if !ticket.rank(now).is_late() {
        return;
    }
    let flows = gateway.queue.flows.borrow();
    let Some(flow) = flows.get(&ticket.key()) else {
        return;
    };
    let left = ticket.times.deadline.since(now);
    let LateDecision::Refuse(retry_after) = flow.decide_late(ahead, left, now) else {
        return;
    };
    drop(flows);
    end_wait(gateway, number, WaitFailure::Overload(retry_after));
}

fn end_wait(gateway: &Gateway, number: u64, failure: WaitFailure) {
    if let Some(grant) = take_grant(gateway, number) {
        // A request that is gone needs no answer.
        drop(grant.send(Err(failure)));
    }
}

fn numbers_by_rank(gateway: &Gateway) -> Vec<u64> {
    let now = clock::now();
    let waiters = gateway.queue.waiters.borrow();
    let mut ranked: Vec<_> = waiters
        .values()
        .filter(|waiter| waiter.grant.is_some())
        .map(|waiter| (waiter.ticket.rank(now), waiter.number))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, number)| number).collect()
}

fn ticket(gateway: &Gateway, number: u64) -> Option<WaitTicket> {
    let waiters = gateway.queue.waiters.borrow();
    Some(waiters.get(&number)?.ticket.clone())
}

type GrantSender = oneshot::Sender<Result<EngineLease, WaitFailure>>;

fn take_grant(gateway: &Gateway, number: u64) -> Option<GrantSender> {
    let mut waiters = gateway.queue.waiters.borrow_mut();
    waiters.get_mut(&number)?.grant.take()
}

fn grant(gateway: &Rc<Gateway>, number: u64, id: &BackendId, ticket: &WaitTicket) {
    let Some(lease) = begin(gateway, id, ticket) else {
        return;
    };
    // A lease that its request no longer takes is given back when dropped.
    gateway.queue.note_grant(ticket);
    if let Some(grant) = take_grant(gateway, number)
        && let Err(lease) = grant.send(Ok(lease))
    {
        drop(lease);
    }
}

/// Ends the wait of a request whose service has lost its last engine.
fn withdraw(gateway: &Gateway, number: u64) {
    drop(take_grant(gateway, number));
}
