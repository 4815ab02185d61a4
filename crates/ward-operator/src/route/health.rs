//! Routes for supervision; they need no token.

use http::{HeaderValue, StatusCode};
use prometheus::TextEncoder;
use ward_protocol::{ResultCode, TimeSpan, ViewMode};

use super::RouteResult;
use super::reply::{json_reply, typed_reply};
use crate::answer::ReadyAnswer;
use crate::error::OperatorError;
use crate::server::OperatorServer;

const PROMETHEUS_TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
const START_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// Tells that the process answers.
pub(super) fn healthz(server: &OperatorServer) -> RouteResult {
    let mode = (server.calls.mode)();
    json_reply(StatusCode::OK, &ReadyAnswer { mode })
}

/// Tells whether the daemon takes callers' requests.
pub(super) fn readyz(server: &OperatorServer) -> RouteResult {
    let mode = (server.calls.mode)();
    match mode {
        ViewMode::Full | ViewMode::RoutingOnly => json_reply(StatusCode::OK, &ReadyAnswer { mode }),
        ViewMode::Starting => Err(OperatorError::RetryLater(
            ResultCode::StateMissing,
            "the daemon is starting".to_owned(),
            START_RETRY_AFTER,
        )),
        ViewMode::Stopping => Err(OperatorError::refused(
            ResultCode::Stopping,
            "the daemon finishes what it has",
        )),
    }
}

/// Shows all counters.
pub(super) fn metrics(server: &OperatorServer) -> RouteResult {
    let families = server.registry.gather();
    let text = TextEncoder::new()
        .encode_to_string(&families)
        .map_err(|error| {
            let detail = format!("the counters cannot be written: {error}");
            OperatorError::refused(ResultCode::RecordInvalid, detail)
        })?;
    Ok(typed_reply(StatusCode::OK, PROMETHEUS_TEXT, text))
}
