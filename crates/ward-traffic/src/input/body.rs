//! Reads a request's body within its limits.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use viz::{Body, HttpBody};
use ward_protocol::{ResultCode, TrafficLimits};

use super::header::RequestTerms;
use crate::problem::ProblemReport;

/// Memory for all request bodies at a time, in KiB.
const BODY_MEMORY: usize = 512 << 10;
const KIB: usize = 1 << 10;

/// Memory that request bodies may take together.
#[derive(Debug, Clone)]
pub struct BodyMemory(Arc<Semaphore>);

impl BodyMemory {
    /// Memory of `kibibytes` for all bodies together.
    #[must_use]
    pub fn from_kib(kibibytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(kibibytes)))
    }
}

impl Default for BodyMemory {
    fn default() -> Self {
        Self::from_kib(BODY_MEMORY)
    }
}

/// A body that counts against the memory until its last share is dropped.
struct HeldBody {
    bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The whole body; it may not take longer than the request's own time limit.
///
/// # Errors
///
/// The body is too large, too slow, was cut, or finds no memory.
pub async fn read_body(
    body: Body,
    terms: &RequestTerms,
    limits: &TrafficLimits,
    memory: &BodyMemory,
) -> Result<Bytes, ProblemReport> {
    let limit = limits.body_bytes as usize;
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large(limit));
    }
    let time = limits.body_time.duration().min(terms.time_left());
    timeout(time, collect(body, limit, memory))
        .await
        .unwrap_or_else(|_| Err(too_slow(time)))
}

async fn collect(
    mut body: Body,
    limit: usize,
    memory: &BodyMemory,
) -> Result<Bytes, ProblemReport> {
    let mut pieces = Vec::new();
    let mut length = 0;
    let mut held = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| cut(&error))?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        length += bytes.len();
        if length > limit {
            return Err(too_large(limit));
        }
        hold(&mut held, length, memory)?;
        pieces.push(bytes);
    }
    let bytes = join(pieces, length);
    Ok(match held {
        Some(permit) => Bytes::from_owner(HeldBody {
            bytes,
            _permit: permit,
        }),
        None => bytes,
    })
}

/// Counts a body of `length` bytes; less than 1 KiB is free.
fn hold(
    held: &mut Option<OwnedSemaphorePermit>,
    length: usize,
    memory: &BodyMemory,
) -> Result<(), ProblemReport> {
    let counted = held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
    let missing = (length / KIB).saturating_sub(counted);
    if missing == 0 {
        return Ok(());
    }
    let missing = u32::try_from(missing).unwrap_or(u32::MAX);
    let permit = Arc::clone(&memory.0)
        .try_acquire_many_owned(missing)
        .map_err(|_| no_memory())?;
    match held {
        Some(held) => held.merge(permit),
        None => *held = Some(permit),
    }
    Ok(())
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

fn too_slow(time: Duration) -> ProblemReport {
    let detail = format!("the body did not arrive within {} ms", time.as_millis());
    ProblemReport::refused(ResultCode::BodyTimeout, detail)
}

fn no_memory() -> ProblemReport {
    let detail = "the bodies of waiting requests take all memory set aside for them";
    ProblemReport::refused(ResultCode::QueueFull, detail)
}
