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
    limit: Duration,
}

/// What a daemon made of a request.
pub(super) enum DaemonReply {
    Done(ApiReply),
    Refused(Box<ProblemBody>),
    /// Refused without effect; another daemon may do better.
    Unready(Box<ProblemBody>),
}

impl DaemonClient {
    /// A client for some daemons, tried in this order.
    #[must_use]
    pub const fn new(daemons: Vec<SocketAddr>, token: Option<String>, limit: Duration) -> Self {
        Self {
            daemons,
            token,
            limit,
        }
    }

    /// The daemons.
    #[must_use]
    pub fn daemons(&self) -> &[SocketAddr] {
        &self.daemons
    }

    /// Longest time for one answer.
    #[must_use]
    pub const fn limit(&self) -> Duration {
        self.limit
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
            let cause = match self.ask(*daemon, exchange).await {
                Ok(DaemonReply::Done(reply)) => match serde_json::from_slice(&reply.body) {
                    Ok(answer) => {
                        report_skipped(*daemon, &attempts);
                        return Ok(answer);
                    }
                    Err(error) => ExchangeError::Format(error),
                },
                Ok(DaemonReply::Refused(problem)) => {
                    return Err(CliError::Refused(*daemon, problem));
                }
                Ok(DaemonReply::Unready(problem)) => ExchangeError::Unready(problem.title),
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
    pub(super) async fn ask(
        &self,
        daemon: SocketAddr,
        exchange: &ApiExchange,
    ) -> Result<DaemonReply, ExchangeError> {
        let reply = exchange
            .send(daemon, self.token.as_deref(), self.limit)
            .await?;
        if reply.success {
            return Ok(DaemonReply::Done(reply));
        }
        let problem: Box<ProblemBody> = serde_json::from_slice(&reply.body)?;
        if is_unready(problem.code) {
            return Ok(DaemonReply::Unready(problem));
        }
        Ok(DaemonReply::Refused(problem))
    }
}

/// Tells whose answer this is when it is not that of the first daemon named.
fn report_skipped(daemon: SocketAddr, attempts: &[FailedAttempt]) {
    for attempt in attempts {
        print_error(&format!("{}: {}\n", attempt.daemon, attempt.cause));
    }
    if !attempts.is_empty() {
        print_error(&format!("{daemon} answered\n"));
    }
}

fn is_unready(code: u16) -> bool {
    [
        ResultCode::Stopping,
        ResultCode::StateMissing,
        ResultCode::LogUnavailable,
        ResultCode::NewerFormat,
    ]
    .iter()
    .any(|unready| unready.number() == code)
}
