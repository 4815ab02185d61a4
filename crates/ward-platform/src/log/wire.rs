//! Wire format of the log service: JSON over HTTP, records in base64.
//!
//! The service numbers records from 0, this crate from 1. A 4xx status and 503
//! mean that the service did not store the records.

use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use ward_http::{HttpReply, ReplyError};
use ward_protocol::{LogOffset, LogStream, RawRecord, TimeSpan};

#[serde_as]
#[derive(Serialize)]
struct AppendBody<'a> {
    #[serde_as(as = "&[Base64]")]
    records: &'a [Vec<u8>],
}

#[derive(Deserialize)]
struct AppendAnswer {
    first: u64,
}

#[serde_as]
#[derive(Deserialize)]
struct ReadRecord {
    offset: u64,
    #[serde_as(as = "Base64")]
    data: Vec<u8>,
}

#[derive(Deserialize)]
struct ReadAnswer {
    records: Vec<ReadRecord>,
    end: u64,
    start: u64,
}

/// Answer to a read, converted to this crate's offsets.
pub(super) struct ReadContent {
    pub(super) records: Vec<RawRecord>,
    pub(super) end: LogOffset,
    pub(super) oldest: LogOffset,
}

pub(super) fn append_path(stream: LogStream) -> String {
    format!("/streams/{stream}/records")
}

pub(super) fn read_path(
    stream: LogStream,
    from: LogOffset,
    limit: usize,
    wait: TimeSpan,
) -> String {
    let first = from.0.saturating_sub(1);
    let wait = wait.millis();
    format!("/streams/{stream}/records?from={first}&limit={limit}&wait_ms={wait}")
}

pub(super) fn append_body(records: &[Vec<u8>]) -> Result<Bytes, serde_json::Error> {
    Ok(Bytes::from(serde_json::to_vec(&AppendBody { records })?))
}

/// Parses the offset of the first record that an append stored.
pub(super) fn parse_append(reply: &HttpReply) -> Result<LogOffset, ReplyError> {
    let answer: AppendAnswer = reply.json()?;
    Ok(to_log_offset(answer.first))
}

pub(super) fn parse_read(reply: &HttpReply) -> Result<ReadContent, ReplyError> {
    let answer: ReadAnswer = reply.json()?;
    let records = answer.records.into_iter().map(|record| RawRecord {
        offset: to_log_offset(record.offset),
        bytes: record.data,
    });
    Ok(ReadContent {
        records: records.collect(),
        // The service gives the next offset, counted from 0.
        end: LogOffset(answer.end),
        oldest: to_log_offset(answer.start),
    })
}

/// Whether a status means that nothing was stored.
pub(super) fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

const fn to_log_offset(offset: u64) -> LogOffset {
    LogOffset(offset.saturating_add(1))
}
