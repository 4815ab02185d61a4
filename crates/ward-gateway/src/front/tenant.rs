//! Tells the tenant of a request from its API key.
//!
//! A key is checked against the manifest in force when the request arrives, also on a
//! connection that is kept open. The queue checks it again while the request waits.

use ward_adapter::header::CallerKey;
use ward_fleet::{ApiKeyDigest, RequestPriority, ServingManifest, ServingRoute};
use ward_protocol::TenantName;

use super::answer::OwnAnswer;
use super::refusal::{Refusal, refuse};
use super::route::RoutedRequest;

/// The tenant whose key a request carries; `None` if the request needs no key and has
/// none that is known.
///
/// # Errors
/// A refusal if the request needs a key and has none that is known.
pub(super) fn identify_tenant(
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

/// The key that a request keeps needing while it waits; `None` if it needs none.
pub(super) fn required_key(routed: &RoutedRequest) -> Option<ApiKeyDigest> {
    let needs_key = routed.tenant.is_some() && !routed.route.is_public;
    routed.fields.key.digest().filter(|_| needs_key).copied()
}
