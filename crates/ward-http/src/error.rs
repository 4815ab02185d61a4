//! Errors of calls that got no complete answer.

use std::error::Error;

use quick_error::quick_error;
use ward_protocol::TimeSpan;

/// Error of the HTTP library that caused a call to fail.
pub type CallCause = Box<dyn Error + Send + Sync>;

quick_error! {
    /// A call that got no complete answer.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection was established, so the call had no effect.
        NotSent(cause: CallCause) {
            display("cannot connect: {cause}; check the address and that the server runs")
            source(&**cause)
        }
        /// The request could not be built, so the call had no effect.
        Request(cause: http::Error) {
            from()
            display("the request is not valid: {cause}; check the address")
            source(cause)
        }
        /// The connection broke or the answer was not valid HTTP; the request may have been
        /// sent.
        Lost(cause: CallCause) {
            display("no complete answer arrived: {cause}; the call may have had an effect")
            source(&**cause)
        }
        /// The complete answer did not arrive within the timeout.
        Timeout(limit: TimeSpan) {
            display("no answer within {limit}; the call may have had an effect")
        }
        /// The answer's body is larger than the limit in bytes.
        TooLong(limit: usize) {
            display("the answer is longer than {limit} bytes; the call may have had an effect")
        }
    }
}

impl CallError {
    /// Whether the call certainly had no effect.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Request(_))
    }
}
