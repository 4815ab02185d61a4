//! Asks an engine for its status.

use std::net::SocketAddr;

use http::Method;
use quick_error::quick_error;
use ward_http::{CallBounds, CallError, HttpClient, ReplyError, json_request};
use ward_protocol::{BackendId, BackendStatus, TimeSpan};

const STATUS_PATH: &str = "/status";
const MAX_ANSWER_BYTES: usize = 4 << 20;

quick_error! {
    /// A status that cannot be had.
    #[derive(Debug)]
    pub enum StatusError {
        /// No whole answer came.
        Call(cause: CallError) {
            from()
            display("status: {cause}")
            source(cause)
        }
        /// The answer is not a status report.
        Reply(cause: ReplyError) {
            from()
            display("status: {cause}")
            source(cause)
        }
        /// Another backend server answered.
        Backend(found: BackendId) {
            display("status: the address belongs to {found}; check the host list")
        }
    }
}

/// Asks the engine at an address for its status.
///
/// # Errors
/// When no whole answer comes in time, or it is not this engine's report.
pub async fn fetch_status(
    client: &HttpClient,
    address: SocketAddr,
    backend: &BackendId,
    timeout: TimeSpan,
) -> Result<BackendStatus, StatusError> {
    let request = json_request(Method::GET, address, STATUS_PATH, "")?;
    let bounds = CallBounds {
        timeout,
        answer_bytes: MAX_ANSWER_BYTES,
    };
    let reply = client.call(request, bounds).await?;
    let status: BackendStatus = reply.json()?;
    if status.backend != *backend {
        return Err(StatusError::Backend(status.backend));
    }
    Ok(status)
}
