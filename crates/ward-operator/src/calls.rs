//! The functions that a daemon provides to the API.

use std::sync::Arc;

use futures::future::BoxFuture;
use ward_protocol::{OperatorName, PlanChange, PlanRevision, RecordId, ViewMode};

use crate::answer::{
    DumpAnswer, HistoryAnswer, HostsAnswer, ModelsAnswer, PlanAnswer, PlanStatusAnswer,
    RequestsAnswer,
};
use crate::error::OperatorError;
use crate::query::HistoryQuery;

/// The future answer of a call, or the error that the client gets instead.
pub type CallFuture<T> = BoxFuture<'static, Result<T, OperatorError>>;

/// A function of the daemon without parameters.
pub type PlainCall<T> = Arc<dyn Fn() -> CallFuture<T> + Send + Sync>;

/// A function of the daemon with one parameter.
pub type InputCall<I, T> = Arc<dyn Fn(I) -> CallFuture<T> + Send + Sync>;

/// A plan to append to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitRequest {
    /// Id of the record; the sender looks for it in the history when the answer is lost.
    pub record: RecordId,
    /// Name of the operator, as shown in the history.
    pub author: OperatorName,
    /// The revision that the author has seen; another one in force makes the plan stale.
    pub base: PlanRevision,
    /// The new rows, or the revision to restore.
    pub change: PlanChange,
}

/// Outcome of appending a plan to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitResult {
    /// The record was read back from the log and accepted.
    Accepted {
        /// The revision of the accepted plan.
        revision: PlanRevision,
    },
    /// The record was read back and rejected, because its base was not in force.
    Stale {
        /// The revision in force at that time.
        current: PlanRevision,
    },
    /// It is unknown whether the record is on the log, e.g. after a timeout.
    Unknown,
}

/// The functions that a daemon provides to the API.
#[derive(Clone)]
pub struct OperatorCalls {
    /// Appends a plan record, reads it back and returns its outcome. An error
    /// means that the record is not on the log.
    pub submit: InputCall<SubmitRequest, SubmitResult>,
    /// The plan of a revision; the newest accepted one for `None`.
    pub plan: InputCall<Option<PlanRevision>, PlanAnswer>,
    /// Submitted plans and their outcomes, newest first.
    pub history: InputCall<HistoryQuery, HistoryAnswer>,
    /// The revision that each daemon has in force, and the replicas of each row.
    pub plan_status: PlainCall<PlanStatusAnswer>,
    /// All known daemons and backend servers.
    pub hosts: PlainCall<HostsAnswer>,
    /// Models of the plan in force and the engines that hold them.
    pub models: PlainCall<ModelsAnswer>,
    /// Unfinished requests of callers at this daemon.
    pub requests: PlainCall<RequestsAnswer>,
    /// The whole state of this daemon, for troubleshooting.
    pub dump: PlainCall<DumpAnswer>,
    /// The mode of this daemon, e.g. starting or routing only.
    pub mode: Arc<dyn Fn() -> ViewMode + Send + Sync>,
}
