//! The credit that one daemon holds of all tenants.
//!
//! While messages of a coordinator arrive, credit comes only with its grants. Otherwise
//! the daemon is alone: it refills its credit with its share of the rate, and soon keeps
//! no more than its share of all credit. A daemon that was frozen finds that it
//! has been alone before it reads any message, so it never uses credit that was handed out
//! again.

use indexmap::IndexMap;
use ward_protocol::{MonoTime, TimeSpan};

use super::credit::{CreditAnswer, CreditRequest, CreditStatus, TenantCredit};
use super::message::{QuotaBatch, QuotaNeed, TenantKey};
use super::{ALONE_DELAY, CREDIT_LIFETIME};
use crate::limit::TokenBucket;
use crate::tenant::{QuotaAmount, TenantQuota};

/// Fraction of the slack that daemons save up in sum while they are alone, in addition to
/// what the coordinator may hand out.
const ALONE_SLACK_FRACTION: f64 = 0.25;
/// Fraction of the slack that they get in sum when they become alone, once in a window.
const START_SLACK_FRACTION: f64 = 0.25;
/// Minimum Retry-After at a daemon that is alone.
const MIN_SHARE_WAIT: TimeSpan = TimeSpan::from_millis(500);

/// What credit depends on besides the messages of the coordinator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CreditContext {
    /// Share of this daemon in each quota while it is alone.
    pub share: f64,
    /// Amount by which a tenant may exceed its quota in a window.
    pub slack: QuotaAmount,
    /// Window over which the use of a quota is counted.
    pub window: TimeSpan,
    /// Current time by the daemon's clock.
    pub now: MonoTime,
}

impl CreditContext {
    /// This daemon's share of the rate of a quota, per second.
    fn share_per_second(&self, quota: &TenantQuota) -> f64 {
        quota.rate.per_second() * self.share
    }

    /// Credit that this daemon holds at most while it is alone.
    fn share_capacity(&self, quota: &TenantQuota) -> f64 {
        let saved = self.slack.to_f64() * ALONE_SLACK_FRACTION;
        (quota.capacity(self.slack) + saved) * self.share
    }

    /// Time until this daemon's share brings what a request costs, and those that wait
    /// before it.
    fn share_wait(&self, credit: &TenantCredit, request: CreditRequest) -> TimeSpan {
        credit.share_wait(request, self.share_per_second(&credit.quota))
    }

    /// Credit that this daemon gets at once when it becomes alone.
    fn start_credit(&self) -> f64 {
        self.slack.to_f64() * START_SLACK_FRACTION * self.share
    }

    /// Refills the credit of a daemon that is alone. Until its credit is handed out again,
    /// it keeps what it holds.
    fn refill(&self, credit: &mut TenantCredit, last_contact: Option<MonoTime>) {
        let quota = credit.quota;
        let per_second = self.share_per_second(&quota);
        let is_current = |at: MonoTime| self.now.since(at) < CREDIT_LIFETIME;
        let mut capacity = self.share_capacity(&quota);
        if last_contact.is_some_and(is_current) {
            capacity = capacity.max(credit.bucket.tokens());
        }
        credit.bucket.fill(per_second, capacity, self.now);
    }
}

/// The credit that a daemon holds, by tenant.
#[derive(Debug, Clone)]
pub struct CreditStore {
    credits: IndexMap<TenantKey, TenantCredit>,
    /// When the last message of a coordinator arrived.
    last_contact: Option<MonoTime>,
    /// Since when the daemon has been alone; `None` while it hears of a coordinator.
    alone_since: Option<MonoTime>,
    /// When the daemon last got credit for becoming alone.
    started_at: MonoTime,
    next_ticket: u64,
}

impl CreditStore {
    /// No credit, at a daemon that starts now.
    #[must_use]
    pub fn new(now: MonoTime) -> Self {
        Self {
            credits: IndexMap::new(),
            last_contact: None,
            alone_since: Some(now),
            // A former run of the daemon may have got it until just now.
            started_at: now,
            next_ticket: 0,
        }
    }

