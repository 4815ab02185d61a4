//! From the planners' sheet to a checked plan.
//!
//! [`PlanSheet::read`] takes the bytes that a spreadsheet exports and gives
//! either a whole checked sheet or every mistake in it; nothing in between can
//! come into force. Reporting only the first mistake would be shorter code, but
//! a planner corrects the sheet once a morning and should not submit it five
//! times.
//!
//! Rows are checked one by one first and against each other second. A row with
//! a bad cell still takes part in the second check as far as it can be read, so
//! that an adapter is not reported as lacking its base model only because the
//! base model's row has a mistake elsewhere.
//!
//! The order of a model's versions carries meaning, since an unpinned name
//! means the first of them; so a difference lists models whose versions changed
//! places, and a sheet goes onto the log as changed rows only when those rows
//! give back its order.

mod cell;
mod change;
mod check;
mod column;
mod difference;
mod mistake;
mod read;
mod sheet;
mod text;
mod write;

pub use column::SheetColumn;
pub use difference::{ChangedRow, SheetDifference};
pub use mistake::{SheetError, SheetMistake, SheetProblem};
pub use sheet::{MAX_ROWS, PlanSheet};
pub use text::MAX_BYTES;
