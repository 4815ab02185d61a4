//! Reads request bodies and builds answers, including truncated and cut ones.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, Full, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;
use viz::header::CONTENT_LENGTH;
use viz::{Body, IntoResponse, Request, Response, ResponseExt, StatusCode};

const MAX_BODY_BYTES: usize = 32 << 20;
/// Delay before a cut, in which the connection sends the bytes that precede it.
const FLUSH_DELAY: Duration = Duration::from_millis(2);

/// Error answer that ends a handler early.
pub(crate) type Refusal = Box<Response>;

/// Result of a handler; the error is sent as an answer, too.
pub(crate) type Answer = Result<Response, Refusal>;

/// Response extension: cut the connection instead of sending this answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct CutMark;

/// Reads and parses a JSON body; the error is the answer to send.
pub(crate) async fn read_json<T: DeserializeOwned>(request: Request) -> Result<T, Refusal> {
    let bytes = read_bytes(request).await?;
    serde_json::from_slice(&bytes).map_err(|cause| text_refusal(StatusCode::BAD_REQUEST, &cause))
}

/// Reads the complete body; the error is the answer to send.
pub(crate) async fn read_bytes(request: Request) -> Result<Bytes, Refusal> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    let collected = BodyExt::collect(body)
        .await
        .map_err(|cause| text_refusal(StatusCode::PAYLOAD_TOO_LARGE, &cause))?;
    Ok(collected.to_bytes())
}

/// Builds an answer with a JSON body.
pub(crate) fn json_answer(status: StatusCode, value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut answer = Response::with(Full::from(bytes), "application/json");
            *answer.status_mut() = status;
            answer
        }
        Err(cause) => (StatusCode::INTERNAL_SERVER_ERROR, cause.to_string()).into_response(),
    }
}

/// Builds an answer without a body.
pub(crate) fn status_answer(status: StatusCode) -> Response {
    status.into_response()
}

/// Builds a refusal without a body.
pub(crate) fn refusal(status: StatusCode) -> Refusal {
    Box::new(status_answer(status))
}

fn text_refusal(status: StatusCode, cause: &impl ToString) -> Refusal {
    Box::new((status, cause.to_string()).into_response())
}

/// Builds an answer that makes the server cut the connection.
pub(crate) fn cut_answer() -> Response {
    let mut answer = Response::empty();
    answer.extensions_mut().insert(CutMark);
    answer
}

/// Sends the header and the first half of the body, then cuts the connection.
pub(crate) async fn truncated_answer(answer: Response) -> Response {
    let (mut head, body) = answer.into_parts();
    let Ok(collected) = BodyExt::collect(body).await else {
        return cut_answer();
    };
    let bytes = collected.to_bytes();
    head.headers.insert(CONTENT_LENGTH, bytes.len().into());
    let half = bytes.slice(..bytes.len() / 2);
    let parts = stream::iter([Ok(half)]).chain(stream::once(async { Err(cut_error().await) }));
    Response::from_parts(head, Body::from_stream(parts))
}

/// Returns an error that cuts the connection, once earlier bytes had time to be sent.
pub(crate) async fn cut_error() -> io::Error {
    tokio::time::sleep(FLUSH_DELAY).await;
    io::ErrorKind::ConnectionReset.into()
}
