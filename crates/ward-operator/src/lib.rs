//! The operators' HTTP API, served by each daemon on an address of its own.
//!
//! The daemon passes a struct of closures, [`OperatorCalls`]. This crate reads
//! sheets, checks tokens and answers with typed JSON or with problems that have
//! numbered codes. A trait would have exactly one implementation in the product,
//! and closures let tests replace single calls.
//!
//! A submitted plan is identified by a record id that its sender chooses. When an
//! answer is lost, the sender looks for that id in the history instead of
//! submitting the plan a second time. So an answer may say that the outcome is
//! unknown, which is neither a success nor a refusal.
//!
//! Every daemon answers for the whole deployment from what it knows. What it
//! cannot know, such as the revision that an unreachable daemon has in force, is
//! left out of the answer.

pub mod answer;
pub mod calls;
pub mod error;
pub mod metrics;
pub mod query;
pub mod record;
pub mod route;
pub mod serve;
pub mod server;
pub mod token;
pub mod warning;

pub use answer::{
    BackendItem, DaemonItem, DumpAnswer, HistoryAnswer, HistoryEntry, HistoryKind, HistoryVerdict,
    HostsAnswer, MistakeItem, ModeAnswer, ModelItem, ModelsAnswer, PlanAnswer, PlanStatusAnswer,
    ProblemBody, RequestItem, RequestPhase, RequestsAnswer, RowPhase, RowStatus, ShortReason,
    SubmitAnswer, SubmitOutcome,
};
pub use calls::{CallFuture, OperatorCalls, SubmitRequest, SubmitResult};
pub use error::OperatorError;
pub use query::{
    DiffQuery, HistoryQuery, PlanFormat, PlanQuery, PlanStatusQuery, RetreatQuery, RowFilter,
    SubmitQuery,
};
pub use record::plan_records;
pub use route::operator_router;
pub use serve::serve_operators;
pub use server::OperatorServer;
pub use token::TokenDigest;
pub use warning::{SheetWarning, sheet_warnings};
