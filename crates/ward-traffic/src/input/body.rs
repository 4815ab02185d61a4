//! Reads request bodies within limits on size, time and memory.

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

/// Memory for all request bodies together, in KiB.
const DEFAULT_MEMORY_KIB: usize = 512 << 10;
const KIB: usize = 1 << 10;

/// Memory budget shared by all request bodies.
#[derive(Debug, Clone)]
pub struct BodyMemory(Arc<Semaphore>);

impl BodyMemory {
    /// A budget of `kibibytes` for all bodies together.
    #[must_use]
    pub fn from_kib(kibibytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(kibibytes)))
    }
}

impl Default for BodyMemory {
    fn default() -> Self {
        Self::from_kib(DEFAULT_MEMORY_KIB)
    }
}

/// A body that counts against the budget until its last slice is dropped.
struct CountedBody {
    bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the complete body, for `body_time` and until the request's deadline at most.
///
/// # Errors
///
/// The body is too large, too slow or incomplete, or the memory budget is used up.
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
    let mut held_permit = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| body_cut(&error))?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        length += bytes.len();
        if length > limit {
            return Err(too_large(limit));
        }
        reserve_memory(&mut held_permit, length, memory)?;
        pieces.push(bytes);
    }
    let bytes = concat(pieces, length);
    Ok(match held_permit {
        Some(permit) => Bytes::from_owner(CountedBody {
            bytes,
            _permit: permit,
        }),
        None => bytes,
    })
}

/// Reserves memory for a body of `length` bytes, in whole KiB rounded down, so that
/// a body of less than 1 KiB reserves none.
fn reserve_memory(
    held_permit: &mut Option<OwnedSemaphorePermit>,
    length: usize,
    memory: &BodyMemory,
) -> Result<(), ProblemReport> {
    let counted = held_permit
        .as_ref()
        .map_or(0, OwnedSemaphorePermit::num_permits);
    let missing = (length / KIB).saturating_sub(counted);
    if missing == 0 {
        return Ok(());
    }
    let missing = u32::try_from(missing).unwrap_or(u32::MAX);
    let permit = Arc::clone(&memory.0)
        .try_acquire_many_owned(missing)
        .map_err(|_| no_memory())?;
    match held_permit {
        Some(held_permit) => held_permit.merge(permit),
        None => *held_permit = Some(permit),
    }
    Ok(())
}

/// Joins the pieces of a body; a single piece is not copied.
fn concat(mut pieces: Vec<Bytes>, length: usize) -> Bytes {
    if pieces.len() <= 1 {
        return pieces.pop().unwrap_or_default();
    }
    let mut joined = BytesMut::with_capacity(length);
    for piece in pieces {
        joined.extend_from_slice(&piece);
    }
    joined.freeze()
}

fn body_cut(error: &viz::Error) -> ProblemReport {
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
    let detail = "the memory reserved for the bodies of waiting requests is used up";
    ProblemReport::refused(ResultCode::QueueFull, detail)
}
