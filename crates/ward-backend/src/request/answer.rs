//! Answers of backend servers, read incrementally.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use super::call::CallError;
use super::connection::BackendConnection;
use super::pool::ConnectionPool;

const MIN_BUFFER_BYTES: usize = 64 << 10;

/// An answer whose request id was checked; its body is yet to be read from the connection.
#[derive(Debug)]
pub struct BackendAnswer {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Header fields as received.
    pub headers: HeaderMap,
    /// Body, read on demand.
    pub body: AnswerBody,
}

/// The part of a body that was read within a size limit.
#[derive(Debug)]
pub enum BufferedBody {
    /// The entire body.
    Complete(Bytes),
    /// The beginning of a body larger than the limit; the remainder is yet to be read.
    Partial(Bytes),
}

/// The body of an answer; its connection returns to the pool only after the last byte was read.
#[derive(Debug)]
pub struct AnswerBody {
    incoming: Incoming,
    connection: Option<(BackendConnection, Arc<ConnectionPool>)>,
}

impl AnswerBody {
    pub(super) fn new(
        incoming: Incoming,
        connection: BackendConnection,
        pool: Arc<ConnectionPool>,
    ) -> Self {
        let mut body = Self {
            incoming,
            connection: Some((connection, pool)),
        };
        if body.incoming.is_end_stream() {
            body.release_connection();
        }
        body
    }

    /// Length in bytes, if the answer states it.
    #[must_use]
    pub fn exact_len(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Reads the next piece; `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// The connection was lost before the end of the answer.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, CallError> {
        loop {
            let Some(frame) = self.incoming.frame().await else {
                self.release_connection();
                return Ok(None);
            };
            match frame {
                Ok(frame) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Err(error) => {
                    self.connection = None;
                    return Err(CallError::Lost(error));
                }
            }
        }
    }

    /// Reads the entire body, which may have at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// The connection was lost, the body is too large, or it is not complete at the deadline.
    pub async fn read_all(mut self, limit: usize, deadline: Instant) -> Result<Bytes, CallError> {
        match self.read_buffered(limit, deadline).await? {
            BufferedBody::Complete(bytes) => Ok(bytes),
            BufferedBody::Partial(_) => Err(CallError::TooLarge),
        }
    }

    /// Reads the entire body, or only its beginning if it has more than `limit` bytes.
    ///
    /// # Errors
    ///
    /// The connection was lost, or by the deadline the body was neither complete nor over `limit`.
    pub async fn read_buffered(
        &mut self,
        limit: usize,
        deadline: Instant,
    ) -> Result<BufferedBody, CallError> {
        if self.exact_len().is_some_and(|length| length > limit as u64) {
            return Ok(BufferedBody::Partial(Bytes::new()));
        }
        timeout_at(deadline, self.read_up_to(limit))
            .await
            .unwrap_or(Err(CallError::TimedOut))
    }

    async fn read_up_to(&mut self, limit: usize) -> Result<BufferedBody, CallError> {
        let Some(first) = self.chunk().await? else {
            return Ok(BufferedBody::Complete(Bytes::new()));
        };
        let Some(second) = self.chunk().await? else {
            return Ok(BufferedBody::Complete(first));
        };
        let mut buffer = BytesMut::with_capacity(first.len().max(MIN_BUFFER_BYTES));
        buffer.extend_from_slice(&first);
        buffer.extend_from_slice(&second);
        while buffer.len() <= limit {
            let Some(bytes) = self.chunk().await? else {
                return Ok(BufferedBody::Complete(buffer.freeze()));
            };
            buffer.extend_from_slice(&bytes);
        }
        Ok(BufferedBody::Partial(buffer.freeze()))
    }

    fn release_connection(&mut self) {
        if let Some((connection, pool)) = self.connection.take() {
            pool.put(connection);
        }
    }
}
