//! Tables and curves from the rows of a replay.

mod curve;
mod svg;
mod table;
mod target;

pub use curve::{CurvePoint, family_curve, idle_at_wait, wait_at_idle};
pub use svg::tradeoff_svg;
pub use table::{policy_table, target_table};
pub use target::{SeedSpread, TargetRow, compare_targets};
