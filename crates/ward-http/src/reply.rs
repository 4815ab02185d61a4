//! Complete answers of calls.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use quick_error::quick_error;
use serde::de::DeserializeOwned;

quick_error! {
    /// A complete answer whose status is not 2xx or whose body is not the expected JSON.
    #[derive(Debug)]
    pub enum ReplyError {
        /// The status is not 2xx.
        Status(status: StatusCode) {
            display("the server answered {status}")
        }
        /// The body is not the expected JSON.
        Json(cause: serde_json::Error) {
            from()
            display("the answer is not the expected JSON: {cause}; check that the address is right and the versions match")
            source(cause)
        }
    }
}

/// A complete answer to a call, whatever its status.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl HttpReply {
    /// Decodes the body as JSON if the status is 2xx.
    ///
    /// # Errors
    /// When the status is not 2xx or the body is not the expected JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ReplyError> {
        if !self.status.is_success() {
            return Err(ReplyError::Status(self.status));
        }
        Ok(serde_json::from_slice(&self.body)?)
    }
}
