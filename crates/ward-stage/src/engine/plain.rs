//! Answers to requests that name no model.

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Response, StatusCode};
use http_body::Frame;

use super::EngineFault;
use super::answer::remove_framing;
use crate::reply::{StageBody, full_response, streamed_response};

/// Whether answers end with their connection.
pub(super) const fn is_unframed(fault: EngineFault) -> bool {
    matches!(
        fault,
        EngineFault::Unframed | EngineFault::UnframedCut | EngineFault::UnframedHalf
    )
}

/// Whether answers are broken off.
pub(super) const fn breaks_off(fault: EngineFault) -> bool {
    matches!(
        fault,
        EngineFault::BreakOff | EngineFault::NoEventIds | EngineFault::Resumed(_)
    )
}

/// The answer to a request to this path; `headers` are its id and signature.
pub(super) fn plain_answer(
    fault: EngineFault,
    path: &str,
    headers: HeaderMap,
) -> Response<StageBody> {
    let body = format!("served {path}");
    if fault == EngineFault::UnframedHalf {
        return half_response(&body, headers);
    }
    let mut response = full_response(StatusCode::OK, body);
    response.headers_mut().extend(headers);
    if is_unframed(fault) {
        remove_framing(&mut response);
    }
    if fault == EngineFault::OtherFraming {
        response.headers_mut().remove(CONTENT_LENGTH);
    }
    if breaks_off(fault) {
        // A content length beyond the body makes the server close the connection.
        let headers = response.headers_mut();
        headers.insert(CONTENT_LENGTH, 10_000.into());
    }
    response
}

/// The first half of a body, in an answer without length and chunks that never ends.
fn half_response(body: &str, headers: HeaderMap) -> Response<StageBody> {
    let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    let half = stream::once(async move { Ok(Frame::data(half)) });
    let body = half.chain(stream::pending()).boxed();
    let mut response = streamed_response(StatusCode::OK, headers, body);
    remove_framing(&mut response);
    response
}
