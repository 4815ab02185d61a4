//! Grants slots to the requests that wait, or ends their waits.

use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};
use tokio::sync::oneshot;
use ward_fleet::QueueRank;
use ward_fleet::choice::{EngineChoice, LimitedEngines};
use ward_fleet::flow::LateDecision;
use ward_protocol::BackendId;

use super::admission::refuse_if_hopeless;
use super::limited::{PermitDemand, permit_wait_if_late, want_spare_permits};
use super::slot::EngineSlot;
use super::ticket::{WaitFailure, WaitKey, WaitTicket};
use super::{check_allowed, choose_engine_for, occupy_slot, pause_if_late};
use crate::clock;
use crate::gateway::Gateway;
use crate::phase::RequestPhase;

/// Grants slots to waiting requests after every change; never returns.
pub(crate) async fn dispatch_queue(gateway: Rc<Gateway>) {
    loop {
        gateway.queue.changed.notified().await;
        dispatch_once(&gateway);
    }
}

fn dispatch_once(gateway: &Rc<Gateway>) {
    let mut waiting_keys: IndexMap<WaitKey, KeyQueue> = IndexMap::new();
    let mut permit_demand = PermitDemand::default();
    let mut unready_keys = IndexSet::new();
    for waiter in ranked_waiters(gateway) {
        let RankedWaiter { number, ticket, .. } = waiter;
        if !is_waiting(gateway, number) {
            continue;
        }
        if let Err(failure) = check_allowed(gateway, &ticket) {
            fail_wait(gateway, number, failure);
            continue;
        }
        let key = ticket.key();
        if ticket.avoided.is_empty() && unready_keys.contains(&key) {
            continue;
        }
        if let Some(queue) = waiting_keys
            .get_mut(&key)
            .filter(|_| ticket.avoided.is_empty())
        {
            queue.ahead += 1;
            keep_or_shed(gateway, number, &ticket, queue, &mut permit_demand);
            queue.ahead_tokens += ticket.work.tokens();
            continue;
        }
        match choose_engine_for(gateway, &ticket) {
            EngineChoice::Engine(id) => grant(gateway, number, &id, &ticket),
            EngineChoice::NoEngine => drop_grant(gateway, number),
            EngineChoice::OtherVersions => {
                if ticket.is_too_late_for_load(clock::now()) {
                    drop_grant(gateway, number);
                } else {
                    ticket.phase.enter(RequestPhase::Model);
                    unready_keys.insert(key);
                }
            }
            EngineChoice::Paused(until) => {
                if let Some(remaining) = pause_if_late(&ticket, until) {
                    fail_wait(gateway, number, WaitFailure::Paused(remaining));
                } else {
                    // The next in rank may be able to wait longer.
                    ticket.phase.enter(RequestPhase::Pause);
                    unready_keys.insert(key);
                }
            }
            EngineChoice::Limited(limited) => {
                ticket.phase.enter(RequestPhase::Permit);
                let mut queue = KeyQueue::new(Some(limited));
                keep_or_shed(gateway, number, &ticket, &queue, &mut permit_demand);
                queue.ahead_tokens = ticket.work.tokens();
                waiting_keys.insert(key, queue);
            }
            EngineChoice::Full => {
                ticket.phase.enter(RequestPhase::Slot);
                let mut queue = KeyQueue::new(None);
                keep_or_shed(gateway, number, &ticket, &queue, &mut permit_demand);
                queue.ahead_tokens = ticket.work.tokens();
                waiting_keys.insert(key, queue);
            }
            EngineChoice::Missing => {
                if let Some(ready_in) = gateway.queue.ready_in_if_late(&ticket) {
                    fail_wait(gateway, number, WaitFailure::NotInTime(ready_in));
                } else {
                    ticket.phase.enter(RequestPhase::Model);
                    unready_keys.insert(key);
                }
            }
        }
    }
    permit_demand.request(gateway);
}

/// Requests that the same engines can serve and that wait, as far as they were looked at.
struct KeyQueue {
    /// Requests before the one that is looked at.
    ahead: usize,
    /// Work of these, in tokens.
    ahead_tokens: u64,
    /// Engines with a rate limit that have room; `None` if there are none.
    limited: Option<LimitedEngines>,
}

impl KeyQueue {
    const fn new(limited: Option<LimitedEngines>) -> Self {
        Self {
            ahead: 0,
            ahead_tokens: 0,
            limited,
        }
    }
}

