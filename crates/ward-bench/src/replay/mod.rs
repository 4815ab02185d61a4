//! Replays of a week's requests under several policies.

mod arrival;
mod compare;
mod draw;
mod event;
mod group;
mod hold;
mod load;
mod outcome;
mod row;
mod rule;
mod run;
mod state;
mod store;
mod trace;
mod trouble;
mod workload;

pub use compare::{COLD_WEIGHTS, FIXED_SECONDS, ReplayTask, compare_policies, compared_policies};
pub use outcome::{PriorityCounts, ReplayOutcome, WaitCause, WaitQuantiles, WaitRecorder};
pub use row::{PolicyFamily, ReplayRow};
pub use rule::{KeepContext, KeepRule, ReplayPolicy, StoreOrder};
pub use run::{ReplayError, replay_trace};
pub use trace::{RequestTrace, TraceModel, TraceRequest, WEEK, draw_trace};
pub use trouble::ReplayTrouble;
pub use workload::{ArrivalLaw, FleetShape, ModelGroup, OpenHours, WorkloadError, WorkloadFile};
