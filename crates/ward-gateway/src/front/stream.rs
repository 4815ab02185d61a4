//! The socket and the answers of a connection, which tell the registry how far its caller
//! is.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::answer::{AnswerBody, BodyError};
use super::connection::TrackedConnection;

/// Socket of a tracked connection.
pub(crate) struct TrackedStream {
    stream: TcpStream,
    connection: Rc<TrackedConnection>,
}

impl TrackedStream {
    pub(crate) const fn new(stream: TcpStream, connection: Rc<TrackedConnection>) -> Self {
        Self { stream, connection }
    }

    fn record_write(
        &self,
        written: Poll<io::Result<usize>>,
        offered: usize,
    ) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(bytes)) => self.connection.record_write(*bytes, offered),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.connection.record_write(0, offered),
        }
        written
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.must_wait() {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - before;
        if bytes > 0 && !self.connection.record_read(bytes) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(written, bytes.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        let offered = slices.iter().map(|slice| slice.len()).sum();
        self.record_write(written, offered)
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

/// Body of an answer; once dropped, all of it was passed to the connection.
pub(crate) struct TrackedAnswer {
    body: AnswerBody,
    connection: Rc<TrackedConnection>,
}

impl TrackedAnswer {
    pub(crate) const fn new(body: AnswerBody, connection: Rc<TrackedConnection>) -> Self {
        Self { body, connection }
    }
}

impl Drop for TrackedAnswer {
    fn drop(&mut self) {
        self.connection.record_answered();
    }
}

impl Body for TrackedAnswer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
