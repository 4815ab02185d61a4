//! Builds the responses of all routes.

use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use viz::{Body, Response};
use ward_protocol::ResultCode;

use super::RouteResult;
use crate::error::OperatorError;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const PROBLEM: HeaderValue = HeaderValue::from_static("application/problem+json");
const NO_STORE: HeaderValue = HeaderValue::from_static("no-store");
const CHALLENGE: HeaderValue = HeaderValue::from_static("Bearer");

/// Creates a response that must not be cached.
pub(super) fn typed_reply(
    status: StatusCode,
    content_type: HeaderValue,
    body: impl Into<Bytes>,
) -> Response {
    let mut response = Response::new(Body::from(Full::new(body.into())));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, content_type);
    headers.insert(CACHE_CONTROL, NO_STORE);
    response
}

/// Creates a response with a JSON body.
pub(super) fn json_reply(status: StatusCode, answer: &impl Serialize) -> RouteResult {
    let body = serde_json::to_vec(answer).map_err(|error| {
        let detail = format!("the answer cannot be encoded: {error}");
        OperatorError::refused(ResultCode::RecordInvalid, detail)
    })?;
    Ok(typed_reply(status, JSON, body))
}

/// Creates the `application/problem+json` response of an error.
pub(super) fn error_reply(error: &OperatorError) -> Response {
    let problem = error.problem();
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = typed_reply(status, PROBLEM, body);
    let headers = response.headers_mut();
    if let Some(seconds) = problem.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if status == StatusCode::UNAUTHORIZED {
        headers.insert(WWW_AUTHENTICATE, CHALLENGE);
    }
    response
}
