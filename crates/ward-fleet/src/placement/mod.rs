//! Which model and adapter lies on which engine.
//!
//! Only the coordinator decides this. [`PlacementState`] holds what it knows of
//! engines and demand; [`plan_tasks`] turns that into work for engines that have
//! none; the caller carries the work out and reports each step back.

mod adapter;
mod ceiling;
mod demand;
mod engine;
mod fetch;
mod outlook;
mod plan;
mod slow;
mod spread;
mod state;
mod victim;
mod work;

pub use ceiling::StoreCeiling;
pub use demand::{DemandTable, ModelKey};
pub use engine::{AuditState, LoadSource, PlacedEngine, PlacedModel};
pub use plan::plan_tasks;
pub use slow::slow_models;
pub use state::{MemberKey, PlacementState};
pub use work::{AdapterTask, LoadReason, ModelTask, PlannedTask, TaskTarget};
