//! Charges requests to the quotas of their tenants.
//!
//! A request is charged as soon as its tenant is known, before its body is read. If this
//! daemon holds too little credit, the request waits for the coordinator's answer, for a
//! small part of the route's target latency. Without a coordinator it waits longer, until the
//! daemon's own share brings enough or a coordinator is there.

use std::rc::Rc;

use slog::info;
use ward_fleet::{
    CreditAnswer, CreditRequest, QuotaAmount, RequestPriority, ServingManifest, TenantKey,
    TenantQuota,
};
use ward_protocol::{MonoTime, TenantName, TimeSpan};

use super::answer::OwnAnswer;
use super::refusal::{Refusal, refuse};
use super::route::RoutedRequest;
use crate::clock;
use crate::gateway::Gateway;
use crate::phase::SharedPhase;
use crate::quota::credit_context;

/// Fraction of a route's target latency for which a request waits for the coordinator's
/// credit. Without a coordinator it waits for up to all of the target latency.
const WAIT_FRACTION: u64 = 4;
/// Minimum time for which a request waits: a report, its answer and their ways.
const MIN_WAIT: TimeSpan = TimeSpan::from_millis(100);
/// Minimum time between two looks at this daemon's own share.
const MIN_SHARE_PAUSE: TimeSpan = TimeSpan::from_millis(5);

/// The charge of one request. What no engine has run is given back when the charge is
/// dropped.
pub(super) struct QuotaCharge {
    gateway: Rc<Gateway>,
    tenant: TenantKey,
    cost: QuotaAmount,
    phase: SharedPhase,
    /// Whether an engine may have run the request; `None` until it has an answer.
    may_have_run: Option<bool>,
}

impl QuotaCharge {
    /// Records the answer to the request.
    pub(super) fn settle<T>(&mut self, served: &Result<T, Refusal>) {
        let has_not_run = matches!(served, Err(refusal) if refusal.answer.promises_no_run());
        self.may_have_run = Some(!has_not_run);
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        // A caller that leaves has no answer.
        if self.may_have_run.unwrap_or_else(|| self.phase.was_sent()) {
            return;
        }
        let context = credit_context(&self.gateway);
        let mut credits = self.gateway.quota.credits.borrow_mut();
        credits.refund(self.tenant, self.cost, &context);
        drop(credits);
        self.gateway.metrics.quota_refunds.inc();
        self.gateway.quota.changed.notify_waiters();
    }
}

/// A request that is being charged.
struct ChargeRequest<'a> {
    gateway: &'a Gateway,
    name: &'a TenantName,
    tenant: TenantKey,
    quota: TenantQuota,
    cost: QuotaAmount,
    priority: RequestPriority,
    /// When it is refused if it has got no credit.
    wait_until: MonoTime,
}

/// Charges a request to its tenant's quota; `None` if the tenant has none.
///
/// # Errors
/// A refusal if the request is beyond the quota.
pub(super) async fn charge_quota(
    gateway: &Rc<Gateway>,
    manifest: &ServingManifest,
    routed: &RoutedRequest,
    arrival: MonoTime,
    phase: &SharedPhase,
) -> Result<Option<QuotaCharge>, Refusal> {
    let class = routed
        .tenant
        .as_ref()
        .and_then(|name| Some((name, manifest.tenants.as_ref()?.class(name)?)));
    let Some((name, quota)) = class.and_then(|(name, class)| Some((name, class.quota?))) else {
        return Ok(None);
    };
    let request = ChargeRequest {
        gateway,
        name,
        tenant: TenantKey::of(name),
        quota,
        cost: quota.unit.cost(routed.fields.tokens),
        priority: routed.priority,
        wait_until: arrival + patience(gateway, routed),
    };
    let result = request.charge().await;
    gateway.metrics.count_charge(name.as_str(), result.is_ok());
    if let Err(wait) = result {
        request.log_refusal(routed.fields.id_text(), wait);
        return Err(refuse(
            OwnAnswer::OverQuota(wait),
            "it is beyond its tenant's quota",
        ));
    }
    Ok(Some(QuotaCharge {
        gateway: Rc::clone(gateway),
        tenant: request.tenant,
        cost: request.cost,
        phase: phase.clone(),
        may_have_run: None,
    }))
}

