//! What a daemon provides to the API.

use std::sync::Arc;

use futures::future::BoxFuture;
use ward_protocol::{OperatorName, PlanChange, PlanRevision, RecordId, ViewMode};

use crate::answer::{
    DumpAnswer, HistoryAnswer, HostsAnswer, ModelsAnswer, PlanAnswer, RequestsAnswer, StatusAnswer,
};
use crate::error::OperatorError;
use crate::query::HistoryQuery;

/// The future of a call's answer.
pub type CallFuture<T> = BoxFuture<'static, Result<T, OperatorError>>;

/// A call without input.
pub type PlainCall<T> = Arc<dyn Fn() -> CallFuture<T> + Send + Sync>;

/// A call with input.
pub type InputCall<I, T> = Arc<dyn Fn(I) -> CallFuture<T> + Send + Sync>;

/// A plan to append to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitRequest {
    /// Names the record; the sender looks for it when the answer is lost.
    pub record: RecordId,
    /// Who submits it.
    pub author: OperatorName,
    /// The revision that the author saw.
    pub base: PlanRevision,
    /// What to change.
    pub change: PlanChange,
}

/// What became of a plan that was to be appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitResult {
    /// It was read back and accepted.
    Accepted {
        /// Its revision.
        revision: PlanRevision,
    },
    /// It was read back, but its base was not in force.
    Stale {
        /// The revision in force.
        current: PlanRevision,
    },
    /// It may or may not be on the log.
    Unknown,
}

/// The calls that a daemon provides.
#[derive(Clone)]
pub struct OperatorCalls {
    /// Appends a plan record, reads it back and tells what became of it. An
    /// error means that the log does not have it.
    pub submit: InputCall<SubmitRequest, SubmitResult>,
    /// The plan of a revision; the newest accepted one when none is named.
    pub plan: InputCall<Option<PlanRevision>, PlanAnswer>,
    /// Plan records, newest first.
    pub history: InputCall<HistoryQuery, HistoryAnswer>,
    /// How far the plan has come.
    pub status: PlainCall<StatusAnswer>,
    /// Daemons and backend servers.
    pub hosts: PlainCall<HostsAnswer>,
    /// Models of the plan in force.
    pub models: PlainCall<ModelsAnswer>,
    /// Requests of this daemon.
    pub requests: PlainCall<RequestsAnswer>,
    /// Everything that this daemon knows.
    pub dump: PlainCall<DumpAnswer>,
    /// What this daemon may do at the moment.
    pub mode: Arc<dyn Fn() -> ViewMode + Send + Sync>,
}
