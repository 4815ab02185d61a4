//! Gate that decides at the first byte of each request whether it may still be sent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// No request was sent on the connection yet.
const IDLE: u8 = 0;
/// A request may be sent, and its first byte is not written yet.
const ARMED: u8 = 1;
/// At least one byte of the request was written or is being written.
const WRITING: u8 = 2;
/// The request was abandoned before its first byte; all further writes fail.
const SHUT: u8 = 3;
/// The deadline passed before the first byte; all further writes fail.
const EXPIRED: u8 = 4;

/// State of the writes on one connection, shared by the caller of a request and the stream.
#[derive(Debug)]
pub(super) struct WriteGate {
    state: AtomicU8,
    /// Time from which `deadline` is counted.
    origin: Instant,
    /// Deadline for the first byte, in microseconds after `origin`.
    deadline: AtomicU64,
}

impl WriteGate {
    pub(super) fn new() -> Self {
        Self {
            state: AtomicU8::new(IDLE),
            origin: Instant::now(),
            deadline: AtomicU64::new(u64::MAX),
        }
    }

    /// Prepares for a request whose first byte may not be written after `deadline`.
    pub(super) fn arm(&self, deadline: Instant) {
        let micros = deadline.duration_since(self.origin).as_micros();
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        self.deadline.store(micros, Ordering::Relaxed);
        self.state.store(ARMED, Ordering::Release);
    }

    /// Shuts the gate; returns whether no byte of the request was written or ever will be.
    pub(super) fn shut(&self) -> bool {
        let shut = self
            .state
            .compare_exchange(ARMED, SHUT, Ordering::AcqRel, Ordering::Acquire);
        match shut {
            Ok(_) => true,
            Err(state) => state != WRITING,
        }
    }

    /// Whether the deadline kept the request from being sent.
    pub(super) fn is_expired(&self) -> bool {
        self.state.load(Ordering::Acquire) == EXPIRED
    }

    /// Checks whether a write is allowed; returns whether it is the first of its request.
    fn admit_write(&self) -> io::Result<bool> {
        match self.state.load(Ordering::Acquire) {
            IDLE | WRITING => return Ok(false),
            ARMED => {}
            _ => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
        let next = if self.is_past_deadline() {
            EXPIRED
        } else {
            WRITING
        };
        let exchanged =
            self.state
                .compare_exchange(ARMED, next, Ordering::AcqRel, Ordering::Acquire);
        match exchanged {
            Ok(_) if next == WRITING => Ok(true),
            Ok(_) => Err(io::ErrorKind::TimedOut.into()),
            Err(_) => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    fn is_past_deadline(&self) -> bool {
        let elapsed = self.origin.elapsed().as_micros();
        elapsed >= u128::from(self.deadline.load(Ordering::Relaxed))
    }

    /// Updates the state after the first write of a request; later writes leave it unchanged.
    fn finish_write(&self, is_first: bool, result: &Poll<io::Result<usize>>) {
        if !is_first {
            return;
        }
        match result {
            Poll::Ready(Ok(_)) => {}
            Poll::Pending => self.state.store(ARMED, Ordering::Release),
            Poll::Ready(Err(_)) => self.state.store(SHUT, Ordering::Release),
        }
    }
}

/// A TCP stream that checks its gate before each write.
pub(super) struct GatedStream {
    stream: TcpStream,
    gate: Arc<WriteGate>,
}

impl GatedStream {
    pub(super) const fn new(stream: TcpStream, gate: Arc<WriteGate>) -> Self {
        Self { stream, gate }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let is_first = self.gate.admit_write()?;
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.gate.finish_write(is_first, &result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let is_first = self.gate.admit_write()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.gate.finish_write(is_first, &result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
