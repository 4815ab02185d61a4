//! Answers that are read to their end, and checked if they are from a model, before
//! the caller gets them.

use std::borrow::Cow;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use serde::Deserialize;
use serde::de::IgnoredAny;
use tokio::time::Instant;
use viz::Body;
use ward_backend::request::{BackendAnswer, CallError};
use ward_protocol::RequestId;

/// Maximum size in bytes of an answer that is buffered until it is complete.
pub(crate) const MAX_BUFFERED_ANSWER: usize = 16 << 20;
const EVENT_STREAM: &str = "text/event-stream";
const JSON: &str = "application/json";

/// Fields that are not forwarded: the hop-by-hop ones, and `Content-Length`.
const UNFORWARDED: [HeaderName; 7] = [
    CONNECTION,
    TRANSFER_ENCODING,
    CONTENT_LENGTH,
    TE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("upgrade"),
    HeaderName::from_static("trailer"),
];

/// Answer that was read to its end.
#[derive(Debug)]
pub(crate) struct CompleteAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

#[derive(Deserialize)]
struct AnswerId<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
}

/// Whether an answer is a successful stream of events.
pub(crate) fn is_stream(answer: &BackendAnswer) -> bool {
    answer.status == StatusCode::OK && is_event_stream(&answer.headers)
}

/// Whether the header announces a stream of events.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    has_type(headers, EVENT_STREAM)
}

/// Reads an answer to its end. For the model request `model`, a server error is a
/// failure, and a successful answer must be JSON with the request's id. Without
/// `model` the answer is not checked.
pub(crate) async fn read_complete(
    answer: BackendAnswer,
    model: Option<RequestId>,
    deadline: Instant,
) -> Result<CompleteAnswer, CallError> {
    let BackendAnswer {
        status,
        headers,
        body,
    } = answer;
    let body = body.read_all(MAX_BUFFERED_ANSWER, deadline).await?;
    if let Some(request) = model {
        check_json(status, &headers, &body, request)?;
    }
    Ok(CompleteAnswer {
        status,
        headers,
        body,
    })
}

/// The response that forwards a complete answer to the caller.
pub(crate) fn complete_response(answer: CompleteAnswer) -> Response<Body> {
    let mut response = Response::new(Body::Full(answer.body.into()));
    *response.status_mut() = answer.status;
    *response.headers_mut() = end_to_end(answer.headers);
    response
}

/// A header without `Content-Length` and the fields that apply to a single connection
/// only.
pub(crate) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    for name in connection_names(&headers) {
        headers.remove(name);
    }
    for name in &UNFORWARDED {
        headers.remove(name);
    }
    headers
}

fn connection_names(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

fn check_json(
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
    request: RequestId,
) -> Result<(), CallError> {
    if status.is_server_error() {
        return Err(CallError::Failed(status));
    }
    if !status.is_success() {
        return Ok(());
    }
    if !has_type(headers, JSON) || serde_json::from_slice::<IgnoredAny>(body).is_err() {
        return Err(CallError::Unreadable);
    }
    let answer = serde_json::from_slice::<AnswerId<'_>>(body).map_err(|_| CallError::WrongId)?;
    if answer.id.parse() == Ok(request) {
        Ok(())
    } else {
        Err(CallError::WrongId)
    }
}

fn has_type(headers: &HeaderMap, expected: &str) -> bool {
    let value = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    value.is_some_and(|value| value.starts_with(expected.as_bytes()))
}
