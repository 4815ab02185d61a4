//! Issue of credit by the coordinator.

use indexmap::{IndexMap, IndexSet};
use ward_protocol::{MonoTime, TimeSpan};

use super::ledger::{FillShare, TenantLedger};
use super::message::{QuotaBatch, QuotaGrant, QuotaNeed, TenantKey};
use crate::number::usize_to_f64;
use crate::placement::MemberKey;
use crate::tenant::{QuotaAmount, TenantQuota};

/// Time between two issues from which the coordinator counts as frozen. Others may have
/// handed out the tokens of that time.
const FROZEN_TIME: TimeSpan = TimeSpan::from_millis(1_000);
/// Time without a report after which a daemon gets no share of the tokens. Shorter than
/// the time after which it takes its share itself.
const SILENCE: TimeSpan = TimeSpan::from_millis(600);

/// What credit depends on besides the reports of daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IssueContext {
    /// Number of daemons that share the quotas, connected or not.
    pub daemons: usize,
    /// Amount by which a tenant may exceed its quota in a window.
    pub slack: QuotaAmount,
    /// Current time by the coordinator's clock.
    pub now: MonoTime,
}

/// Issues credit of the tenants' quotas to the connected daemons.
#[derive(Debug, Clone, Default)]
pub struct QuotaIssuer {
    tenants: IndexMap<TenantKey, TenantLedger>,
    /// When each daemon sent its latest report, by its own clock, and when it arrived.
    reports: IndexMap<MemberKey, (MonoTime, MonoTime)>,
    /// Shares of daemons in the quotas while they are alone, where they aren't equal.
    shares: IndexMap<MemberKey, f64>,
    /// Tenants of which some daemon may lack credit.
    pending: IndexSet<TenantKey>,
    issued_at: Option<MonoTime>,
    /// Since when credit has been issued without a long break.
    active_since: MonoTime,
}

impl QuotaIssuer {
    /// Puts the quotas of a manifest in force. New buckets begin empty.
    pub fn adopt(&mut self, quotas: &IndexMap<TenantKey, TenantQuota>, context: &IssueContext) {
        let fill = self.fill_share(context);
        self.tenants.retain(|tenant, _| quotas.contains_key(tenant));
        for (tenant, quota) in quotas {
            let ledger = self.tenants.entry(*tenant);
            ledger
                .or_insert_with(|| TenantLedger::new(*quota, context.now))
                .set_quota(*quota, &fill);
        }
    }

    /// The share of the daemons that have reported of late. Those that haven't may be
    /// alone already.
    fn fill_share(&self, context: &IssueContext) -> FillShare {
        let now = context.now;
        let reports = self.reports.iter();
        let is_heard = |at: MonoTime| now.since(at) < SILENCE;
        let heard = reports.filter(|(_, (_, at))| is_heard(*at));
        let heard: Vec<_> = heard.map(|(member, _)| *member).collect();
        let all = context.daemons.max(heard.len()).max(1);
        let equal_share = 1.0 / usize_to_f64(all);
        let share_of = |member| self.shares.get(member).copied().unwrap_or(equal_share);
        FillShare {
            share: heard.iter().map(share_of).sum::<f64>().min(1.0),
            slack: context.slack,
            active_since: self.active_since,
            now,
        }
    }

    /// Replaces what a daemon holds and needs with its latest report.
    pub fn record_needs(
        &mut self,
        member: MemberKey,
        needs: Vec<QuotaNeed>,
        reported_at: MonoTime,
        now: MonoTime,
    ) {
        self.reports.insert(member, (reported_at, now));
        for need in needs {
            if let Some(ledger) = self.tenants.get_mut(&need.tenant) {
                self.pending.insert(need.tenant);
                ledger.record_need(member, need, now);
            }
        }
    }

    /// Records the share of a daemon in the quotas while it is alone.
    pub fn record_share(&mut self, member: MemberKey, share: f64) {
        self.shares.insert(member, share);
    }

    /// Removes a daemon that disconnected.
    pub fn remove_member(&mut self, member: MemberKey, now: MonoTime) {
        self.reports.shift_remove(&member);
        self.shares.shift_remove(&member);
        for ledger in self.tenants.values_mut() {
            ledger.remove_member(member, now);
        }
    }

    /// Issues credit of the tenants of which some daemon lacks it. Returns a batch for
    /// each daemon that gets credit, or whose latest report of waiting requests has not
    /// been answered.
    pub fn issue(&mut self, context: &IssueContext) -> Vec<(MemberKey, QuotaBatch)> {
        let now = context.now;
        let issued_at = self.issued_at.replace(now);
        if issued_at.is_none_or(|at| now.since(at) > FROZEN_TIME) {
            self.active_since = now;
        }
        let fill = self.fill_share(context);
        let mut batches = IndexMap::new();
        for tenant in std::mem::take(&mut self.pending) {
            self.issue_tenant(tenant, &fill, &mut batches);
        }
        batches.into_iter().collect()
    }

    fn issue_tenant(
        &mut self,
        tenant: TenantKey,
        fill: &FillShare,
        batches: &mut IndexMap<MemberKey, QuotaBatch>,
    ) {
        let Some(ledger) = self.tenants.get_mut(&tenant) else {
            return;
        };
        let (grants, wait) = ledger.issue(fill);
        if ledger.has_unmet(fill.now) {
            self.pending.insert(tenant);
        }
        for grant in grants {
            let Some((reported_at, received_at)) = self.reports.get(&grant.member) else {
                continue;
            };
            let batch = batches.entry(grant.member).or_insert_with(|| QuotaBatch {
                grants: Vec::new(),
                reported_at: *reported_at,
                held_for: fill.now.since(*received_at),
            });
            batch.grants.push(QuotaGrant {
                tenant,
                amount: grant.amount,
                wait,
            });
        }
    }
}
