//! Tables and curves from the rows of a replay.

mod curve;
mod table;
mod target;

pub use curve::{CurvePoint, family_curve, idle_at_wait, wait_at_idle};
pub use table::{policy_table, target_table};
pub use target::{SeedSpread, TargetRow, compare_targets};
