//! Errors of appends, reads and snapshots.

use http::StatusCode;
use quick_error::quick_error;
use ward_http::{CallError, ReplyError};
use ward_protocol::{AppendResult, CodecError, LogOffset};

quick_error! {
    /// Why an append was not acknowledged.
    #[derive(Debug)]
    pub enum AppendCause {
        /// The call failed or its answer was incomplete.
        Call(cause: CallError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// The log service answered with an error status.
        Status(status: StatusCode) {
            display("the log answered {status}")
        }
        /// The answer is not a valid answer to an append.
        Reply(cause: ReplyError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// The records cannot be encoded as JSON.
        Body(cause: serde_json::Error) {
            from()
            display("the records cannot be encoded: {cause}")
            source(cause)
        }
        /// The records exceed the count or byte limit of one append.
        Size(records: usize, bytes: usize) {
            display("{records} records with {bytes} bytes in all exceed the limit of one append; split them")
        }
    }
}

quick_error! {
    /// An append that the log did not acknowledge.
    #[derive(Debug)]
    pub enum AppendError {
        /// The records are certainly not stored.
        Refused(cause: AppendCause) {
            display("log: append not stored: {cause}; try again later")
            source(cause)
        }
        /// The records may be stored already, may be stored later, or never.
        Unknown(cause: AppendCause) {
            display("log: append in doubt: {cause}; read the log for the record ids")
            source(cause)
        }
    }
}

impl AppendError {
    /// The result of the append, without the cause.
    #[must_use]
    pub const fn result(&self) -> AppendResult {
        match self {
            Self::Refused(_) => AppendResult::Refused,
            Self::Unknown(_) => AppendResult::Unknown,
        }
    }
}

quick_error! {
    /// Why a stream could not be read.
    #[derive(Debug)]
    pub enum ReadError {
        /// The call failed or its answer was incomplete.
        Call(cause: CallError) {
            from()
            display("log: read failed: {cause}")
            source(cause)
        }
        /// The answer is not a valid answer to a read.
        Reply(cause: ReplyError) {
            from()
            display("log: read failed: {cause}")
            source(cause)
        }
        /// An offset in the answer is below the requested one or does not exceed the one before.
        OutOfOrder(offset: LogOffset) {
            display("log: the answer contains offset {offset} out of order; check the log service")
        }
    }
}

quick_error! {
    /// Why a snapshot could not be written.
    #[derive(Debug)]
    pub enum SnapshotError {
        /// The append of a part failed.
        Append(cause: AppendError) {
            from()
            display("snapshot: {cause}")
            source(cause)
        }
        /// A part cannot be encoded.
        Codec(cause: CodecError) {
            from()
            display("snapshot: {cause}")
            source(cause)
        }
        /// The state needs more parts than a 16-bit part count can hold.
        Size(bytes: usize) {
            display("snapshot: a state of {bytes} bytes is too large")
        }
    }
}
