//! The credit that one daemon holds of one tenant.

use std::collections::VecDeque;

use ward_protocol::{MonoTime, TimeSpan};

use super::MAX_WAIT;
use super::demand::TenantDemand;
use super::message::{QuotaNeed, TenantKey};
use crate::limit::TokenBucket;
use crate::number::{floor_to_u64, secs_to_span};
use crate::tenant::{QuotaAmount, TenantQuota};

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
    /// Numbers and costs of waiting requests, in order of arrival.
    queue: VecDeque<(u64, f64)>,
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

    /// Takes a request's cost, unless others wait or there is too little credit.
    pub(super) fn take(&mut self, cost: f64) -> bool {
        let may_take = self.queue.is_empty() && self.bucket.holds(cost);
        if may_take {
            self.bucket.take(cost);
        }
        may_take
    }

    /// Takes the cost of a waiting request if it is the next one; returns whether it was.
    pub(super) fn take_waiting(&mut self, ticket: u64) -> bool {
        let next = self.queue.front().copied();
        let Some((_, cost)) = next.filter(|(number, _)| *number == ticket) else {
            return false;
        };
        let may_take = self.bucket.holds(cost);
        if may_take {
            self.queue.pop_front();
            self.bucket.take(cost);
        }
        may_take
    }

    /// Whether another request than the next one waits, or would.
    pub(super) fn has_queue(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Adds a waiting request; returns whether there was room.
    pub(super) fn enqueue(&mut self, ticket: u64, cost: f64) -> bool {
        let has_room = self.queue.len() < MAX_WAITING;
        if has_room {
            self.queue.push_back((ticket, cost));
        }
        has_room
    }

    /// Removes a waiting request; returns its cost.
    pub(super) fn dequeue(&mut self, ticket: u64) -> Option<f64> {
        let place = self
            .queue
            .iter()
            .position(|(number, _)| *number == ticket)?;
        self.queue.remove(place).map(|(_, cost)| cost)
    }

    /// Counts a request that is refused.
    pub(super) fn record_refusal(&mut self, cost: f64) {
        self.refused += cost;
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

    /// Time until an equal share brings what a request costs.
    pub(super) fn share_wait(&self, cost: f64, per_second: f64) -> TimeSpan {
        let missing = (cost - self.bucket.tokens()).max(0.0);
        if per_second <= 0.0 {
            return MAX_WAIT;
        }
        secs_to_span(missing / per_second).clamp(DEFAULT_WAIT, MAX_WAIT)
    }

    /// What the next report tells the coordinator; `None` if there is no news.
    pub(super) fn need(&mut self, tenant: TenantKey, now: MonoTime) -> Option<QuotaNeed> {
        let wanted = self.demand.wanted(now);
        let waiting: f64 = self.queue.iter().map(|(_, cost)| cost).sum();
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
