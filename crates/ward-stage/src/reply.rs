//! HTTP answers of stand-ins.

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::{BoxStream, once};
use http::{HeaderMap, Response, StatusCode};
use http_body::Frame;
use http_body_util::StreamBody;

/// Error that makes the server close the connection before or within an answer.
#[derive(Debug)]
pub(crate) struct AbortConnection;

impl std::fmt::Display for AbortConnection {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the stand-in closes the connection")
    }
}

impl std::error::Error for AbortConnection {}

/// Body of an answer; an error among its frames closes the connection.
pub(crate) type StageBody = StreamBody<BoxStream<'static, Result<Frame<Bytes>, AbortConnection>>>;

/// An answer whose body is known from the start, with a content length.
pub(crate) fn full_response(status: StatusCode, body: impl Into<Bytes>) -> Response<StageBody> {
    let body = body.into();
    let length = body.len();
    let frames = once(async move { Ok(Frame::data(body)) }).boxed();
    let mut response = streamed_response(status, HeaderMap::new(), frames);
    response
        .headers_mut()
        .insert(http::header::CONTENT_LENGTH, length.into());
    response
}

/// An answer whose body is sent frame by frame, without a content length.
pub(crate) fn streamed_response(
    status: StatusCode,
    headers: HeaderMap,
    frames: BoxStream<'static, Result<Frame<Bytes>, AbortConnection>>,
) -> Response<StageBody> {
    let mut response = Response::new(StreamBody::new(frames));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
