//! The credit that one daemon holds of one tenant.

use std::collections::VecDeque;

use ward_protocol::{MonoTime, TimeSpan};

use super::MAX_WAIT;
use super::demand::TenantDemand;
use super::message::{QuotaNeed, TenantKey};
use crate::limit::TokenBucket;
use crate::number::{floor_to_u64, secs_to_span};
use crate::tenant::{QuotaAmount, RequestPriority, TenantQuota};

/// Requests of one tenant that wait for credit at most; further ones are refused.
const MAX_WAITING: usize = 64;
/// Multiple of the wanted credit from which the rest is given back.
const RETURN_FACTOR: f64 = 2.0;
/// Fraction of the wanted credit below which more is asked for.
const REFILL_FRACTION: f64 = 0.5;
/// Retry-After before the coordinator has estimated a wait.
const DEFAULT_WAIT: TimeSpan = TimeSpan::from_millis(500);

/// Whether a request may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreditAnswer {
    /// It may; its cost was taken.
    Granted,
    /// It waits for credit under this number.
    Waits(u64),
    /// It is beyond the quota; this is the expected time until it may be sent again.
    Refused(TimeSpan),
}

/// A request as its tenant's quota sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CreditRequest {
    /// What it counts.
    pub cost: QuotaAmount,
    /// How urgent it is among the tenant's requests.
    pub priority: RequestPriority,
}

/// A request that waits for credit.
#[derive(Debug, Clone, Copy)]
struct CreditWaiter {
    ticket: u64,
    request: CreditRequest,
}

/// The credit of one tenant at a daemon, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CreditStatus {
    /// Credit that the daemon holds.
    pub held: f64,
    /// Time since the last grant of credit; `None` before the first.
    pub grant_age: Option<TimeSpan>,
    /// Whether the daemon goes on with an equal share, since it hears of no coordinator.
    pub is_alone: bool,
}

/// Credit of one tenant at one daemon.
#[derive(Debug, Clone)]
pub(super) struct TenantCredit {
    pub(super) quota: TenantQuota,
    pub(super) bucket: TokenBucket,
    pub(super) granted_at: Option<MonoTime>,
    demand: TenantDemand,
    /// Waiting requests: the most urgent first, those of one priority in order of arrival.
    queue: VecDeque<CreditWaiter>,
    /// Whole credit received on the current connection to the coordinator.
    received: u64,
    /// Whole credit given back on that connection.
    returned: u64,
    /// Cost of the requests refused since the last report.
    refused: f64,
    /// Time from which further requests are expected to get credit.
    credit_from: Option<MonoTime>,
    /// Whether the coordinator may not know the credit that the daemon holds.
    is_unreported: bool,
}

impl TenantCredit {
    pub(super) fn new(quota: TenantQuota, bucket: TokenBucket) -> Self {
        Self {
            quota,
            bucket,
            granted_at: None,
            demand: TenantDemand::default(),
            queue: VecDeque::new(),
            received: 0,
            returned: 0,
            refused: 0.0,
            credit_from: None,
            is_unreported: false,
        }
    }

    /// Begins a connection to a coordinator, which knows of no earlier credit.
    pub(super) fn begin_link(&mut self) {
        self.received = 0;
        self.returned = 0;
        self.credit_from = None;
        self.is_unreported = true;
    }

    /// Has the next report tell what the daemon holds.
    pub(super) fn mark_unreported(&mut self) {
        self.is_unreported = true;
    }

    /// Adds what a grant brings; credit that is too old only counts as received.
    pub(super) fn receive(
        &mut self,
        amount: QuotaAmount,
        wait: TimeSpan,
        is_fresh: bool,
        now: MonoTime,
    ) {
        self.received = self.received.saturating_add(amount.0);
        if !is_fresh {
            return;
        }
        self.bucket.put(amount.to_f64());
        self.credit_from = Some(now + wait);
        self.granted_at = Some(now);
    }

    /// Records that a request has arrived.
    pub(super) fn record_demand(&mut self, cost: f64, now: MonoTime) {
        self.demand.record(cost, now);
    }

    /// Takes a request's cost, unless others as urgent wait or there is too little credit.
    pub(super) fn take(&mut self, request: CreditRequest) -> bool {
        let cost = request.cost.to_f64();
        let may_take = !self.has_queue(request.priority) && self.bucket.holds(cost);
        if may_take {
            self.bucket.take(cost);
        }
        may_take
    }

    /// Takes the cost of a waiting request if it is the next one; returns whether it was.
    pub(super) fn take_waiting(&mut self, ticket: u64) -> bool {
        let next = self.queue.front().copied();
        let Some(waiter) = next.filter(|waiter| waiter.ticket == ticket) else {
            return false;
        };
        let cost = waiter.request.cost.to_f64();
        let may_take = self.bucket.holds(cost);
        if may_take {
            self.queue.pop_front();
            self.bucket.take(cost);
        }
        may_take
    }

