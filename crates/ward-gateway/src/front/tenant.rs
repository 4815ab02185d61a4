//! Tells the tenant of a request from its API key.
//!
//! A key is checked against the manifest in force when the request arrives, also on a
//! connection that is kept open, and again when a waiting request gets an engine.

use ward_adapter::header::CallerKey;
use ward_fleet::{RequestPriority, ServingManifest, ServingRoute};
use ward_protocol::TenantName;

use super::answer::OwnAnswer;
use super::refusal::{Refusal, not_run, refuse};
use super::route::RoutedRequest;
use crate::gateway::Gateway;

/// The tenant whose key a request carries; `None` if the request needs no key and has
/// none that is known.
///
/// # Errors
/// A refusal if the request needs a key and has none that is known.
pub(super) fn identify_tenant(
    gateway: &Gateway,
    manifest: &ServingManifest,
    route: &ServingRoute,
    key: &CallerKey,
) -> Result<Option<TenantName>, Refusal> {
    let Some(tenants) = &manifest.tenants else {
        return Ok(None);
    };
    let holder = key.digest().and_then(|digest| tenants.holder(digest));
    if let Some(tenant) = holder {
        return Ok(Some(tenant.clone()));
    }
    if route.is_public {
        return Ok(None);
    }
    if gateway.newest_manifest.get() > manifest.version {
        return Err(not_run("its key may be in a manifest not read yet"));
    }
    let reason = match key {
        CallerKey::Absent => "it has no API key",
        CallerKey::Garbled => "its API key is empty or not the only one",
        CallerKey::Key(_) => "its API key is unknown",
    };
    Err(refuse(OwnAnswer::UnknownKey, reason))
}

/// The urgency of a request of a tenant on a route.
pub(super) fn request_priority(
    manifest: &ServingManifest,
    route: &ServingRoute,
    tenant: Option<&TenantName>,
) -> RequestPriority {
    let class = tenant.and_then(|tenant| manifest.tenants.as_ref()?.class(tenant));
    RequestPriority {
        tenant: class.map_or(0, |class| class.priority),
        route: route.priority,
    }
}

/// Checks that no newer manifest has withdrawn the key of a request that has waited.
///
/// # Errors
/// A refusal if it has.
pub(super) fn check_withdrawal(gateway: &Gateway, routed: &RoutedRequest) -> Result<(), Refusal> {
    let Some(tenant) = &routed.tenant else {
        return Ok(());
    };
    let manifest = gateway.manifest();
    let tenants = manifest
        .as_ref()
        .and_then(|manifest| manifest.tenants.as_ref());
    let Some(tenants) = tenants.filter(|_| !routed.route.is_public) else {
        return Ok(());
    };
    let key = routed.fields.key.digest();
    if key.and_then(|digest| tenants.holder(digest)) == Some(tenant) {
        return Ok(());
    }
    Err(refuse(
        OwnAnswer::UnknownKey,
        "its API key was withdrawn while it waited",
    ))
}
