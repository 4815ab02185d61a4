//! Reads the planners' sheet, a CSV file, into a checked plan.
//!
//! [`PlanSheet::read`] parses the bytes that a spreadsheet exports and returns
//! either the complete checked sheet or every mistake in it, so a sheet with
//! mistakes never takes effect in part. Reporting only the first mistake would
//! need less code, but planners correct the sheet every morning and would have to
//! submit it once for each mistake.
//!
//! Each row is checked by itself first, then the rows are checked against each
//! other. A row with an invalid cell still takes part in the second check with
//! its readable cells, so that an adapter is not reported as lacking its base
//! model only because the base model's row has a mistake in another cell.
//!
//! The order of a model's versions matters, because an unpinned name means the
//! first of them. A difference therefore lists the models whose versions changed
//! order, and a sheet is appended to the log as a change of rows only when that
//! change reproduces the order of the sheet.

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
