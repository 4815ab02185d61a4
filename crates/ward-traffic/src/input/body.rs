//! Reads a request's body within its limits.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::time::timeout;
use viz::{Body, HttpBody};
use ward_protocol::{ResultCode, TrafficLimits};

use crate::problem::ProblemReport;

/// The whole body.
///
/// # Errors
///
/// The body is too large, too slow, or was cut.
pub async fn read_body(body: Body, limits: &TrafficLimits) -> Result<Bytes, ProblemReport> {
    let limit = limits.body_bytes as usize;
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large(limit));
    }
    timeout(limits.body_time.duration(), collect(body, limit))
        .await
        .unwrap_or_else(|_| {
            let detail = format!("the body did not arrive within {}", limits.body_time);
            Err(ProblemReport::refused(ResultCode::BodyTimeout, detail))
        })
}

async fn collect(mut body: Body, limit: usize) -> Result<Bytes, ProblemReport> {
    let mut pieces = Vec::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| cut(&error))?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        length += bytes.len();
        if length > limit {
            return Err(too_large(limit));
        }
        pieces.push(bytes);
    }
    Ok(join(pieces, length))
}

/// A body that came in one piece is not copied.
fn join(mut pieces: Vec<Bytes>, length: usize) -> Bytes {
    if pieces.len() <= 1 {
        return pieces.pop().unwrap_or_default();
    }
    let mut whole = BytesMut::with_capacity(length);
    for piece in pieces {
        whole.extend_from_slice(&piece);
    }
    whole.freeze()
}

fn cut(error: &viz::Error) -> ProblemReport {
    let detail = format!("the body was cut: {error}");
    ProblemReport::refused(ResultCode::MalformedRequest, detail)
}

fn too_large(limit: usize) -> ProblemReport {
    let detail = format!("the body has more than {limit} bytes");
    ProblemReport::refused(ResultCode::BodyTooLarge, detail)
}
