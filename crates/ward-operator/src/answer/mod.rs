//! JSON answers of the API; the command line parses them with the same types.

mod fleet;
mod plan;
mod problem;
mod status;

pub use fleet::{
    BackendItem, DaemonItem, DumpAnswer, HostsAnswer, ModeAnswer, ModelItem, ModelsAnswer,
    RequestItem, RequestPhase, RequestsAnswer,
};
pub use plan::{
    HistoryAnswer, HistoryEntry, HistoryKind, HistoryVerdict, PlanAnswer, SubmitAnswer,
    SubmitOutcome,
};
pub use problem::{MistakeItem, ProblemBody};
pub use status::{PlanStatusAnswer, RowPhase, RowStatus, ShortReason};
