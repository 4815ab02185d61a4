//! The list of addresses for callers, and the health check.

use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;
use viz::Body;
use ward_protocol::{DaemonId, EntryAddress, LogOffset, PlanRevision, ViewMode};

use crate::core::TrafficCore;

const JSON: HeaderValue = HeaderValue::from_static("application/json");

#[derive(Serialize)]
struct EntryList<'a> {
    entries: &'a [EntryAddress],
    ttl_seconds: u64,
}

#[derive(Serialize)]
struct HealthReport<'a> {
    daemon: &'a DaemonId,
    mode: ViewMode,
    applied: LogOffset,
    revision: PlanRevision,
    waiting: usize,
}

/// The addresses that callers may use, with their time to live.
pub(crate) fn list_entries(core: &TrafficCore) -> Response<Body> {
    let view = core.view();
    let ttl_seconds = core.limits.entry_ttl.duration().as_secs();
    let list = EntryList {
        entries: &view.entries,
        ttl_seconds,
    };
    let mut response = json_response(&list);
    if let Ok(value) = HeaderValue::from_str(&format!("max-age={ttl_seconds}")) {
        response.headers_mut().insert(CACHE_CONTROL, value);
    }
    response
}

/// The health of this daemon; status 503 until it has read the control state.
pub(crate) fn report_health(core: &TrafficCore) -> Response<Body> {
    let view = core.view();
    let report = HealthReport {
        daemon: &core.daemon,
        mode: view.mode,
        applied: view.applied,
        revision: view.catalog.revision,
        waiting: core.wait_list.waiting_count(),
    };
    let mut response = json_response(&report);
    if view.mode == ViewMode::Starting {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

pub(super) fn json_response(value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::Full(bytes.into()));
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response
}
