//! Connections that leave their runtime time for other work.
//!
//! Load pattern: a faulty server sends bytes without end, faster than they can be parsed,
//! for instance interim heads that the HTTP library skips. Whoever reads them until none
//! is left never finishes, and all other tasks of the thread wait. So the reader of a
//! [`FairStream`] gives way after a number of bytes, and a [`HeadLimit`] bounds what it
//! reads in all before the answer has begun. An [`UnwrittenMark`] tells whether the server
//! ended the connection while a request was still being written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that are read before other tasks have their turn; some thousands of the shortest
/// heads, or a few milliseconds of parsing.
const MAX_TURN_BYTES: usize = 64 << 10;
/// Maximum length of one read, in bytes.
const MAX_READ_BYTES: usize = 16 << 10;
/// Maximum number of bytes until the head of an answer is complete, interim heads
/// included.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// State of a limit in an answer whose head is complete.
const LIFTED: usize = usize::MAX;
/// State of a limit that the next write sets.
const ARMED: usize = usize::MAX - 1;

/// Limits the bytes that a server may send until the head of its answer is complete;
/// clones share the state. It is armed at first, and in force from the next write on.
#[derive(Debug, Clone)]
pub struct HeadLimit(Arc<AtomicUsize>);

impl Default for HeadLimit {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(ARMED)))
    }
}

impl HeadLimit {
    /// Prepares for the next request: the write that begins it sets the limit.
    pub fn arm(&self) {
        self.store(ARMED);
    }

    /// Records that the head of the answer is complete; what follows is not limited.
    pub fn lift(&self) {
        self.store(LIFTED);
    }

    fn record_write(&self) {
        if self.remaining() == ARMED {
            self.store(MAX_HEAD_BYTES);
        }
    }

    fn record_read(&self, bytes: usize) {
        let remaining = self.remaining();
        if remaining <= MAX_HEAD_BYTES {
            self.store(remaining.saturating_sub(bytes));
        }
    }

    fn remaining(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn store(&self, state: usize) {
        self.0.store(state, Ordering::Relaxed);
    }
}

/// Whether the connection did not take all bytes of the last write, or failed in it; clones
/// share the state.
#[derive(Debug, Clone, Default)]
pub struct UnwrittenMark(Arc<AtomicBool>);

impl UnwrittenMark {
    /// Whether bytes that were to be written have not been taken.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>, offered: usize) {
        let is_complete = matches!(written, Poll::Ready(Ok(count)) if *count == offered);
        self.0.store(!is_complete, Ordering::Relaxed);
    }
}

/// A stream whose reader gives way to other tasks, with a limit on the heads of answers.
#[derive(Debug)]
pub struct FairStream<S> {
    inner: S,
    limit: HeadLimit,
    unwritten: UnwrittenMark,
    /// Bytes left until other tasks have their turn.
    turn_bytes: usize,
    /// Whether other tasks had their turn since the limit was reached.
    is_limit_confirmed: bool,
}

impl<S> FairStream<S> {
    /// Wraps a stream; whoever sends requests on it lifts and arms the limit.
    pub fn new(inner: S, limit: HeadLimit) -> Self {
        Self {
            inner,
            limit,
            unwritten: UnwrittenMark::default(),
            turn_bytes: MAX_TURN_BYTES,
            is_limit_confirmed: false,
        }
    }

    /// Tells, also once the stream is in use, whether all bytes were written.
    #[must_use]
    pub fn unwritten(&self) -> UnwrittenMark {
        self.unwritten.clone()
    }

    /// Number of bytes that may be read now; 0 if other tasks must have their turn first.
    ///
    /// The task that waits for the answer lifts the limit, and it may have been woken by
    /// the last bytes that were read. So it has its turn before the limit counts.
    fn readable_bytes(&mut self) -> io::Result<usize> {
        let remaining = self.limit.remaining();
        if remaining > 0 {
            self.is_limit_confirmed = false;
            return Ok(remaining.min(self.turn_bytes).min(MAX_READ_BYTES));
        }
        if self.is_limit_confirmed {
            let reason = "too many bytes came before the answer";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        self.is_limit_confirmed = true;
        Ok(0)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FairStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let readable = this.readable_bytes()?;
        if readable == 0 {
            this.turn_bytes = MAX_TURN_BYTES;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = readable.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let Poll::Ready(result) = Pin::new(&mut this.inner).poll_read(cx, &mut part) else {
            this.turn_bytes = MAX_TURN_BYTES;
            return Poll::Pending;
        };
        result?;
        let count = part.filled().len();
        buffer.advance(count);
        this.turn_bytes -= count;
        this.limit.record_read(count);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FairStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.limit.record_write();
        let written = Pin::new(&mut this.inner).poll_write(cx, bytes);
        this.unwritten.record_write(&written, bytes.len());
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.limit.record_write();
        let written = Pin::new(&mut this.inner).poll_write_vectored(cx, slices);
        let offered = slices.iter().map(|slice| slice.len()).sum();
        this.unwritten.record_write(&written, offered);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }
}

impl<S: Connection> Connection for FairStream<S> {
    /// Adds the limit to the extensions of each answer.
    fn connected(&self) -> Connected {
        self.inner.connected().extra(self.limit.clone())
    }
}
