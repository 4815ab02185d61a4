//! Whole answers.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use quick_error::quick_error;
use serde::de::DeserializeOwned;

quick_error! {
    /// A whole answer that is not what was expected.
    #[derive(Debug)]
    pub enum ReplyError {
        /// The status says that the call failed.
        Status(status: StatusCode) {
            display("the server answered {status}")
        }
        /// The body is not the expected JSON.
        Json(cause: serde_json::Error) {
            from()
            display("the answer is not the expected JSON: {cause}; check that address and version fit")
            source(cause)
        }
    }
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl HttpReply {
    /// The body as JSON, if the status says success.
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
