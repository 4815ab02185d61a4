//! Requests that crash the backend servers that run them.
//!
//! The count is looked at again right before each try: while a request waited,
//! another daemon may have met the second crash, and a try of its own may have
//! been the second.

use ward_backend::request::CallError;
use ward_protocol::{BackendId, ResultCode};

use super::attempt::ModelCall;
use crate::core::TrafficCore;
use crate::problem::ProblemReport;

/// Crashes after which a request is not sent again for a time.
const MOST_CRASHES: u32 = 2;

/// Whether a failed try counts as a crash of its backend server.
///
/// A connection lost to one that is being reclaimed, or that is gone from the view,
/// says nothing about the request.
pub(crate) fn is_crash(core: &TrafficCore, backend: &BackendId, error: &CallError) -> bool {
    let view = core.view();
    let staying = view
        .backends
        .get(backend)
        .is_some_and(|route| !route.leaving);
    staying && matches!(error, CallError::Lost(_))
}

/// The crashes that a request was part of, as far as known here.
///
/// # Errors
///
/// They are too many: the request is refused.
pub(crate) fn check_crashes(core: &TrafficCore, call: &ModelCall) -> Result<u32, ProblemReport> {
    let view = core.view();
    let seen = if view.suspects.is_empty() {
        0
    } else {
        view.suspects.get(&call.fingerprint()).copied().unwrap_or(0)
    };
    let crashes = call.crashes.max(seen);
    if crashes < MOST_CRASHES {
        return Ok(crashes);
    }
    let detail = format!("this request crashed backend servers {crashes} times");
    let report = ProblemReport::refused(ResultCode::SuspectRefused, detail);
    Err(report.with_retry_after(core.limits.suspect_time))
}
