//! Asking one daemon after another.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ward_operator::ProblemBody;
use ward_protocol::ResultCode;

use super::exchange::{ApiExchange, ApiReply, ExchangeError};
use crate::error::{CliError, FailedAttempt};
use crate::output::print_error;

/// Asks the daemons that an operator named.
#[derive(Debug, Clone)]
pub struct DaemonClient {
    daemons: Vec<SocketAddr>,
    token: Option<String>,
    timeout: Duration,
}

/// What a daemon made of a request.
pub(super) enum DaemonReply {
    Success(ApiReply),
    Refused(Box<ProblemBody>),
    /// Refused without effect; another daemon may do better.
    Unavailable(Box<ProblemBody>),
}

impl DaemonClient {
    /// A client for some daemons, tried in this order.
    #[must_use]
    pub const fn new(daemons: Vec<SocketAddr>, token: Option<String>, timeout: Duration) -> Self {
        Self {
            daemons,
            token,
            timeout,
        }
    }

    /// The daemons.
    #[must_use]
    pub fn daemons(&self) -> &[SocketAddr] {
        &self.daemons
    }

    /// Longest time for one answer.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Asks until one daemon answers. Only for requests that change nothing.
    ///
    /// # Errors
    /// When a daemon refuses or none answers.
    pub async fn read<T: DeserializeOwned>(&self, exchange: &ApiExchange) -> Result<T, CliError> {
        if self.daemons.is_empty() {
            return Err(CliError::NoDaemon);
        }
        let mut attempts = Vec::new();
        for daemon in &self.daemons {
            let cause = match self.call(*daemon, exchange).await {
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

    /// Sends a request to one daemon, once.
    pub(super) async fn call(
        &self,
        daemon: SocketAddr,
        exchange: &ApiExchange,
    ) -> Result<DaemonReply, ExchangeError> {
        let reply = exchange
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

/// Tells whose answer this is when it is not that of the first daemon named.
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
