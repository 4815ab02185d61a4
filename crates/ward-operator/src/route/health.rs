//! Routes for health checks and monitoring, which require no token.

use http::{HeaderValue, StatusCode};
use prometheus::TextEncoder;
use ward_protocol::{ResultCode, TimeSpan, ViewMode};

use super::RouteResult;
use super::reply::{json_reply, typed_reply};
use crate::answer::ModeAnswer;
use crate::error::OperatorError;
use crate::server::OperatorServer;

const PROMETHEUS_TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
const START_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// Answers 200 whenever the process is running, in any mode.
pub(super) fn healthz(server: &OperatorServer) -> RouteResult {
    let mode = (server.calls.mode)();
    json_reply(StatusCode::OK, &ModeAnswer { mode })
}

/// Answers 200 if the daemon accepts callers' requests, else 503.
pub(super) fn readyz(server: &OperatorServer) -> RouteResult {
    let mode = (server.calls.mode)();
    match mode {
        ViewMode::Full | ViewMode::RoutingOnly => json_reply(StatusCode::OK, &ModeAnswer { mode }),
        ViewMode::Starting => Err(OperatorError::RetryLater(
            ResultCode::StateMissing,
            "the daemon is starting".to_owned(),
            START_RETRY_AFTER,
        )),
        ViewMode::Stopping => Err(OperatorError::refused(
            ResultCode::Stopping,
            "the daemon accepts no new requests and finishes the running ones",
        )),
    }
}

/// All metrics of the daemon in the text format of Prometheus.
pub(super) fn metrics(server: &OperatorServer) -> RouteResult {
    let families = server.registry.gather();
    let text = TextEncoder::new()
        .encode_to_string(&families)
        .map_err(|error| {
            let detail = format!("the metrics cannot be encoded: {error}");
            OperatorError::refused(ResultCode::RecordInvalid, detail)
        })?;
    Ok(typed_reply(StatusCode::OK, PROMETHEUS_TEXT, text))
}
