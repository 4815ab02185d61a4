//! The credit that this daemon holds of the tenants' quotas, and its exchange with the
//! coordinator.

use std::cell::{Cell, RefCell};

use indexmap::IndexMap;
use slog::info;
use tokio::sync::Notify;
use ward_fleet::number::usize_to_f64;
use ward_fleet::{
    CreditContext, CreditStore, HostShares, QuotaBatch, QuotaNeed, QuotaTolerance, ServingManifest,
    TenantDirectory, TenantKey, TenantQuota,
};
use ward_protocol::MonoTime;

use crate::clock;
use crate::gateway::Gateway;

/// Credit of the tenants' quotas at this daemon.
pub(crate) struct QuotaState {
    pub(crate) credits: RefCell<CreditStore>,
    /// Notified when waiting requests may get credit, or be refused.
    pub(crate) changed: Notify,
    /// Shares of all daemons in the quotas while they follow no coordinator.
    pub(crate) shares: RefCell<HostShares>,
    /// The share of this daemon; `None` until it is known.
    own_share: Cell<Option<f64>>,
}

impl QuotaState {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            credits: RefCell::new(CreditStore::new(now)),
            changed: Notify::new(),
            shares: RefCell::default(),
            own_share: Cell::default(),
        }
    }
}

/// Share of this daemon in each quota while it follows no coordinator.
fn own_share(gateway: &Gateway) -> f64 {
    let equal_share = || 1.0 / usize_to_f64(gateway.budget_daemons().max(1));
    gateway.quota.own_share.get().unwrap_or_else(equal_share)
}

/// Records the daemons that are known now.
pub(crate) fn record_sharing_hosts(gateway: &Gateway) {
    let mut shares = gateway.quota.shares.borrow_mut();
    shares.record(&gateway.members.borrow(), clock::now());
    let own = shares.share(&gateway.settings().daemon);
    gateway.quota.own_share.set(own);
}

/// What the credit of this daemon depends on now.
pub(crate) fn credit_context(gateway: &Gateway) -> CreditContext {
    let bounds = gateway.settings().bounds;
    CreditContext {
        share: own_share(gateway),
        slack: bounds.quota_slack,
        window: bounds.quota_window,
        now: clock::now(),
    }
}

/// The quotas that a manifest sets, as they are enforced, by tenant.
pub(crate) fn enforced_quotas(
    gateway: &Gateway,
    manifest: &ServingManifest,
) -> IndexMap<TenantKey, TenantQuota> {
    let bounds = gateway.settings().bounds;
    let tolerance = QuotaTolerance {
        window: bounds.quota_window,
        excess: bounds.quota_excess,
        slack: bounds.quota_slack,
    };
    let tenants = manifest.tenants.iter().flat_map(TenantDirectory::iter);
    let quotas = tenants
        .filter_map(|(name, class)| Some((TenantKey::of(name), tolerance.enforced(class.quota?))));
    quotas.collect()
}

/// Puts the quotas of a new manifest in force.
pub(crate) fn adopt_quotas(gateway: &Gateway, manifest: &ServingManifest) {
    let quotas = enforced_quotas(gateway, manifest);
    if !quotas.is_empty() {
        info!(
            gateway.logger, "quota: in force"; "version" => manifest.version.0,
            "tenants" => quotas.len(), "daemons" => gateway.budget_daemons(),
        );
    }
    let context = credit_context(gateway);
    gateway.quota.credits.borrow_mut().adopt(&quotas, &context);
    gateway.quota.changed.notify_waiters();
}

/// Begins a connection to a coordinator.
pub(crate) fn begin_quota_link(gateway: &Gateway) {
    let context = credit_context(gateway);
    gateway.quota.credits.borrow_mut().begin_link(&context);
}

/// Ends the connection to a coordinator.
pub(crate) fn end_quota_link(gateway: &Gateway) {
    let context = credit_context(gateway);
    gateway.quota.credits.borrow_mut().end_link(&context);
    gateway.quota.changed.notify_waiters();
}

/// Records that a view of the coordinator has arrived.
pub(crate) fn record_quota_contact(gateway: &Gateway) {
    let context = credit_context(gateway);
    gateway.quota.credits.borrow_mut().record_contact(&context);
}

/// Adds the credit that the coordinator has granted.
pub(crate) fn receive_grants(gateway: &Gateway, batch: &QuotaBatch) {
    let context = credit_context(gateway);
    gateway.quota.credits.borrow_mut().receive(batch, &context);
    gateway.quota.changed.notify_waiters();
}

/// What to report of the credit that this daemon holds and needs.
pub(crate) fn quota_needs(gateway: &Gateway) -> Vec<QuotaNeed> {
    let context = credit_context(gateway);
    gateway.quota.credits.borrow_mut().needs(&context)
}
