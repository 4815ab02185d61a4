//! Client of the host list.

use std::net::SocketAddr;

use http::Method;
use quick_error::quick_error;
use ward_http::{CallBounds, CallError, HttpClient, ReplyError, json_request};
use ward_protocol::{HostEntry, TimeSpan};

use super::wire;

const MAX_ANSWER_BYTES: usize = 16 << 20;

quick_error! {
    /// Why the host list could not be read.
    #[derive(Debug)]
    pub enum HostsError {
        /// The call failed or its answer was incomplete.
        Call(cause: CallError) {
            from()
            display("host list: {cause}")
            source(cause)
        }
        /// The answer is not a valid host list.
        Reply(cause: ReplyError) {
            from()
            display("host list: {cause}")
            source(cause)
        }
    }
}

/// Reads the host list; clones share connections.
#[derive(Debug, Clone)]
pub struct HostClient {
    address: SocketAddr,
    timeout: TimeSpan,
    client: HttpClient,
}

impl HostClient {
    /// Creates a client of the host list at an address; `timeout` bounds each read.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: TimeSpan) -> Self {
        Self {
            address,
            timeout,
            client: HttpClient::new(),
        }
    }

    /// Reads the current host list, which may lag behind the real state of the hosts.
    ///
    /// # Errors
    /// No complete answer arrives in time, or it is not a valid host list.
    pub async fn list(&self) -> Result<Vec<HostEntry>, HostsError> {
        let request = json_request(Method::GET, self.address, wire::LIST_PATH, "")?;
        let bounds = CallBounds {
            timeout: self.timeout,
            answer_bytes: MAX_ANSWER_BYTES,
        };
        let reply = self.client.call(request, bounds).await?;
        Ok(wire::parse_list(&reply)?)
    }
}
