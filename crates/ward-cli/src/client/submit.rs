//! Submits a plan at most once.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use ward_operator::{
    HistoryAnswer, HistoryEntry, HistoryQuery, HistoryVerdict, SubmitAnswer, SubmitOutcome,
};
use ward_protocol::{PlanRevision, RecordId};

use super::daemon::{DaemonClient, DaemonReply};
use super::exchange::{ApiRequest, ExchangeError};
use crate::error::{CliError, FailedAttempt};

const HISTORY_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A request that submits a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitCall {
    /// Id of the plan's record; must equal the one in the query of the request.
    pub record: RecordId,
    /// The request to send.
    pub request: ApiRequest,
}

/// How the outcome of a submitted plan was found out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitResolution {
    /// A daemon answered with the outcome.
    Answered(Box<SubmitAnswer>),
    /// The answer was lost, and the history shows that the plan was accepted.
    Found(PlanRevision),
}

impl DaemonClient {
    /// Submits a plan.
    ///
    /// Tries the next daemon only while it is certain that the plan is not on the
    /// log; otherwise looks for its record in the history.
    ///
    /// # Errors
    /// Fails when the plan is refused, when no daemon answers, or when its outcome
    /// cannot be found out within the time limit.
    pub async fn submit(&self, call: &SubmitCall) -> Result<SubmitResolution, CliError> {
        if self.daemons().is_empty() {
            return Err(CliError::NoDaemon);
        }
        let mut attempts = Vec::new();
        for daemon in self.daemons() {
            let cause = match self.call(*daemon, &call.request).await {
                Ok(DaemonReply::Success(reply)) => {
                    return match serde_json::from_slice::<SubmitAnswer>(&reply.body) {
                        Ok(answer) if answer.outcome != SubmitOutcome::Unknown => {
                            Ok(SubmitResolution::Answered(Box::new(answer)))
                        }
                        Ok(_) | Err(_) => self.find_in_history(call.record).await,
                    };
                }
                Ok(DaemonReply::Refused(problem)) => {
                    return Err(CliError::Refused(*daemon, problem));
                }
                Ok(DaemonReply::Unavailable(problem)) => ExchangeError::Unavailable(problem.title),
                Err(error) if error.is_unsent() => error,
                Err(_) => return self.find_in_history(call.record).await,
            };
            attempts.push(FailedAttempt {
                daemon: *daemon,
                cause,
            });
        }
        Err(CliError::NotReached(attempts))
    }

    /// Polls the history until it contains the record or the timeout expires.
    ///
    /// A missing record does not prove that the plan was lost: the append may
    /// still be in progress.
    async fn find_in_history(&self, record: RecordId) -> Result<SubmitResolution, CliError> {
        let request = ApiRequest::get_with(
            "/plan/history",
            &HistoryQuery {
                limit: None,
                record: Some(record),
            },
        )?;
        let deadline = Instant::now() + self.timeout();
        loop {
            if let Ok(history) = self.read::<HistoryAnswer>(&request).await {
                let found = history.entries.iter().find(|entry| entry.record == record);
                if let Some(entry) = found {
                    return history_resolution(entry);
                }
            }
            if Instant::now() + HISTORY_POLL_INTERVAL >= deadline {
                return Err(CliError::Unknown(record));
            }
            sleep(HISTORY_POLL_INTERVAL).await;
        }
    }
}

fn history_resolution(entry: &HistoryEntry) -> Result<SubmitResolution, CliError> {
    match entry.verdict {
        HistoryVerdict::Accepted => Ok(SubmitResolution::Found(entry.revision)),
        HistoryVerdict::Stale | HistoryVerdict::Invalid => {
            Err(CliError::NotAccepted(entry.record, entry.revision))
        }
    }
}
