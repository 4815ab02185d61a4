//! Submitting a plan at most once.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use ward_operator::{
    HistoryAnswer, HistoryEntry, HistoryQuery, HistoryVerdict, SubmitAnswer, SubmitOutcome,
};
use ward_protocol::{PlanRevision, RecordId};

use super::daemon::{DaemonClient, DaemonReply};
use super::exchange::{ApiExchange, ExchangeError};
use crate::error::{CliError, FailedAttempt};

const HISTORY_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A plan to submit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitCall {
    /// Names its record; part of the request's query.
    pub record: RecordId,
    /// The request.
    pub exchange: ApiExchange,
}

/// What became of a submitted plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitResolution {
    /// A daemon answered.
    Answered(Box<SubmitAnswer>),
    /// The history shows that it was accepted.
    Found(PlanRevision),
}

impl DaemonClient {
    /// Submits a plan.
    ///
    /// Goes on to the next daemon only while it is certain that the plan is not
    /// on the log; else looks for its record in the history.
    ///
    /// # Errors
    /// When the plan is refused, no daemon was reached, or its outcome cannot
    /// be found out in the time limit.
    pub async fn submit(&self, call: &SubmitCall) -> Result<SubmitResolution, CliError> {
        if self.daemons().is_empty() {
            return Err(CliError::NoDaemon);
        }
        let mut attempts = Vec::new();
        for daemon in self.daemons() {
            let cause = match self.call(*daemon, &call.exchange).await {
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

    /// Looks for a record in the history until it is there or time is up.
    ///
    /// That a record is not there yet never means that it will not come: an
    /// append may still be on its way.
    async fn find_in_history(&self, record: RecordId) -> Result<SubmitResolution, CliError> {
        let exchange = ApiExchange::get_with(
            "/plan/history",
            &HistoryQuery {
                limit: None,
                record: Some(record),
            },
        )?;
        let deadline = Instant::now() + self.timeout();
        loop {
            if let Ok(history) = self.read::<HistoryAnswer>(&exchange).await {
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
