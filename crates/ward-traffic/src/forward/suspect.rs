//! Detects and refuses requests that crash backend servers.
//!
//! The number of crashes is checked again right before each attempt: the second
//! crash may have happened at another daemon while the request waited, or in an
//! earlier attempt of the request itself.

use ward_backend::request::CallError;
use ward_protocol::{BackendId, ResultCode};

use super::attempt::ModelCall;
use crate::core::TrafficCore;
use crate::problem::ProblemReport;

/// Number of crashes from which on a request is refused for a time.
const MAX_CRASHES: u32 = 2;

/// Whether a failed attempt counts as a crash of its backend server.
///
/// A connection lost to a backend server that is being reclaimed, or that is no
/// longer in the view, is not evidence against the request.
pub(crate) fn is_crash(core: &TrafficCore, backend: &BackendId, error: &CallError) -> bool {
    let view = core.view();
    let staying = view
        .backends
        .get(backend)
        .is_some_and(|route| !route.leaving);
    staying && matches!(error, CallError::Lost(_))
}

/// The number of crashes attributed to a request, as far as this daemon knows.
///
/// # Errors
///
/// The request has caused too many crashes and is refused.
pub(crate) fn check_crashes(core: &TrafficCore, call: &ModelCall) -> Result<u32, ProblemReport> {
    let view = core.view();
    let reported = if view.suspects.is_empty() {
        0
    } else {
        view.suspects.get(&call.fingerprint()).copied().unwrap_or(0)
    };
    let crashes = call.crashes.max(reported);
    if crashes < MAX_CRASHES {
        return Ok(crashes);
    }
    let detail = format!("this request crashed backend servers {crashes} times");
    let report = ProblemReport::refused(ResultCode::SuspectRefused, detail);
    Err(report.with_retry_after(core.limits.suspect_time))
}