    /// Finds out whether the daemon is alone; precedes every other step.
    fn refresh(&mut self, context: &CreditContext) {
        let now = context.now;
        let is_heard = |at: MonoTime| now.since(at) < ALONE_DELAY;
        if self.alone_since.is_some() || self.last_contact.is_some_and(is_heard) {
            return;
        }
        self.be_alone(context);
    }

    fn be_alone(&mut self, context: &CreditContext) {
        self.alone_since = Some(context.now);
        let may_start = context.now.since(self.started_at) >= context.window;
        let start_credit = if may_start {
            context.start_credit()
        } else {
            0.0
        };
        if may_start {
            self.started_at = context.now;
        }
        for credit in self.credits.values_mut() {
            credit.bucket.skip_until(context.now);
            credit.bucket.put(start_credit);
            context.refill(credit, self.last_contact);
        }
    }

    /// Ends the connection to a coordinator.
    pub fn end_link(&mut self, context: &CreditContext) {
        self.refresh(context);
        if self.alone_since.is_none() {
            self.be_alone(context);
        }
    }

    /// Begins a connection to a coordinator.
    pub fn begin_link(&mut self, context: &CreditContext) {
        self.refresh(context);
        for credit in self.credits.values_mut() {
            credit.begin_link();
        }
    }

    /// Records that a message of the coordinator has arrived.
    pub fn record_contact(&mut self, context: &CreditContext) {
        self.refresh(context);
        let last_contact = self.last_contact.replace(context.now);
        if self.alone_since.take().is_none() {
            return;
        }
        for credit in self.credits.values_mut() {
            context.refill(credit, last_contact);
            credit.mark_unreported();
        }
    }

    /// Adds the credit that the coordinator has granted.
    pub fn receive(&mut self, batch: &QuotaBatch, context: &CreditContext) {
        self.record_contact(context);
        let now = context.now;
        let is_fresh = now.since(batch.reported_at + batch.held_for) < CREDIT_LIFETIME;
        for grant in &batch.grants {
            if let Some(credit) = self.credits.get_mut(&grant.tenant) {
                credit.receive(grant.amount, grant.wait, is_fresh, now);
                let capacity = credit.quota.capacity(context.slack);
                credit.bucket.clamp_to(capacity);
            }
        }
    }

    /// Takes the cost of a new request out of its tenant's credit, or has it wait, unless
    /// the wait would be longer than `patience`.
    pub fn request(
        &mut self,
        tenant: TenantKey,
        quota: TenantQuota,
        request: CreditRequest,
        patience: TimeSpan,
        context: &CreditContext,
    ) -> CreditAnswer {
        self.refresh(context);
        let start = self.alone_since.unwrap_or(context.now);
        let credit = self
            .credits
            .entry(tenant)
            .or_insert_with(|| TenantCredit::new(quota, TokenBucket::since(start)));
        credit.record_demand(request.cost.to_f64(), context.now);
        let is_alone = self.alone_since.is_some();
        if is_alone {
            context.refill(credit, self.last_contact);
        }
        if credit.take(request) {
            return CreditAnswer::Granted;
        }
        let ticket = self.next_ticket;
        let (wait, is_too_long) = if is_alone {
            // More than the share can hold would block those behind it.
            let capacity = context.share_capacity(&credit.quota);
            let never_comes = request.cost.to_f64() > capacity;
            let wait = context.share_wait(credit, request);
            (wait.max(MIN_SHARE_WAIT), never_comes || wait > patience)
        } else {
            let wait = credit.expected_wait(context.now);
            // One request waits in any case, so that the daemon gets its turn.
            let has_queue = credit.has_queue(request.priority);
            (wait, has_queue && credit.has_estimate() && wait > patience)
        };
        if is_too_long || !credit.enqueue(ticket, request) {
            credit.record_refusal(request.cost);
            return CreditAnswer::Refused(wait);
        }
        self.next_ticket += 1;
        CreditAnswer::Waits(ticket)
    }

