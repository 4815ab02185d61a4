//! Matching of a caller's request to a route of the manifest.

use http::{HeaderMap, Request, Uri};
use ward_adapter::RequestFields;
use ward_fleet::{RequestPriority, ServingManifest, ServingRoute};
use ward_protocol::{ServiceName, TenantName, TimeSpan};

use super::answer::OwnAnswer;
use super::refusal::{Refusal, refuse};
use super::tenant::{identify_tenant, request_priority};

/// A request with its route and the service chosen for it.
pub(super) struct RoutedRequest {
    pub(super) route: ServingRoute,
    pub(super) service: ServiceName,
    pub(super) fields: RequestFields,
    /// Tenant whose API key the request carries.
    pub(super) tenant: Option<TenantName>,
    pub(super) priority: RequestPriority,
    /// Time from arrival to the deadline: the caller's or the route's, whichever is
    /// shorter.
    pub(super) timeout: TimeSpan,
    /// Time from arrival within which an answer must begin.
    pub(super) first_byte_timeout: TimeSpan,
}

/// The route of a request, and the tenant whose API key it carries.
pub(super) struct MatchedRoute<'a> {
    route: &'a ServingRoute,
    tenant: Option<TenantName>,
}

impl MatchedRoute<'_> {
    /// Draws one of the route's services by weight.
    pub(super) fn assign(self, manifest: &ServingManifest, fields: RequestFields) -> RoutedRequest {
        let Self { route, tenant } = self;
        let service = route.pick_service(rand::random::<f64>()).clone();
        let timeout = fields
            .time_left
            .map_or(route.timeout, |time_left| time_left.min(route.timeout));
        let stream_timeout = route.stream_idle_timeout();
        RoutedRequest {
            route: route.clone(),
            service,
            fields,
            priority: request_priority(manifest, route, tenant.as_ref()),
            tenant,
            timeout,
            first_byte_timeout: stream_timeout.map_or(timeout, |stream| stream.min(timeout)),
        }
    }
}

/// Finds the route of a request, and the tenant whose API key it carries.
///
/// # Errors
/// A refusal if no route matches, or the request needs an API key and has none that is
/// known.
pub(super) fn match_route<'a>(
    manifest: &'a ServingManifest,
    fields: &RequestFields,
    host: &str,
    path: &str,
) -> Result<MatchedRoute<'a>, Refusal> {
    let route = manifest
        .find_route(host, path)
        .ok_or_else(|| refuse(OwnAnswer::NoRoute, "no route of the manifest matches"))?;
    let tenant = identify_tenant(manifest, route, &fields.key)?;
    Ok(MatchedRoute { route, tenant })
}

/// The lowercase host name that a request is addressed to, without a port.
pub(super) fn requested_host<B>(request: &Request<B>) -> String {
    let header = host_header(request.headers());
    let host = header.or_else(|| request.uri().host()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

fn host_header(headers: &HeaderMap) -> Option<&str> {
    headers.get(http::header::HOST)?.to_str().ok()
}

/// The request target that is sent to engines: path and query, unchanged.
pub(super) fn origin_target(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}
