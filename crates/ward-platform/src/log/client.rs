//! Client of the log service.

use std::net::SocketAddr;

use http::Method;
use ward_http::{CallBounds, HttpClient, json_request};
use ward_protocol::{LogOffset, LogStream, RawRecord, TimeSpan};

use super::error::{AppendCause, AppendError, ReadError};
use super::wire;

const MAX_APPEND_ANSWER_BYTES: usize = 64 << 10;
const MAX_READ_ANSWER_BYTES: usize = 64 << 20;
const MAX_APPEND_RECORDS: usize = 4_096;
const MAX_APPEND_BYTES: usize = 16 << 20;

/// Timeouts of calls to the log service.
#[derive(Debug, Clone, Copy)]
pub struct LogTimeouts {
    /// Time in which an append must be acknowledged.
    pub append: TimeSpan,
    /// Time in which a read must be answered, in addition to its wait for new records.
    pub read: TimeSpan,
}

impl Default for LogTimeouts {
    fn default() -> Self {
        Self {
            append: TimeSpan::from_millis(1_500),
            read: TimeSpan::from_millis(1_500),
        }
    }
}

/// Records and bounds of a stream, as one read returned them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRead {
    /// Records in ascending order of offset.
    pub records: Vec<RawRecord>,
    /// Newest offset of the stream; zero while the stream is empty.
    pub end: LogOffset,
    /// Oldest offset still kept, if retention has removed records at the requested offset.
    pub cut: Option<LogOffset>,
}

/// Appends to and reads from the log; clones share connections.
#[derive(Debug, Clone)]
pub struct LogClient {
    address: SocketAddr,
    timeouts: LogTimeouts,
    client: HttpClient,
}

impl LogClient {
    /// Creates a client of the log service at an address.
    #[must_use]
    pub fn new(address: SocketAddr, timeouts: LogTimeouts) -> Self {
        Self {
            address,
            timeouts,
            client: HttpClient::new(),
        }
    }

    /// Appends all records in one call, in order; returns the offset of the first one.
    ///
    /// # Errors
    /// `Refused` when nothing was stored, `Unknown` when only reading the log can show it.
    pub async fn append(
        &self,
        stream: LogStream,
        records: Vec<Vec<u8>>,
    ) -> Result<LogOffset, AppendError> {
        check_size(&records).map_err(AppendError::Refused)?;
        let body =
            wire::append_body(&records).map_err(|cause| AppendError::Refused(cause.into()))?;
        let path = wire::append_path(stream);
        let request = json_request(Method::POST, self.address, &path, body)
            .map_err(|cause| AppendError::Refused(cause.into()))?;
        let bounds = CallBounds {
            timeout: self.timeouts.append,
            answer_bytes: MAX_APPEND_ANSWER_BYTES,
        };
        let reply = self.client.call(request, bounds).await.map_err(|cause| {
            if cause.is_unsent() {
                AppendError::Refused(cause.into())
            } else {
                AppendError::Unknown(cause.into())
            }
        })?;
        if wire::is_refusal(reply.status) {
            return Err(AppendError::Refused(AppendCause::Status(reply.status)));
        }
        wire::parse_append(&reply).map_err(|cause| AppendError::Unknown(cause.into()))
    }

    /// Reads at most `limit` records starting at an offset; if there is none yet, waits up to
    /// `wait` for one.
    ///
    /// # Errors
    /// No complete answer arrives in time, or it is not a valid answer to a read.
    pub async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        limit: usize,
        wait: TimeSpan,
    ) -> Result<LogRead, ReadError> {
        let path = wire::read_path(stream, from, limit, wait);
        let request = json_request(Method::GET, self.address, &path, "")?;
        let bounds = CallBounds {
            timeout: self.timeouts.read + wait,
            answer_bytes: MAX_READ_ANSWER_BYTES,
        };
        let reply = self.client.call(request, bounds).await?;
        let content = wire::parse_read(&reply)?;
        check_offsets(from, &content.records)?;
        let first = from.max(LogOffset(1));
        Ok(LogRead {
            records: content.records,
            end: content.end,
            cut: (content.oldest > first).then_some(content.oldest),
        })
    }
}

fn check_size(records: &[Vec<u8>]) -> Result<(), AppendCause> {
    let bytes = records.iter().map(Vec::len).sum();
    if records.len() > MAX_APPEND_RECORDS || bytes > MAX_APPEND_BYTES {
        return Err(AppendCause::Size(records.len(), bytes));
    }
    Ok(())
}

fn check_offsets(from: LogOffset, records: &[RawRecord]) -> Result<(), ReadError> {
    let mut min_next = from;
    for record in records {
        if record.offset < min_next {
            return Err(ReadError::OutOfOrder(record.offset));
        }
        min_next = LogOffset(record.offset.0.saturating_add(1));
    }
    Ok(())
}