/// Lets a request wait, with a permit asked for if that is what it lacks, or refuses it if
/// it would wait too long.
fn keep_or_shed(
    gateway: &Gateway,
    number: u64,
    ticket: &WaitTicket,
    queue: &KeyQueue,
    permit_demand: &mut PermitDemand,
) {
    let Some(limited) = &queue.limited else {
        shed(gateway, number, ticket, queue);
        return;
    };
    if let Some(wait) = permit_wait_if_late(gateway, ticket, limited, queue.ahead) {
        want_spare_permits(gateway, limited);
        fail_wait(gateway, number, WaitFailure::Limited(wait));
        return;
    }
    permit_demand.add(limited, queue.ahead);
    if !limited.are_only {
        shed(gateway, number, ticket, queue);
    }
}

/// Refuses a waiting request that has no prospect of an engine in time.
fn shed(gateway: &Gateway, number: u64, ticket: &WaitTicket, queue: &KeyQueue) {
    let is_refused = gateway.settings().defers_by_cost
        && refuse_if_hopeless(gateway, number, ticket, queue.ahead_tokens);
    if !is_refused {
        shed_if_late(gateway, number, ticket, queue);
    }
}

/// Refuses a waiting request that can no longer meet its target latency and is
/// unlikely to get a slot before its deadline.
fn shed_if_late(gateway: &Gateway, number: u64, ticket: &WaitTicket, queue: &KeyQueue) {
    let now = clock::now();
    if !ticket.rank(now).is_late() {
        return;
    }
    let flows = gateway.queue.flows.borrow();
    let Some(flow) = flows.get(&ticket.key()) else {
        return;
    };
    let remaining = ticket.times.deadline.since(now);
    let LateDecision::Refuse(mut retry_after) = flow.decide_late(queue.ahead, remaining, now)
    else {
        return;
    };
    drop(flows);
    if gateway.settings().defers_by_cost {
        let admission = &gateway.queue.admission;
        retry_after = admission.retry_delay(&ticket.key(), queue.ahead_tokens);
    }
    fail_wait(gateway, number, WaitFailure::Overload(retry_after));
}

/// Ends the wait of a request with a failure.
pub(super) fn fail_wait(gateway: &Gateway, number: u64, failure: WaitFailure) {
    if let Some(grant) = take_grant(gateway, number) {
        if matches!(failure, WaitFailure::Overload(_)) {
            record_refusal(gateway, number);
        }
        // A dropped request needs no answer.
        drop(grant.send(Err(failure)));
    }
}

fn record_refusal(gateway: &Gateway, number: u64) {
    let waiters = gateway.queue.waiters.borrow();
    if let Some(waiter) = waiters.get(&number) {
        gateway.queue.admission.record_refusal(&waiter.ticket);
    }
}

/// A waiting request and its rank.
pub(super) struct RankedWaiter {
    pub(super) rank: QueueRank,
    pub(super) number: u64,
    pub(super) ticket: WaitTicket,
}

/// The waiting requests, the one to serve first at the front.
fn ranked_waiters(gateway: &Gateway) -> Vec<RankedWaiter> {
    let now = clock::now();
    let waiters = gateway.queue.waiters.borrow();
    let waiting = waiters.values().filter(|waiter| waiter.grant.is_some());
    let ranked = waiting.map(|waiter| RankedWaiter {
        rank: waiter.ticket.rank(now),
        number: waiter.number,
        ticket: waiter.ticket.clone(),
    });
    let mut ranked: Vec<_> = ranked.collect();
    drop(waiters);
    if gateway.settings().defers_by_cost {
        gateway.queue.admission.defer(&mut ranked, now);
    }
    ranked.sort_unstable_by_key(|waiter| (waiter.rank, waiter.number));
    ranked
}

fn is_waiting(gateway: &Gateway, number: u64) -> bool {
    let waiters = gateway.queue.waiters.borrow();
    waiters.contains_key(&number)
}

type GrantSender = oneshot::Sender<Result<EngineSlot, WaitFailure>>;

fn take_grant(gateway: &Gateway, number: u64) -> Option<GrantSender> {
    let mut waiters = gateway.queue.waiters.borrow_mut();
    waiters.get_mut(&number)?.grant.take()
}

/// Ends the wait of a request with a slot at an engine.
fn grant(gateway: &Rc<Gateway>, number: u64, id: &BackendId, ticket: &WaitTicket) {
    let Some(slot) = occupy_slot(gateway, id, ticket) else {
        return;
    };
    // If the request was dropped meanwhile, dropping the slot releases it.
    gateway.queue.record_grant(ticket);
    if let Some(grant) = take_grant(gateway, number)
        && let Err(slot) = grant.send(Ok(slot))
    {
        drop(slot);
    }
}

/// Ends the wait of a request whose service has lost its last engine: dropping the
/// grant makes it fail with `WaitFailure::NoEngine`.
fn drop_grant(gateway: &Gateway, number: u64) {
    drop(take_grant(gateway, number));
}
