//! Sets the faults of a running stand-in and reads its history.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use ward_http::{CallBounds, CallError, HttpClient, HttpReply, ReplyError, json_request};
use ward_protocol::TimeSpan;

const BOUNDS: CallBounds = CallBounds {
    timeout: TimeSpan::from_secs(5),
    answer_bytes: 256 << 20,
};
const POLL_INTERVAL: Duration = Duration::from_millis(5);

quick_error! {
    /// Why a call to a stand-in failed.
    #[derive(Debug)]
    pub enum ControlError {
        /// The call got no complete answer.
        Call(cause: CallError) {
            from()
            display("stand-in: {cause}")
            source(cause)
        }
        /// The answer's body is not of the expected type.
        Reply(cause: ReplyError) {
            from()
            display("stand-in: {cause}")
            source(cause)
        }
        /// The request's body cannot be encoded as JSON.
        Body(cause: serde_json::Error) {
            from()
            display("stand-in: {cause}")
            source(cause)
        }
        /// The stand-in answered with a status other than success.
        Refused(status: u16) {
            display("stand-in: refused with status {status}")
        }
        /// The awaited check did not hold within this time.
        Timeout(limit: TimeSpan) {
            display("stand-in: the check did not hold within {limit}")
        }
    }
}

/// Client for the control paths of a running stand-in.
#[derive(Debug, Clone)]
pub struct StandinControl {
    address: SocketAddr,
    client: HttpClient,
}

impl StandinControl {
    /// A client of the stand-in at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: HttpClient::new(),
        }
    }

    /// Replaces the stand-in's faults.
    ///
    /// # Errors
    /// When the call fails or the stand-in refuses the faults.
    pub async fn set_faults(&self, faults: &impl Serialize) -> Result<(), ControlError> {
        self.send(Method::POST, "/faults", faults).await?;
        Ok(())
    }

    /// Reads the stand-in's history.
    ///
    /// # Errors
    /// When the call fails or the answer is not a history of type `T`.
    pub async fn history<T: DeserializeOwned>(&self) -> Result<T, ControlError> {
        let request = json_request(Method::GET, self.address, "/history", "")?;
        Ok(self.client.call(request, BOUNDS).await?.json()?)
    }

    /// Polls the history until a check holds, then returns it.
    ///
    /// # Errors
    /// When the check does not hold within `limit`.
    pub async fn history_until<T: DeserializeOwned>(
        &self,
        limit: TimeSpan,
        check: impl Fn(&T) -> bool,
    ) -> Result<T, ControlError> {
        let deadline = Instant::now() + limit.duration();
        while Instant::now() < deadline {
            // Errors are ignored: a crashed stand-in answers again after its downtime.
            if let Ok(history) = self.history().await
                && check(&history)
            {
                return Ok(history);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(ControlError::Timeout(limit))
    }

    /// Sends a request with a JSON body to a path of the stand-in.
    ///
    /// # Errors
    /// When the call fails or the answer's status is not a success.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<HttpReply, ControlError> {
        let body = Bytes::from(serde_json::to_vec(body)?);
        let request = json_request(method, self.address, path, body)?;
        let reply = self.client.call(request, BOUNDS).await?;
        if !reply.status.is_success() {
            return Err(ControlError::Refused(reply.status.as_u16()));
        }
        Ok(reply)
    }
}
