//! A sheet that passed all checks.

use std::sync::Arc;

use indexmap::IndexMap;
use ward_protocol::{PlanRow, RowTarget};

use crate::check::{check_row, check_rows};
use crate::mistake::{SheetError, SheetMistake, SheetProblem};
use crate::read::{ColumnPositions, DraftRow, read_header, read_row};
use crate::text::{CellLine, decode_text, split_lines};

/// Maximum number of rows of a sheet, not counting the header row.
pub const MAX_ROWS: usize = 100_000;

/// A plan sheet without mistakes; its targets are unique.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlanSheet {
    rows: IndexMap<RowTarget, Arc<PlanRow>>,
}

impl PlanSheet {
    /// Parses and checks a CSV file that a spreadsheet exported.
    ///
    /// # Errors
    /// When the sheet has mistakes; returns all of them.
    pub fn read(bytes: &[u8]) -> Result<Self, SheetError> {
        let text = decode_text(bytes).map_err(single_mistake)?;
        let lines = split_lines(text);
        let Some((header, lines)) = lines.split_first() else {
            return Err(single_mistake(line_mistake(1, SheetProblem::Empty)));
        };
        if let Some(line) = lines.get(MAX_ROWS) {
            return Err(single_mistake(line_mistake(
                line.line,
                SheetProblem::TooManyRows(MAX_ROWS),
            )));
        }
        let positions = read_header(header).map_err(|mistakes| SheetError { mistakes })?;
        read_lines(&positions, lines)
    }

    /// A sheet of rows that are already checked, such as those of an accepted plan.
    #[must_use]
    pub fn from_rows(rows: impl IntoIterator<Item = Arc<PlanRow>>) -> Self {
        let rows = rows
            .into_iter()
            .map(|row| (row.target.clone(), row))
            .collect();
        Self { rows }
    }

    /// The rows in the order of the sheet.
    #[must_use]
    pub fn rows(&self) -> impl ExactSizeIterator<Item = &Arc<PlanRow>> {
        self.rows.values()
    }

    /// The row of a target, if the sheet has one.
    #[must_use]
    pub fn row(&self, target: &RowTarget) -> Option<&Arc<PlanRow>> {
        self.rows.get(target)
    }
}

fn read_lines(positions: &ColumnPositions, lines: &[CellLine]) -> Result<PlanSheet, SheetError> {
    let mut mistakes = Vec::new();
    let mut drafts: Vec<DraftRow> = Vec::new();
    for line in lines {
        let Some(draft) = read_row(positions, line, &mut mistakes) else {
            continue;
        };
        check_row(&draft, &mut mistakes);
        drafts.push(draft);
    }
    check_rows(&drafts, &mut mistakes);
    if !mistakes.is_empty() {
        mistakes.sort_by_key(|mistake| mistake.line);
        return Err(SheetError { mistakes });
    }
    let rows = drafts.iter().filter_map(DraftRow::to_row).map(Arc::new);
    Ok(PlanSheet::from_rows(rows))
}

fn single_mistake(mistake: SheetMistake) -> SheetError {
    SheetError {
        mistakes: vec![mistake],
    }
}

const fn line_mistake(line: u64, problem: SheetProblem) -> SheetMistake {
    SheetMistake {
        line,
        column: None,
        cell: String::new(),
        problem,
    }
}
