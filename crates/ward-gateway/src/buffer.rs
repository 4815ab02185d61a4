//! Buffers for bodies of requests and answers, bounded over the whole process.
//!
//! Load pattern: faulty engines send answers without end, or callers send the longest
//! bodies allowed, many at the same time. Each one is within its own limit, but all
//! together exceed the memory of the host, and the requests of all other callers end with
//! the process. So what is buffered beyond the first bytes of each body comes out of one
//! budget, and a body that doesn't fit is given up. Short bodies always fit.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use quick_error::quick_error;
use ward_protocol::MemorySize;

/// Bytes of each body that come out of no budget; most bodies are shorter.
const UNCOUNTED_BYTES: usize = 16 << 10;
/// Percentage of the host's memory that all buffers may take. A buffer may take twice its
/// length while it grows.
const BUFFER_PERCENT_OF_MEMORY: u64 = 25;

quick_error! {
    /// Why a body was not buffered.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    #[allow(unreachable_pub, reason = "quick_error knows no narrower visibility")]
    pub enum BufferError {
        /// The body ended before it was complete.
        Cut {
            display("the body broke off")
        }
        /// The body is longer than its own limit.
        TooLong {
            display("the body is too long")
        }
        /// All bodies together would exceed the budget.
        Full {
            display("there is no memory left for the body")
        }
    }
}

/// Memory that the buffers of this process may take; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct BufferBudget {
    remaining: Arc<AtomicUsize>,
}

impl BufferBudget {
    /// The budget of a process on a host with this memory.
    pub(crate) fn new(memory: MemorySize) -> Self {
        let bytes = memory.bytes() / 100 * BUFFER_PERCENT_OF_MEMORY;
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        Self {
            remaining: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Reads a body to its end. The memory of the returned bytes goes back to the budget
    /// when their last clone is dropped.
    pub(crate) async fn collect<B>(
        &self,
        mut body: B,
        max_bytes: usize,
    ) -> Result<Bytes, BufferError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut share = BufferShare::new(self.clone());
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BufferError::Cut)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = bytes.len() + data.len();
            if length > max_bytes {
                return Err(BufferError::TooLong);
            }
            if !share.grow_to(length) {
                return Err(BufferError::Full);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(share.into_bytes(bytes.freeze()))
    }

    /// A part of the budget for a buffer that is empty.
    pub(crate) fn share(&self) -> BufferShare {
        BufferShare::new(self.clone())
    }

    fn take(&self, bytes: usize) -> bool {
        let subtract = |remaining: usize| remaining.checked_sub(bytes);
        let taken = self
            .remaining
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
        taken.is_ok()
    }

    fn give_back(&self, bytes: usize) {
        self.remaining.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// The part of a budget that one buffer has taken; given back when dropped.
#[derive(Debug)]
pub(crate) struct BufferShare {
    budget: BufferBudget,
    taken: usize,
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.give_back(self.taken);
    }
}

impl BufferShare {
    fn new(budget: BufferBudget) -> Self {
        Self { budget, taken: 0 }
    }

    /// Takes what a buffer of this length needs; returns false if the budget is exhausted.
    fn grow_to(&mut self, length: usize) -> bool {
        let needed = length.saturating_sub(UNCOUNTED_BYTES);
        let additional = needed.saturating_sub(self.taken);
        let is_taken = self.budget.take(additional);
        if is_taken {
            self.taken += additional;
        }
        is_taken
    }

    /// Takes what a buffer of this length needs, and gives back what it no longer needs;
    /// returns false if the budget is exhausted.
    pub(crate) fn resize_to(&mut self, length: usize) -> bool {
        let needed = length.saturating_sub(UNCOUNTED_BYTES);
        let excess = self.taken.saturating_sub(needed);
        self.budget.give_back(excess);
        self.taken -= excess;
        self.grow_to(length)
    }

    /// Ties the share to the bytes.
    fn into_bytes(self, bytes: Bytes) -> Bytes {
        if self.taken == 0 {
            return bytes;
        }
        Bytes::from_owner(SharedBuffer {
            bytes,
            _share: self,
        })
    }
}

/// Bytes that come out of a budget.
struct SharedBuffer {
    bytes: Bytes,
    _share: BufferShare,
}

impl AsRef<[u8]> for SharedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
