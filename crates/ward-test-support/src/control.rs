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
const LOOK_PAUSE: Duration = Duration::from_millis(5);

quick_error! {
    /// A stand-in that does not answer as it should.
    #[derive(Debug)]
    pub enum ControlError {
        /// No whole answer came.
        Call(cause: CallError) {
            from()
            display("stand-in: {cause}")
            source(cause)
        }
        /// The answer is not what was asked for.
        Reply(cause: ReplyError) {
            from()
            display("stand-in: {cause}")
            source(cause)
        }
        /// The body cannot be written.
        Body(cause: serde_json::Error) {
            from()
            display("stand-in: {cause}")
            source(cause)
        }
        /// The stand-in refused.
        Refused(status: u16) {
            display("stand-in: refused with status {status}")
        }
        /// What was waited for did not come.
        Timeout(limit: TimeSpan) {
            display("stand-in: not seen within {limit}")
        }
    }
}

/// Talks to a running stand-in.
#[derive(Debug, Clone)]
pub struct StandinControl {
    address: SocketAddr,
    client: HttpClient,
}

impl StandinControl {
    /// Talks to the stand-in at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: HttpClient::new(),
        }
    }

    /// Replaces its faults.
    ///
    /// # Errors
    /// When it does not take them.
    pub async fn set_faults(&self, faults: &impl Serialize) -> Result<(), ControlError> {
        self.send(Method::POST, "/faults", faults).await?;
        Ok(())
    }

    /// Its history.
    ///
    /// # Errors
    /// When it does not answer with one of this type.
    pub async fn history<T: DeserializeOwned>(&self) -> Result<T, ControlError> {
        let request = json_request(Method::GET, self.address, "/history", "")?;
        Ok(self.client.call(request, BOUNDS).await?.json()?)
    }

    /// Reads the history until a check holds, then returns it.
    ///
    /// # Errors
    /// When the check does not hold in time.
    pub async fn history_until<T: DeserializeOwned>(
        &self,
        limit: TimeSpan,
        check: impl Fn(&T) -> bool,
    ) -> Result<T, ControlError> {
        let until = Instant::now() + limit.duration();
        while Instant::now() < until {
            // A stand-in that has crashed answers again after its downtime.
            if let Ok(history) = self.history().await
                && check(&history)
            {
                return Ok(history);
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        Err(ControlError::Timeout(limit))
    }

    /// Sends a JSON body to one of its paths.
    ///
    /// # Errors
    /// When the answer's status is not a success.
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