    /// Whether another request waits that is as urgent or more.
    pub(super) fn has_queue(&self, priority: RequestPriority) -> bool {
        let first = self.queue.front();
        first.is_some_and(|waiter| waiter.request.priority <= priority)
    }

    /// Adds a waiting request; returns whether there was room.
    pub(super) fn enqueue(&mut self, ticket: u64, request: CreditRequest) -> bool {
        let has_room = self.queue.len() < MAX_WAITING;
        if has_room {
            let is_before = |waiter: &CreditWaiter| waiter.request.priority <= request.priority;
            let place = self.queue.partition_point(is_before);
            self.queue.insert(place, CreditWaiter { ticket, request });
        }
        has_room
    }

    /// Removes a waiting request, and returns it.
    pub(super) fn dequeue(&mut self, ticket: u64) -> Option<CreditRequest> {
        let mut waiters = self.queue.iter();
        let place = waiters.position(|waiter| waiter.ticket == ticket)?;
        self.queue.remove(place).map(|waiter| waiter.request)
    }

    /// Counts a request that is refused.
    pub(super) fn record_refusal(&mut self, cost: QuotaAmount) {
        self.refused += cost.to_f64();
    }

    /// Whether the coordinator that the daemon follows has estimated a wait.
    pub(super) const fn has_estimate(&self) -> bool {
        self.credit_from.is_some()
    }

    /// Expected time until a further request gets credit from the coordinator.
    pub(super) fn expected_wait(&self, now: MonoTime) -> TimeSpan {
        self.credit_from
            .map_or(DEFAULT_WAIT, |credit_from| credit_from.since(now))
    }

    /// Time until a share of so much per second brings what a request costs, and those
    /// that wait before it.
    pub(super) fn share_wait(&self, request: CreditRequest, per_second: f64) -> TimeSpan {
        let is_before = |waiter: &&CreditWaiter| waiter.request.priority <= request.priority;
        let before = self.queue.iter().filter(is_before);
        let cost: f64 = before.map(|waiter| waiter.request.cost.to_f64()).sum();
        self.time_to_hold(cost + request.cost.to_f64(), per_second)
    }

    /// The same for the first request that waits; `None` if none does.
    pub(super) fn first_share_wait(&self, per_second: f64) -> Option<TimeSpan> {
        let first = self.queue.front()?;
        Some(self.time_to_hold(first.request.cost.to_f64(), per_second))
    }

    /// Time until the credit held is at least `amount`.
    fn time_to_hold(&self, amount: f64, per_second: f64) -> TimeSpan {
        let missing = (amount - self.bucket.tokens()).max(0.0);
        if per_second <= 0.0 {
            return MAX_WAIT;
        }
        secs_to_span(missing / per_second).min(MAX_WAIT)
    }

    /// What the next report tells the coordinator; `None` if there is no news.
    pub(super) fn need(&mut self, tenant: TenantKey, now: MonoTime) -> Option<QuotaNeed> {
        let wanted = self.demand.wanted(now);
        let costs = self.queue.iter().map(|waiter| waiter.request.cost.to_f64());
        let waiting: f64 = costs.sum();
        let is_returned = self.give_back(wanted + waiting);
        let is_short = self.bucket.tokens() < wanted * REFILL_FRACTION;
        let is_news = self.is_unreported || is_returned || is_short;
        if !is_news && waiting <= 0.0 && self.refused <= 0.0 {
            return None;
        }
        self.is_unreported = false;
        let refused = std::mem::take(&mut self.refused);
        Some(QuotaNeed {
            tenant,
            held: whole_amount(self.bucket.tokens()),
            received: QuotaAmount(self.received),
            returned: QuotaAmount(self.returned),
            waiting: whole_amount(waiting),
            wanted: whole_amount(wanted),
            refused: whole_amount(refused),
        })
    }

    /// Gives credit back that the daemon has no use for; returns whether it did.
    fn give_back(&mut self, wanted: f64) -> bool {
        let spare = floor_to_u64(self.bucket.tokens() - wanted);
        if spare == 0 || self.bucket.tokens() <= RETURN_FACTOR * wanted {
            return false;
        }
        let amount = QuotaAmount(spare);
        self.bucket.take(amount.to_f64());
        self.returned = self.returned.saturating_add(spare);
        true
    }
}

/// An amount in whole units, rounded up.
fn whole_amount(amount: f64) -> QuotaAmount {
    QuotaAmount(floor_to_u64(amount.ceil()))
}
