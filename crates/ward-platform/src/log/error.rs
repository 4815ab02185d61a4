//! What can go wrong with the log.

use http::StatusCode;
use quick_error::quick_error;
use ward_http::{CallError, ReplyError};
use ward_protocol::{AppendResult, CodecError, LogOffset};

quick_error! {
    /// Why an append got no good answer.
    #[derive(Debug)]
    pub enum AppendCause {
        /// No whole answer came.
        Call(cause: CallError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// The log answered with another status than success.
        Status(status: StatusCode) {
            display("the log answered {status}")
        }
        /// The answer is not one to an append.
        Reply(cause: ReplyError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// The records cannot be written as JSON.
        Body(cause: serde_json::Error) {
            from()
            display("the records cannot be written: {cause}")
            source(cause)
        }
        /// The records number or weigh more than one append may.
        Size(records: usize, bytes: usize) {
            display("{records} records of {bytes} bytes are too many for one append; split them")
        }
    }
}

quick_error! {
    /// An append that the log did not confirm.
    #[derive(Debug)]
    pub enum AppendError {
        /// The records are certainly not stored.
        Refused(cause: AppendCause) {
            display("log: append not stored: {cause}; try again later")
            source(cause)
        }
        /// The records may be stored, now or later.
        Unknown(cause: AppendCause) {
            display("log: append in doubt: {cause}; read the log for the record ids")
            source(cause)
        }
    }
}

impl AppendError {
    /// The error without its cause.
    #[must_use]
    pub const fn result(&self) -> AppendResult {
        match self {
            Self::Refused(_) => AppendResult::Refused,
            Self::Unknown(_) => AppendResult::Unknown,
        }
    }
}

quick_error! {
    /// A stream that cannot be read.
    #[derive(Debug)]
    pub enum ReadError {
        /// No whole answer came.
        Call(cause: CallError) {
            from()
            display("log: read failed: {cause}")
            source(cause)
        }
        /// The answer is not one to a read.
        Reply(cause: ReplyError) {
            from()
            display("log: read failed: {cause}")
            source(cause)
        }
        /// The offsets in the answer do not rise from the first one wanted.
        OutOfOrder(offset: LogOffset) {
            display("log: the answer holds offset {offset} out of order; check the log service")
        }
    }
}

quick_error! {
    /// A snapshot that cannot be written.
    #[derive(Debug)]
    pub enum SnapshotError {
        /// A part was not appended.
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
        /// The state needs more parts than can be numbered.
        Size(bytes: usize) {
            display("snapshot: a state of {bytes} bytes is too large")
        }
    }
}
