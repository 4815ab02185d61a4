//! Parses the header row and the cells of each row.

use ward_protocol::{DayTime, EngineRole, MemorySize, PlanRow, PriorityLevel, RowTarget, ZoneName};

use crate::cell;
use crate::column::SheetColumn;
use crate::mistake::{SheetMistake, SheetProblem};
use crate::text::CellLine;

/// Identifies the row of a service even if its name is invalid.
const SERVICE_PREFIX: &str = "services/";

/// The index of each column in a line, and the number of cells per line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ColumnPositions {
    positions: Vec<(SheetColumn, usize)>,
    width: usize,
}

/// A row with the values of its valid cells; a value is `None` when its cell is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DraftRow {
    /// Line of the file on which the row begins, counted from 1.
    pub(crate) line: u64,
    /// The text of each cell.
    pub(crate) cells: RowCells,
    /// The model version, adapter or service of the row.
    pub(crate) target: Option<RowTarget>,
    /// Availability zones in which the target may run.
    pub(crate) zones: Option<Vec<ZoneName>>,
    /// Roles of the engines that may hold the target.
    pub(crate) roles: Option<Vec<EngineRole>>,
    /// Maximum number of replicas.
    pub(crate) replicas: Option<u16>,
    /// Number of replicas to keep ready.
    pub(crate) ready: Option<u16>,
    /// Time of day from which replicas are kept ready; also `None` when the cell is empty.
    pub(crate) ready_from: Option<DayTime>,
    /// Priority of loads of the target.
    pub(crate) priority: Option<PriorityLevel>,
    /// Memory of one replica.
    pub(crate) memory: Option<MemorySize>,
    /// Whether calls to the target may be retried.
    pub(crate) repeatable: Option<bool>,
}

impl DraftRow {
    /// The row of the plan; `None` when a required cell is invalid.
    #[must_use]
    pub(crate) fn to_row(&self) -> Option<PlanRow> {
        Some(PlanRow {
            target: self.target.clone()?,
            zones: self.zones.clone()?,
            roles: self.roles.clone()?,
            replicas: self.replicas?,
            ready: self.ready?,
            ready_from: self.ready_from,
            priority: self.priority?,
            memory: self.memory?,
            repeatable: self.repeatable?,
        })
    }

    /// A mistake located in the row's cell of a column.
    #[must_use]
    pub(crate) fn mistake(&self, column: SheetColumn, problem: SheetProblem) -> SheetMistake {
        SheetMistake {
            line: self.line,
            column: Some(column.name().to_owned()),
            cell: self.cells.get(column).to_owned(),
            problem,
        }
    }
}

/// The text of a row's cells by column.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct RowCells {
    cells: Vec<(SheetColumn, String)>,
}

impl RowCells {
    /// The text of a column's cell; empty when the row has no such cell.
    #[must_use]
    pub(crate) fn get(&self, column: SheetColumn) -> &str {
        self.cells
            .iter()
            .find(|(candidate, _)| *candidate == column)
            .map_or("", |(_, cell)| cell)
    }
}

/// Finds the index of each column in the header row.
///
/// # Errors
/// When columns are unknown, missing or duplicate; returns all such mistakes.
pub(crate) fn read_header(header: &CellLine) -> Result<ColumnPositions, Vec<SheetMistake>> {
    let mut positions: Vec<(SheetColumn, usize)> = Vec::new();
    let mut mistakes = Vec::new();
    for (index, cell) in header.cells.iter().enumerate() {
        let problem = match SheetColumn::from_header(cell) {
            None => SheetProblem::UnknownColumn,
            Some(column) if positions.iter().any(|(seen, _)| *seen == column) => {
                SheetProblem::DuplicateColumn
            }
            Some(column) => {
                positions.push((column, index));
                continue;
            }
        };
        mistakes.push(header_mistake(header.line, cell, problem));
    }
    let missing = SheetColumn::ALL
        .into_iter()
        .filter(|column| !positions.iter().any(|(seen, _)| seen == column))
        .map(|column| header_mistake(header.line, column.name(), SheetProblem::MissingColumn));
    mistakes.extend(missing);
    if !mistakes.is_empty() {
        return Err(mistakes);
    }
    Ok(ColumnPositions {
        positions,
        width: header.cells.len(),
    })
}

fn header_mistake(line: u64, column: &str, problem: SheetProblem) -> SheetMistake {
    SheetMistake {
        line,
        column: Some(column.to_owned()),
        cell: String::new(),
        problem,
    }
}

/// Parses a line as a row and appends the mistakes of its cells to `mistakes`.
///
/// Returns `None` when the line has a wrong number of cells.
pub(crate) fn read_row(
    positions: &ColumnPositions,
    line: &CellLine,
    mistakes: &mut Vec<SheetMistake>,
) -> Option<DraftRow> {
    if line.cells.len() != positions.width {
        mistakes.push(SheetMistake {
            line: line.line,
            column: None,
            cell: String::new(),
            problem: SheetProblem::CellCount(positions.width, line.cells.len()),
        });
        return None;
    }
    let cells = RowCells {
        cells: positions
            .positions
            .iter()
            .filter_map(|(column, index)| Some((*column, line.cells.get(*index)?.clone())))
            .collect(),
    };
    let mut reader = CellReader {
        line: line.line,
        cells: &cells,
        mistakes,
    };
    let target = reader.read(SheetColumn::Target, cell::read_target);
    let is_service = cells.get(SheetColumn::Target).starts_with(SERVICE_PREFIX);
    let zones = reader.read(SheetColumn::Zones, cell::read_zones);
    let roles = reader.read(SheetColumn::Roles, cell::read_roles);
    let replicas = reader.read(
        SheetColumn::Replicas,
        optional_for_service(is_service, cell::read_count),
    );
    let ready = reader.read(
        SheetColumn::Ready,
        optional_for_service(is_service, cell::read_count),
    );
    let ready_from = reader
        .read(SheetColumn::ReadyFrom, cell::read_ready_from)
        .flatten();
    let priority = reader.read(SheetColumn::Priority, cell::read_priority);
    let memory = reader.read(
        SheetColumn::Memory,
        optional_for_service(is_service, cell::read_memory),
    );
    let repeatable = reader.read(SheetColumn::Repeatable, cell::read_repeatable);
    Some(DraftRow {
        line: line.line,
        cells,
        target,
        zones,
        roles,
        replicas,
        ready,
        ready_from,
        priority,
        memory,
        repeatable,
    })
}

/// Wraps a parser so that an empty cell of a service gives the default value.
fn optional_for_service<T: Default>(
    is_service: bool,
    read: impl Fn(&str) -> Result<T, SheetProblem>,
) -> impl Fn(&str) -> Result<T, SheetProblem> {
    move |cell| {
        if is_service && cell.is_empty() {
            return Ok(T::default());
        }
        read(cell)
    }
}

struct CellReader<'a> {
    line: u64,
    cells: &'a RowCells,
    mistakes: &'a mut Vec<SheetMistake>,
}

impl CellReader<'_> {
    fn read<T>(
        &mut self,
        column: SheetColumn,
        read: impl Fn(&str) -> Result<T, SheetProblem>,
    ) -> Option<T> {
        let cell = self.cells.get(column);
        let result = if cell.contains(['\n', '\r']) {
            Err(SheetProblem::LineBreak)
        } else {
            read(cell)
        };
        result
            .map_err(|problem| {
                self.mistakes.push(SheetMistake {
                    line: self.line,
                    column: Some(column.name().to_owned()),
                    cell: cell.to_owned(),
                    problem,
                });
            })
            .ok()
    }
}