    /// Takes the cost of a waiting request if there is credit by now; refuses it if it has
    /// no `patience` left.
    pub fn request_again(
        &mut self,
        tenant: TenantKey,
        ticket: u64,
        patience: TimeSpan,
        context: &CreditContext,
    ) -> CreditAnswer {
        self.refresh(context);
        let is_alone = self.alone_since.is_some();
        let Some(credit) = self.credits.get_mut(&tenant) else {
            // A newer manifest has no quota for the tenant.
            return CreditAnswer::Granted;
        };
        if is_alone {
            context.refill(credit, self.last_contact);
        }
        if credit.take_waiting(ticket) {
            return CreditAnswer::Granted;
        }
        if patience > TimeSpan::ZERO {
            return CreditAnswer::Waits(ticket);
        }
        let Some(request) = credit.dequeue(ticket) else {
            return CreditAnswer::Granted;
        };
        credit.record_refusal(request.cost);
        CreditAnswer::Refused(if is_alone {
            context.share_wait(credit, request).max(MIN_SHARE_WAIT)
        } else {
            credit.expected_wait(context.now)
        })
    }

    /// Time until the daemon's own share brings credit for the first waiting request of a
    /// tenant; `None` while credit comes from a coordinator, or if nothing waits.
    #[must_use]
    pub fn next_share(&self, tenant: TenantKey, context: &CreditContext) -> Option<TimeSpan> {
        self.alone_since?;
        let credit = self.credits.get(&tenant)?;
        credit.first_share_wait(context.share_per_second(&credit.quota))
    }

    /// Removes a waiting request whose caller has left.
    pub fn cancel(&mut self, tenant: TenantKey, ticket: u64) {
        if let Some(credit) = self.credits.get_mut(&tenant) {
            credit.dequeue(ticket);
        }
    }

    /// Gives back the cost of a request that no engine has run.
    pub fn refund(&mut self, tenant: TenantKey, cost: QuotaAmount, context: &CreditContext) {
        self.refresh(context);
        let is_alone = self.alone_since.is_some();
        let Some(credit) = self.credits.get_mut(&tenant) else {
            return;
        };
        credit.bucket.put(cost.to_f64());
        if is_alone {
            context.refill(credit, self.last_contact);
        } else {
            credit.bucket.clamp_to(credit.quota.capacity(context.slack));
        }
    }

    /// What the daemon tells the coordinator of its credit now.
    pub fn needs(&mut self, context: &CreditContext) -> Vec<QuotaNeed> {
        self.refresh(context);
        let now = context.now;
        let needs = self.credits.iter_mut();
        needs
            .filter_map(|(tenant, credit)| credit.need(*tenant, now))
            .collect()
    }

    /// Puts the quotas of a manifest in force. Credit shrinks with a quota, and doesn't
    /// grow with it.
    pub fn adopt(&mut self, quotas: &IndexMap<TenantKey, TenantQuota>, context: &CreditContext) {
        self.refresh(context);
        self.credits.retain(|tenant, _| quotas.contains_key(tenant));
        for (tenant, credit) in &mut self.credits {
            let Some(quota) = quotas.get(tenant) else {
                continue;
            };
            let former = credit.quota.capacity(context.slack);
            let capacity = quota.capacity(context.slack);
            if credit.quota.unit != quota.unit {
                credit.bucket.clamp_to(0.0);
            } else if capacity < former {
                let scaled = credit.bucket.tokens() * capacity / former;
                credit.bucket.clamp_to(scaled);
            }
            credit.quota = *quota;
            credit.mark_unreported();
        }
    }

    /// Whether the daemon goes on with its own share, since it hears of no coordinator.
    #[must_use]
    pub const fn is_alone(&self) -> bool {
        self.alone_since.is_some()
    }

    /// The credit of a tenant, for logs.
    #[must_use]
    pub fn status(&self, tenant: TenantKey, now: MonoTime) -> CreditStatus {
        let credit = self.credits.get(&tenant);
        let granted_at = credit.and_then(|credit| credit.granted_at);
        CreditStatus {
            held: credit.map_or(0.0, |credit| credit.bucket.tokens()),
            grant_age: granted_at.map(|at| now.since(at)),
            is_alone: self.alone_since.is_some(),
        }
    }
}
