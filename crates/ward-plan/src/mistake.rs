//! The mistakes that a sheet can have, with advice on how to correct them.

use std::error::Error;
use std::fmt;

use quick_error::quick_error;
use ward_protocol::plan::ReferenceError;
use ward_protocol::{ReplicaKey, RowTarget, UnitError};

use crate::column::SheetColumn;

quick_error! {
    /// A kind of mistake; its text states the problem, [`SheetProblem::help`] the remedy.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SheetProblem {
        /// The sheet has too many bytes.
        TooLarge(limit: usize) {
            display("the sheet is larger than {limit} bytes")
        }
        /// The sheet has too many rows.
        TooManyRows(limit: usize) {
            display("the sheet has more than {limit} rows")
        }
        /// The sheet has no header row.
        Empty {
            display("the sheet is empty")
        }
        /// The bytes are not UTF-8.
        NotUtf8 {
            display("the sheet is not UTF-8 text")
        }
        /// A cell of the header row is not the name of a column.
        UnknownColumn {
            display("there is no such column")
        }
        /// The header row names a column twice.
        DuplicateColumn {
            display("the column appears twice")
        }
        /// The header row lacks a column.
        MissingColumn {
            display("the column is missing")
        }
        /// The row has more or fewer cells than the header row.
        CellCount(expected: usize, found: usize) {
            display("the row has {found} cells and the header {expected}")
        }
        /// The cell holds a line break.
        LineBreak {
            display("the cell holds a line break")
        }
        /// The cell is empty, but its column requires a value.
        EmptyCell {
            display("the cell is empty")
        }
        /// The target is not a valid model version, adapter or service.
        Target(cause: ReferenceError) {
            display("{}", first_clause(cause))
            source(cause)
        }
        /// An item of the list is not a valid name of an availability zone.
        Zone(zone: String) {
            display("{zone:?} is not the name of an availability zone")
        }
        /// An item of the list is not a role that can hold replicas.
        Role(role: String) {
            display("{role:?} is not a role that can hold a replica")
        }
        /// The list contains an item twice.
        DuplicateItem(item: String) {
            display("{item:?} is named twice")
        }
        /// The cell is not a whole number from 0 to 65535.
        Count {
            display("this is not a number of replicas")
        }
        /// The cell is not a valid memory size, priority or time of day.
        Unit(cause: UnitError) {
            from()
            display("{}", first_clause(cause))
            source(cause)
        }
        /// The cell is neither `yes` nor `no`.
        YesNo {
            display("this is neither yes nor no")
        }
        /// An earlier row, on line `first`, has the same target.
        DuplicateTarget(first: u64) {
            display("line {first} has the same target")
        }
        /// More replicas are to be kept ready than may be loaded.
        ReadyOverReplicas(replicas: u16) {
            display("more replicas are to be ready than the {replicas} allowed")
        }
        /// A time is given although no replica is to be kept ready.
        TimeWithoutReady {
            display("a time is given though no replica is to be ready")
        }
        /// The memory of a model or adapter is zero.
        NoMemory {
            display("a replica takes memory, but none is given")
        }
        /// A model or adapter is marked as not repeatable.
        NotRepeatable {
            display("calls to a model may always be repeated")
        }
        /// The row of a service has a value in a column that applies only to replicas.
        NotForService {
            display("the system loads no service, so this cell has no meaning")
        }
        /// The base model of an adapter has no row.
        NoBase(base: ReplicaKey) {
            display("the adapter's base model {base} has no row")
        }
        /// An adapter may have more replicas than its base model.
        ReplicasOverBase(base: RowTarget, replicas: u16) {
            display("the base model {base} may have only {replicas} replicas")
        }
        /// An adapter and its base model have no availability zone or no role in common.
        DisjointFromBase(base: RowTarget) {
            display("the base model {base} is allowed in none of these")
        }
    }
}

