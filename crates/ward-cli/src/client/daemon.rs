//! Sends requests to one daemon after another.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ward_operator::ProblemBody;
use ward_protocol::ResultCode;

use super::exchange::{ApiReply, ApiRequest, ExchangeError};
use crate::error::{CliError, FailedAttempt};
use crate::output::print_error;

/// Client for the daemons that the operator named.
#[derive(Debug, Clone)]
pub struct DaemonClient {
    daemons: Vec<SocketAddr>,
    token: Option<String>,
    timeout: Duration,
}

/// Answer of a daemon, by its status.
pub(super) enum DaemonReply {
    Success(ApiReply),
    Refused(Box<ProblemBody>),
    /// Refused without effect, because of the state of this daemon; another may accept it.
    Unavailable(Box<ProblemBody>),
}

impl DaemonClient {
    /// Creates a client for daemons that are tried in this order.
    #[must_use]
    pub const fn new(daemons: Vec<SocketAddr>, token: Option<String>, timeout: Duration) -> Self {
        Self {
            daemons,
            token,
            timeout,
        }
    }

    /// Operators' addresses of the daemons.
    #[must_use]
    pub fn daemons(&self) -> &[SocketAddr] {
        &self.daemons
    }

    /// Timeout for one answer.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Tries the daemons in turn until one answers. Only for requests that change nothing.
    ///
    /// # Errors
    /// Fails when a daemon refuses or none answers.
    pub async fn read<T: DeserializeOwned>(&self, request: &ApiRequest) -> Result<T, CliError> {
        if self.daemons.is_empty() {
            return Err(CliError::NoDaemon);
        }
        let mut attempts = Vec::new();
        for daemon in &self.daemons {
            let cause = match self.call(*daemon, request).await {
                Ok(DaemonReply::Success(reply)) => match serde_json::from_slice(&reply.body) {
                    Ok(answer) => {
                        print_skipped(*daemon, &attempts);
                        return Ok(answer);
                    }
                    Err(error) => ExchangeError::MalformedAnswer(error),
                },
                Ok(DaemonReply::Refused(problem)) => {
                    return Err(CliError::Refused(*daemon, problem));
                }
                Ok(DaemonReply::Unavailable(problem)) => ExchangeError::Unavailable(problem.title),
                Err(error) => error,
            };
            attempts.push(FailedAttempt {
                daemon: *daemon,
                cause,
            });
        }
        Err(CliError::NotReached(attempts))
    }

    /// Sends a request to one daemon without retries.
    pub(super) async fn call(
        &self,
        daemon: SocketAddr,
        request: &ApiRequest,
    ) -> Result<DaemonReply, ExchangeError> {
        let reply = request
            .send(daemon, self.token.as_deref(), self.timeout)
            .await?;
        if reply.success {
            return Ok(DaemonReply::Success(reply));
        }
        let problem: Box<ProblemBody> = serde_json::from_slice(&reply.body)?;
        if is_unavailable(problem.code) {
            return Ok(DaemonReply::Unavailable(problem));
        }
        Ok(DaemonReply::Refused(problem))
    }
}

/// Prints the failed attempts, and which daemon answered in the end.
fn print_skipped(daemon: SocketAddr, attempts: &[FailedAttempt]) {
    for attempt in attempts {
        print_error(&format!("{}: {}\n", attempt.daemon, attempt.cause));
    }
    if !attempts.is_empty() {
        print_error(&format!("{daemon} answered\n"));
    }
}

fn is_unavailable(code: u16) -> bool {
    [
        ResultCode::Stopping,
        ResultCode::StateMissing,
        ResultCode::LogUnavailable,
        ResultCode::NewerFormat,
    ]
    .iter()
    .any(|unavailable| unavailable.number() == code)
}
