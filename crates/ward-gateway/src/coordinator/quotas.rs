//! Issues credit of the tenants' quotas to the connected daemons.

use ward_fleet::{CoordinatorMessage, IssueContext};

use super::active::ActiveCoordinator;
use super::permits::send_message;
use crate::clock;
use crate::gateway::Gateway;
use crate::quota::enforced_quotas;

/// Issues the credit that daemons need and the quotas allow now.
pub(crate) fn issue_credit(gateway: &Gateway, coordinator: &ActiveCoordinator) {
    let Some(manifest) = gateway.manifest() else {
        return;
    };
    let context = IssueContext {
        daemons: gateway.budget_daemons(),
        slack: gateway.settings().bounds.quota_slack,
        now: clock::now(),
    };
    let mut issuer = coordinator.quotas.borrow_mut();
    if coordinator.quota_version.replace(Some(manifest.version)) != Some(manifest.version) {
        issuer.adopt(&enforced_quotas(gateway, &manifest), &context);
    }
    let shares = gateway.quota.shares.borrow();
    for (key, link) in coordinator.links.borrow().iter() {
        let member = link.member.as_ref();
        if let Some(share) = member.and_then(|member| shares.share(&member.daemon)) {
            issuer.record_share(*key, share);
        }
    }
    let batches = issuer.issue(&context);
    drop(issuer);
    let links = coordinator.links.borrow();
    for (member, batch) in batches {
        let Some(link) = links.get(&member) else {
            continue;
        };
        gateway
            .metrics
            .quota_grants
            .inc_by(batch.grants.len() as u64);
        send_message(gateway, link, &CoordinatorMessage::QuotaGrants(batch));
    }
}
