//! The daemon's own HTTP endpoints: the directory that lists daemons to callers, the
//! readiness check and the metrics.

use std::rc::Rc;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use slog::warn;
use ward_adapter::ingress::{
    DIRECTORY_PATH, DirectoryQuery, MAX_ADDRESSES, READINESS_PATH, directory_body,
};
use ward_fleet::choose_hosts;
use ward_protocol::TimeSpan;

use super::answer::{AnswerBody, full_body};
use crate::gateway::Gateway;

/// Time for which callers may cache an answer: short, so that they soon leave a host
/// that is shutting down.
const DIRECTORY_TTL: TimeSpan = TimeSpan::from_secs(1);

/// Answers a caller's directory query with the addresses of daemons.
pub(crate) async fn serve_directory(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if request.uri().path() != DIRECTORY_PATH {
        return plain_response(StatusCode::NOT_FOUND, "");
    }
    let query = DirectoryQuery::parse(request.uri().query().unwrap_or_default());
    let query = query.unwrap_or_else(|cause| {
        warn!(gateway.logger, "directory: invalid query, answered for all zones"; "cause" => %cause);
        DirectoryQuery::default()
    });
    let settings = gateway.settings();
    let members = gateway.members.borrow();
    let mut addresses = choose_hosts(&members, query.zone().as_ref(), MAX_ADDRESSES);
    if addresses.is_empty() && !gateway.is_stopping() {
        addresses.push(settings.callers);
    }
    if addresses.is_empty() {
        return plain_response(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    let ttl = DIRECTORY_TTL.min(settings.bounds.max_ttl);
    match directory_body(&addresses, ttl) {
        Ok(body) => json_response(body),
        Err(cause) => {
            warn!(gateway.logger, "directory: answer cannot be encoded"; "cause" => %cause);
            plain_response(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}

/// Answers the platform's readiness check.
pub(crate) async fn serve_readiness(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if request.uri().path() != READINESS_PATH {
        return plain_response(StatusCode::NOT_FOUND, "");
    }
    let ready = gateway.is_ready();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    plain_response(status, "")
}

/// Answers with the daemon's metrics as text.
pub(crate) async fn serve_metrics(
    gateway: Rc<Gateway>,
    _request: Request<Incoming>,
) -> Response<AnswerBody> {
    match gateway.metrics.render() {
        Ok(text) => plain_response(StatusCode::OK, &text),
        Err(cause) => {
            warn!(gateway.logger, "metrics: cannot be rendered"; "cause" => %cause);
            plain_response(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}

fn plain_response(status: StatusCode, text: &str) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

fn json_response(body: Vec<u8>) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(Bytes::from(body)));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
