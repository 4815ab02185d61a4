//! Fetches the status report of an engine.

use std::net::SocketAddr;

use http::Method;
use quick_error::quick_error;
use ward_http::{CallBounds, CallError, ReplyError, UnpooledClient, json_request};
use ward_protocol::{BackendId, BackendStatus, TimeSpan};

const STATUS_PATH: &str = "/status";
const MAX_ANSWER_BYTES: usize = 4 << 20;

quick_error! {
    /// Why the status of an engine could not be read.
    #[derive(Debug)]
    pub enum StatusError {
        /// The call failed or its answer was incomplete.
        Call(cause: CallError) {
            from()
            display("status: {cause}")
            source(cause)
        }
        /// The answer is not a valid status report.
        Reply(cause: ReplyError) {
            from()
            display("status: {cause}")
            source(cause)
        }
        /// The report is of another backend server than the one expected at this address.
        Backend(found: BackendId) {
            display("status: the address belongs to {found}; check the host list")
        }
    }
}

/// Fetches the status report of the engine at an address.
///
/// # Errors
/// No complete answer arrives in time, or it is not a report of this engine.
pub async fn fetch_status(
    client: &UnpooledClient,
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
