//! Defers or refuses waiting requests when engines cannot serve all of them on time.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use slog::info;
use ward_fleet::RequestPriority;
use ward_fleet::admission::{
    QueuedRequest, RequestWork, ServedShares, ShareClass, WorkFlow, WorkRate, plan_deferrals,
    retry_delay,
};
use ward_protocol::{MonoTime, ServiceName, TimeSpan};

use super::dispatch::{RankedWaiter, fail_wait};
use super::ticket::{WaitFailure, WaitKey, WaitTicket};
use crate::clock;
use crate::gateway::Gateway;

/// Requests of one route and priority of tenants, which must not be starved.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct RequestKind {
    route: Rc<str>,
    tenant_priority: u32,
}

/// What the deferral of waiting requests depends on.
#[derive(Default)]
pub(super) struct AdmissionState {
    flows: RefCell<IndexMap<WaitKey, WorkFlow>>,
    shares: RefCell<IndexMap<ServiceName, ServedShares<RequestKind>>>,
}

impl AdmissionState {
    /// Records the arrival of a request, and returns its class.
    pub(super) fn classify(
        &self,
        service: &ServiceName,
        route: &Rc<str>,
        priority: RequestPriority,
        work: RequestWork,
    ) -> ShareClass<RequestKind> {
        let kind = RequestKind {
            route: Rc::clone(route),
            tenant_priority: priority.tenant,
        };
        let mut shares = self.shares.borrow_mut();
        let shares = shares.entry(service.clone()).or_default();
        shares.classify(kind, work)
    }

    /// Records that a request waits.
    pub(super) fn record_waiting(&self, ticket: &WaitTicket) {
        let mut flows = self.flows.borrow_mut();
        let flow = flows.entry(ticket.key()).or_default();
        flow.record_waiting(clock::now());
    }

    /// Records that the last request that the same engines can serve waits no longer.
    pub(super) fn record_empty(&self, ticket: &WaitTicket) {
        self.flows.borrow_mut().swap_remove(&ticket.key());
    }

    /// Records that a request has got a slot at an engine.
    pub(super) fn record_grant(&self, ticket: &WaitTicket) {
        if let Some(flow) = self.flows.borrow_mut().get_mut(&ticket.key()) {
            flow.record_grant(ticket.work, clock::now());
        }
        self.record_share(ticket, true);
    }

    /// Records that a request was refused or has run out of time.
    pub(super) fn record_refusal(&self, ticket: &WaitTicket) {
        self.record_share(ticket, false);
    }

    fn record_share(&self, ticket: &WaitTicket, is_served: bool) {
        if let Some(shares) = self.shares.borrow_mut().get_mut(&ticket.service) {
            shares.record(&ticket.class, is_served, clock::now());
        }
    }

    fn rate(&self, key: &WaitKey, now: MonoTime) -> Option<WorkRate> {
        self.flows.borrow().get(key)?.rate(now)
    }

    /// Delay after which a refused caller may retry, with this work in tokens before it.
    pub(super) fn retry_delay(&self, key: &WaitKey, ahead_tokens: u64) -> TimeSpan {
        let rate = self.rate(key, clock::now());
        retry_delay(ahead_tokens, rate, rand::random())
    }

    /// Moves requests that give way behind those that can be on time.
    pub(super) fn defer(&self, waiters: &mut [RankedWaiter], now: MonoTime) {
        let mut keys: IndexMap<WaitKey, Vec<usize>> = IndexMap::new();
        for (index, waiter) in waiters.iter().enumerate() {
            keys.entry(waiter.ticket.key()).or_default().push(index);
        }
        for (key, indexes) in keys {
            let Some(rate) = self.rate(&key, now).filter(|_| indexes.len() > 1) else {
                continue;
            };
            let shares = self.shares.borrow();
            let Some(shares) = shares.get(&key.service) else {
                continue;
            };
            let tickets = indexes.iter().filter_map(|index| waiters.get(*index));
            let requests: Vec<_> = tickets.map(|waiter| queued(&waiter.ticket)).collect();
            let deferred = plan_deferrals(&requests, shares, rate, now);
            for (index, _) in indexes.iter().zip(deferred).filter(|(_, flag)| *flag) {
                if let Some(waiter) = waiters.get_mut(*index) {
                    waiter.rank = waiter.rank.deferred();
                }
            }
        }
    }
}

fn queued(ticket: &WaitTicket) -> QueuedRequest<RequestPriority, RequestKind> {
    QueuedRequest {
        urgency: ticket.priority,
        times: ticket.times,
        work: ticket.work,
        class: ticket.class.clone(),
    }
}

/// Refuses a request that the engines, at their measured rate, cannot begin before its
/// answer is of no use; returns whether it did.
pub(super) fn refuse_if_hopeless(
    gateway: &Gateway,
    number: u64,
    ticket: &WaitTicket,
    ahead_tokens: u64,
) -> bool {
    let now = clock::now();
    let admission = &gateway.queue.admission;
    let key = ticket.key();
    let Some(rate) = admission.rate(&key, now) else {
        return false;
    };
    let wait = rate.time_for(ahead_tokens);
    if now + wait <= ticket.times.latest_start() {
        return false;
    }
    info!(
        gateway.logger, "queue: refused, no engine in time";
        "request" => &*ticket.identity.request_id, "priority" => %ticket.priority,
        "ahead" => ahead_tokens, "wait" => wait.millis(),
    );
    gateway.metrics.forecast_refusals.inc();
    let delay = admission.retry_delay(&key, ahead_tokens);
    fail_wait(gateway, number, WaitFailure::Overload(delay));
    true
}
