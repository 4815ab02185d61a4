//! From lines of cells to rows, each checked by itself.

use ward_protocol::{DayTime, EngineRole, MemorySize, PlanRow, PriorityLevel, RowTarget, ZoneName};

use crate::cell;
use crate::column::SheetColumn;
use crate::mistake::{SheetMistake, SheetProblem};
use crate::text::CellLine;

/// Marks a service also when the rest of its name cannot be read.
const SERVICE_PREFIX: &str = "services/";

/// Where each column stands in a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ColumnPositions {
    positions: Vec<(SheetColumn, usize)>,
    width: usize,
}

/// A row as far as it can be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DraftRow {
    /// Line of the file, from 1.
    pub(crate) line: u64,
    /// The cells by column, as written.
    pub(crate) cells: RowCells,
    /// What the row is about, if readable.
    pub(crate) target: Option<RowTarget>,
    /// Availability zones, if readable.
    pub(crate) zones: Option<Vec<ZoneName>>,
    /// Roles, if readable.
    pub(crate) roles: Option<Vec<EngineRole>>,
    /// Most replicas, if readable.
    pub(crate) replicas: Option<u16>,
    /// Replicas kept ready, if readable.
    pub(crate) ready: Option<u16>,
    /// From when, if given and readable.
    pub(crate) ready_from: Option<DayTime>,
    /// Priority, if readable.
    pub(crate) priority: Option<PriorityLevel>,
    /// Memory, if readable.
    pub(crate) memory: Option<MemorySize>,
    /// Whether calls may be repeated, if readable.
    pub(crate) repeatable: Option<bool>,
}

impl DraftRow {
    /// The checked row; only for rows without mistakes.
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

    /// A mistake in one of the row's cells.
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

/// The cells of a row by column.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct RowCells {
    cells: Vec<(SheetColumn, String)>,
}

impl RowCells {
    /// The cell of a column; empty when there is none.
    #[must_use]
    pub(crate) fn get(&self, column: SheetColumn) -> &str {
        self.cells
            .iter()
            .find(|(candidate, _)| *candidate == column)
            .map_or("", |(_, cell)| cell)
    }
}

/// Finds the columns in the header line.
///
/// # Errors
/// When a column is unknown, missing or there twice; gives all such mistakes.
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

/// Reads one line as a row and notes its mistakes.
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

/// A reader that lets a service leave the cell empty.
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
