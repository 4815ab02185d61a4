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

const LOOK_PAUSE: Duration = Duration::from_millis(250);

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
pub enum SubmitEnd {
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
    pub async fn submit(&self, call: &SubmitCall) -> Result<SubmitEnd, CliError> {
        if self.daemons().is_empty() {
            return Err(CliError::NoDaemon);
        }
        let mut attempts = Vec::new();
        for daemon in self.daemons() {
            let cause = match self.ask(*daemon, &call.exchange).await {
                Ok(DaemonReply::Done(reply)) => {
                    return match serde_json::from_slice::<SubmitAnswer>(&reply.body) {
                        Ok(answer) if answer.outcome != SubmitOutcome::Unknown => {
                            Ok(SubmitEnd::Answered(Box::new(answer)))
                        }
                        Ok(_) | Err(_) => self.look_up(call.record).await,
                    };
                }
                Ok(DaemonReply::Refused(problem)) => {
                    return Err(CliError::Refused(*daemon, problem));
                }
                Ok(DaemonReply::Unready(problem)) => ExchangeError::Unready(problem.title),
                Err(error) if error.is_unsent() => error,
                Err(_) => return self.look_up(call.record).await,
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
    async fn look_up(&self, record: RecordId) -> Result<SubmitEnd, CliError> {
        let exchange = ApiExchange::get_with(
            "/plan/history",
            &HistoryQuery {
                limit: None,
                record: Some(record),
            },
        )?;
        let end = Instant::now() + self.limit();
        loop {
            if let Ok(history) = self.read::<HistoryAnswer>(&exchange).await {
                let found = history.entries.iter().find(|entry| entry.record == record);
                if let Some(entry) = found {
                    return found_end(entry);
                }
            }
            if Instant::now() + LOOK_PAUSE >= end {
                return Err(CliError::Unknown(record));
            }
            sleep(LOOK_PAUSE).await;
        }
    }
}

fn found_end(entry: &HistoryEntry) -> Result<SubmitEnd, CliError> {
    match entry.verdict {
        HistoryVerdict::Accepted => Ok(SubmitEnd::Found(entry.revision)),
        HistoryVerdict::Stale | HistoryVerdict::Invalid => {
            Err(CliError::NotAccepted(entry.record, entry.revision))
        }
    }
}