/// Time for which a request waits for credit.
fn patience(gateway: &Gateway, routed: &RoutedRequest) -> TimeSpan {
    let target = routed.route.target_latency;
    let patience = if gateway.quota.credits.borrow().is_alone() {
        target
    } else {
        TimeSpan::from_millis(target.millis() / WAIT_FRACTION)
    };
    patience.max(MIN_WAIT).min(routed.timeout)
}

impl ChargeRequest<'_> {
    /// Takes the cost out of the credit, and waits for credit if there is too little.
    ///
    /// # Errors
    /// The expected time until the request may be sent again, if it is beyond the quota.
    async fn charge(&self) -> Result<(), TimeSpan> {
        let context = credit_context(self.gateway);
        let credits = &self.gateway.quota.credits;
        let answer = credits.borrow_mut().request(
            self.tenant,
            self.quota,
            CreditRequest {
                cost: self.cost,
                priority: self.priority,
            },
            self.wait_until.since(context.now),
            &context,
        );
        let ticket = match answer {
            CreditAnswer::Granted => return Ok(()),
            CreditAnswer::Refused(wait) => return Err(wait),
            CreditAnswer::Waits(ticket) => ticket,
        };
        let _guard = TicketGuard {
            request: self,
            ticket,
        };
        self.gateway.report_requested.notify_one();
        let result = self.wait_for_credit(ticket).await;
        let waited = clock::now().since(context.now);
        self.gateway.metrics.quota_waited.observe(waited.seconds());
        // The next request in the queue may have enough.
        self.gateway.quota.changed.notify_waiters();
        result
    }

    async fn wait_for_credit(&self, ticket: u64) -> Result<(), TimeSpan> {
        loop {
            let changed = self.gateway.quota.changed.notified();
            let time_left = self.wait_until.since(clock::now());
            match self.answer_again(ticket, time_left) {
                CreditAnswer::Granted => return Ok(()),
                CreditAnswer::Refused(wait) => return Err(wait),
                CreditAnswer::Waits(_) => {}
            }
            // Whether it has changed or not, it is looked at again.
            let pause = self
                .next_share()
                .map_or(time_left, |next| next.min(time_left));
            drop(tokio::time::timeout(pause.duration(), changed).await);
        }
    }

    fn answer_again(&self, ticket: u64, time_left: TimeSpan) -> CreditAnswer {
        let context = credit_context(self.gateway);
        let mut credits = self.gateway.quota.credits.borrow_mut();
        credits.request_again(self.tenant, ticket, time_left, &context)
    }

    /// Time until this daemon's own share may bring credit, while it is alone.
    fn next_share(&self) -> Option<TimeSpan> {
        let context = credit_context(self.gateway);
        let credits = self.gateway.quota.credits.borrow();
        let next = credits.next_share(self.tenant, &context)?;
        Some(next.max(MIN_SHARE_PAUSE))
    }

    fn log_refusal(&self, id: &str, wait: TimeSpan) {
        let credits = self.gateway.quota.credits.borrow();
        let status = credits.status(self.tenant, clock::now());
        info!(
            self.gateway.logger, "quota: refused"; "request" => id, "tenant" => %self.name,
            "cost" => self.cost.0, "credit" => status.held.floor(),
            "rate" => %self.quota.rate, "burst" => self.quota.burst.0,
            "grant_age" => status.grant_age.map(TimeSpan::millis),
            "alone" => status.is_alone, "daemons" => self.gateway.budget_daemons(),
            "wait" => wait.millis(),
        );
    }
}

/// Removes a request from the waiting ones when dropped, also if its caller leaves.
struct TicketGuard<'a> {
    request: &'a ChargeRequest<'a>,
    ticket: u64,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        let gateway = self.request.gateway;
        let mut credits = gateway.quota.credits.borrow_mut();
        credits.cancel(self.request.tenant, self.ticket);
    }
}