impl SheetProblem {
    /// Advice on how to correct the mistake.
    #[must_use]
    pub fn help(&self) -> String {
        match self {
            Self::TooLarge(_) => "remove columns and rows that are not part of the plan".into(),
            Self::TooManyRows(limit) => format!("keep at most {limit} rows"),
            Self::Empty => "export the sheet with its header row".into(),
            Self::NotUtf8 => "export the sheet as CSV with the character set UTF-8".into(),
            Self::UnknownColumn => format!("use only the columns {}", column_names()),
            Self::DuplicateColumn => "remove one of the two".into(),
            Self::MissingColumn => "add the column to the header row and fill it".into(),
            Self::CellCount(expected, _) => {
                format!("give the row {expected} cells; put cells that hold ; or , in quotes")
            }
            Self::LineBreak => "write the cell on one line and close its quotes".into(),
            Self::EmptyCell => "fill the cell".into(),
            Self::Target(_) => "write name@version, name:adapter@version or services/name".into(),
            Self::Zone(_) => "write zone names with spaces between, or nothing for all".into(),
            Self::Role(_) => "write serving, prefill or decode, or nothing for all".into(),
            Self::DuplicateItem(_) => "name it once".into(),
            Self::Count => "write a whole number from 0 to 65535".into(),
            Self::Unit(UnitError::Memory(_)) => "write a number with a unit, such as 24GiB".into(),
            Self::Unit(UnitError::Priority(_)) => {
                "write a whole number from 0 (first) to 7 (last)".into()
            }
            Self::Unit(UnitError::Day(_)) => "write hours and minutes, such as 07:30".into(),
            Self::Unit(UnitError::Span(_)) => "write a number with a unit, such as 250ms".into(),
            Self::YesNo => "write yes or no".into(),
            Self::DuplicateTarget(_) => "keep one row for each target".into(),
            Self::ReadyOverReplicas(replicas) => {
                format!("write at most {replicas}, or raise replicas")
            }
            Self::TimeWithoutReady => {
                "write 1 or more into ready, or leave ready_from empty".into()
            }
            Self::NoMemory => "write what one replica takes, such as 24GiB".into(),
            Self::NotRepeatable => "write yes; only services may say no".into(),
            Self::NotForService => "leave the cell empty".into(),
            Self::NoBase(base) => format!("add a row for {base}"),
            Self::ReplicasOverBase(_, replicas) => {
                format!("write at most {replicas}, or raise replicas of the base model")
            }
            Self::DisjointFromBase(_) => {
                "leave the cell empty or name one that the base model's row names".into()
            }
        }
    }
}

/// The text of an error without the advice that shared errors append after a semicolon.
fn first_clause(cause: &impl fmt::Display) -> String {
    let text = cause.to_string();
    let end = text.rfind("; ").unwrap_or(text.len());
    text[..end].to_owned()
}

fn column_names() -> String {
    SheetColumn::ALL.map(SheetColumn::name).join(", ")
}

/// A mistake with its location in the sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetMistake {
    /// Line of the file on which the row begins, counted from 1.
    pub line: u64,
    /// Name of the column; `None` when the mistake concerns the whole line or file.
    pub column: Option<String>,
    /// Content of the cell; empty when the mistake concerns no single cell.
    pub cell: String,
    /// The kind of mistake.
    pub problem: SheetProblem,
}

impl fmt::Display for SheetMistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}", self.line)?;
        if let Some(column) = &self.column {
            write!(formatter, ", column {column}")?;
        }
        if !self.cell.is_empty() {
            write!(formatter, ", {:?}", self.cell)?;
        }
        write!(formatter, ": {}; {}", self.problem, self.problem.help())
    }
}

/// All mistakes of a refused sheet, in the order of their lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetError {
    /// The mistakes, at least one.
    pub mistakes: Vec<SheetMistake>,
}

impl fmt::Display for SheetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the sheet has {} mistakes", self.mistakes.len())?;
        for mistake in &self.mistakes {
            write!(formatter, "\n{mistake}")?;
        }
        Ok(())
    }
}

impl Error for SheetError {}
