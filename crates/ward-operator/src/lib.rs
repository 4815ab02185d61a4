//! The operators' HTTP API, served by each daemon on an address of its own.
//!
//! The daemon hands in a struct of closures, [`OperatorCalls`]; this crate does
//! the rest: reading sheets, checking tokens, answering with typed JSON, and
//! problems with numbered codes. A trait would have exactly one implementation
//! in the product, and closures let tests replace single calls.
//!
//! A submitted plan is named by its sender's record id. When an answer is lost,
//! the sender looks for that id in the history and never submits again on a
//! guess; so an answer may say that the outcome is not known, which is neither
//! a success nor a refusal.
//!
//! Every daemon answers for the whole deployment as far as it knows; what it
//! cannot know, such as the revision that an unreachable daemon has in force,
//! is absent from the answer and not guessed.

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
    HostsAnswer, MistakeItem, ModelItem, ModelsAnswer, PlanAnswer, ProblemBody, ReadyAnswer,
    RequestItem, RequestPhase, RequestsAnswer, RowPhase, RowStatus, ShortReason, StatusAnswer,
    SubmitAnswer, SubmitOutcome,
};
pub use calls::{CallFuture, OperatorCalls, SubmitRequest, SubmitResult};
pub use error::OperatorError;
pub use query::{
    DiffQuery, HistoryQuery, PlanFormat, PlanQuery, RetreatQuery, RowFilter, StatusQuery,
    SubmitQuery,
};
pub use record::plan_records;
pub use route::operator_router;
pub use serve::serve_operators;
pub use server::OperatorServer;
pub use token::TokenDigest;
pub use warning::{SheetWarning, sheet_warnings};
