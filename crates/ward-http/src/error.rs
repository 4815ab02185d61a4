//! What can go wrong with a call.

use std::error::Error;

use quick_error::quick_error;
use ward_protocol::TimeSpan;

/// A cause from the HTTP library.
pub type CallCause = Box<dyn Error + Send + Sync>;

quick_error! {
    /// A call that got no usable answer.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection came about, so the call had no effect.
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
        /// The connection broke before the whole answer came.
        Lost(cause: CallCause) {
            display("the connection broke before the answer came: {cause}; the call may have had an effect")
            source(&**cause)
        }
        /// The answer did not come in time.
        Timeout(limit: TimeSpan) {
            display("no answer within {limit}; the call may have had an effect")
        }
        /// The answer has more bytes than allowed.
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
