//! Answers to callers: those forwarded from engines, and those that the daemon
//! itself generates.

use std::pin::Pin;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::Stream;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use ward_adapter::header::{answer_headers, set_own_answer_headers};
use ward_protocol::TimeSpan;

use crate::forward::StreamRelay;

/// An error that ends the body of an answer before it is complete.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer to a caller.
pub(crate) type AnswerBody = Pin<Box<dyn http_body::Body<Data = Bytes, Error = BodyError>>>;

/// An error answer that the daemon itself generates instead of forwarding one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OwnAnswer {
    /// No route of the manifest matches the request.
    NoRoute,
    /// The request needs an API key and has none that is known.
    UnknownKey,
    /// The request is beyond its tenant's quota; the caller may retry after this time.
    OverQuota(TimeSpan),
    /// The request names a model or adapter that is not a valid name.
    BadModel,
    /// The body is longer than the manifest allows.
    TooLong,
    /// The body did not arrive in time or is incomplete.
    NoBody,
    /// The request did not run; the caller may retry after this time.
    NotRun(TimeSpan),
    /// The engine failed; the request may have run.
    BadEngine,
    /// The deadline passed after the request was sent; it may have run.
    Timeout,
}

impl OwnAnswer {
    const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::BadModel => StatusCode::BAD_REQUEST,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoBody => StatusCode::REQUEST_TIMEOUT,
            Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::BadEngine => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The value in logs, metrics and the body of the answer.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::OverQuota(_) => "over_quota",
            Self::BadModel => "bad_model",
            Self::TooLong => "too_long",
            Self::NoBody => "no_body",
            Self::NotRun(_) => "not_run",
            Self::BadEngine => "bad_engine",
            Self::Timeout => "timeout",
        }
    }

    /// Whether no engine has run the request, and none will.
    pub(crate) const fn promises_no_run(self) -> bool {
        !matches!(self, Self::BadEngine | Self::Timeout)
    }

    /// The response to a request with this id.
    pub(crate) fn response(self, id: Option<&HeaderValue>) -> Response<AnswerBody> {
        let text = format!("{{\"error\":\"{}\"}}", self.label());
        let mut response = Response::new(full_body(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let retry_after = match self {
            Self::NotRun(span) | Self::OverQuota(span) => Some(span),
            _ => None,
        };
        set_own_answer_headers(headers, id, retry_after);
        response
    }
}

/// Forwards a complete answer of an engine.
pub(crate) fn buffered_answer(
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
) -> Response<AnswerBody> {
    engine_answer(status, headers, full_body(body))
}

/// Forwards the stream of an engine as it arrives.
pub(crate) fn streamed_answer(
    status: StatusCode,
    headers: &HeaderMap,
    relay: StreamRelay,
) -> Response<AnswerBody> {
    let stream: Pin<Box<dyn Stream<Item = _>>> = Box::pin(relay.into_stream());
    let frames = stream.map(|item| match item {
        Ok(bytes) => Ok(Frame::data(bytes)),
        Err(error) => Err(BodyError::from(error.to_string())),
    });
    engine_answer(status, headers, Box::pin(StreamBody::new(frames)))
}

fn engine_answer(
    status: StatusCode,
    headers: &HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = answer_headers(headers);
    response
}

/// A body whose bytes are all available.
pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    let body: UnsyncBoxBody<Bytes, BodyError> = Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync();
    Box::pin(body)
}

/// Whether an answer with this status promises its caller that the request did not run and
/// never will.
pub(crate) fn promises_no_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Adds `Connection: close`, so that the caller opens a new connection for its next
/// request.
pub(crate) fn set_connection_close(response: &mut Response<AnswerBody>) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
