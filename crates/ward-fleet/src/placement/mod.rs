//! Placement of models and adapters on engines.
//!
//! Only the coordinator decides this. [`PlacementState`] holds what it knows
//! about engines and demand, and [`plan_tasks`] plans tasks for engines that
//! have none. The caller carries out the tasks and reports each step back.

mod adapter;
mod demand;
mod engine;
mod fetch;
mod load_limiter;
mod outlook;
mod plan;
mod published;
mod slow;
mod spread;
mod state;
mod task;
mod victim;

pub use demand::{DemandTable, ModelKey};
pub use engine::{AuditState, LoadSource, PlacedEngine, PlacedModel};
pub use load_limiter::LoadLimiter;
pub use plan::plan_tasks;
pub use published::{EngineChanges, PublishedEngines};
pub use slow::slow_models;
pub use state::{MemberKey, PlacementState};
pub use task::{AdapterLoadTask, LoadReason, ModelLoadTask, PlannedTask, TaskTarget};
