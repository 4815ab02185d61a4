//! What can be wrong with a sheet, and what to write instead.

use std::error::Error;
use std::fmt;

use quick_error::quick_error;
use ward_protocol::plan::ReferenceError;
use ward_protocol::{ReplicaKey, RowTarget, UnitError};

use crate::column::SheetColumn;

quick_error! {
    /// One kind of mistake; the text says what is wrong.
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
        /// The header names no known column.
        UnknownColumn {
            display("there is no such column")
        }
        /// The header names a column twice.
        DuplicateColumn {
            display("the column is there twice")
        }
        /// The header lacks a column.
        MissingColumn {
            display("the column is missing")
        }
        /// The row has another number of cells than the header.
        CellCount(expected: usize, found: usize) {
            display("the row has {found} cells and the header {expected}")
        }
        /// The cell holds a line break.
        LineBreak {
            display("the cell holds a line break")
        }
        /// The cell must not be empty.
        EmptyCell {
            display("the cell is empty")
        }
        /// The target cannot be read.
        Target(cause: ReferenceError) {
            display("{}", first_clause(cause))
            source(cause)
        }
        /// One of the availability zones cannot be read.
        Zone(zone: String) {
            display("{zone:?} is not the name of an availability zone")
        }
        /// One of the roles is unknown.
        Role(role: String) {
            display("{role:?} is not a role that can hold a replica")
        }
        /// The list names something twice.
        DuplicateItem(item: String) {
            display("{item:?} is named twice")
        }
        /// Not a number of replicas.
        Count {
            display("this is not a number of replicas")
        }
        /// A quantity cannot be read.
        Unit(cause: UnitError) {
            from()
            display("{}", first_clause(cause))
            source(cause)
        }
        /// Neither yes nor no.
        YesNo {
            display("this is neither yes nor no")
        }
        /// Two rows have the same target.
        DuplicateTarget(first: u64) {
            display("line {first} has the same target")
        }
        /// More replicas are kept ready than may be loaded.
        ReadyOverReplicas(replicas: u16) {
            display("more replicas are to be ready than the {replicas} allowed")
        }
        /// A time is given though nothing is kept ready.
        TimeWithoutReady {
            display("a time is given though no replica is to be ready")
        }
        /// A model or adapter without memory.
        NoMemory {
            display("a replica takes memory, but none is given")
        }
        /// A model or adapter that may not be repeated.
        NotRepeatable {
            display("calls to a model may always be repeated")
        }
        /// A cell that a service does not have.
        NotForService {
            display("the system loads no service, so this cell has no meaning")
        }
        /// An adapter without its base model.
        NoBase(base: ReplicaKey) {
            display("the adapter's base model {base} has no row")
        }
        /// An adapter with more replicas than its base model.
        ReplicasOverBase(base: RowTarget, replicas: u16) {
            display("the base model {base} may have only {replicas} replicas")
        }
        /// An adapter and its base model share no zone or role.
        DisjointFromBase(base: RowTarget) {
            display("the base model {base} may run in none of these")
        }
    }
}

impl SheetProblem {
    /// What to write instead.
    #[must_use]
    pub fn help(&self) -> String {
        match self {
            Self::TooLarge(_) => "remove columns and rows that are not part of the plan".into(),
            Self::TooManyRows(limit) => format!("leave at most {limit} rows"),
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
            Self::DuplicateTarget(_) => "leave one row for each target".into(),
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

/// What is wrong, without the advice that shared errors add after a semicolon.
fn first_clause(cause: &impl fmt::Display) -> String {
    let text = cause.to_string();
    let end = text.rfind("; ").unwrap_or(text.len());
    text[..end].to_owned()
}

fn column_names() -> String {
    SheetColumn::ALL.map(SheetColumn::name).join(", ")
}

/// A mistake with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetMistake {
    /// Line of the file, from 1; the line where the row begins.
    pub line: u64,
    /// Column name as in the header; absent when the whole line is meant.
    pub column: Option<String>,
    /// The cell as written; empty when there is none.
    pub cell: String,
    /// What is wrong.
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
    /// The mistakes; at least one.
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
