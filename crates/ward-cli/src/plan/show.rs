//! Reading of sheets and printing of differences, shared by several commands.

use std::path::Path;
use std::{fs, io};

use ward_operator::SubmitAnswer;
use ward_plan::{PlanSheet, SheetColumn, SheetDifference};
use ward_protocol::{PlanRow, RowTarget};

use crate::error::CliError;
use crate::output::TableText;

/// A sheet that was read from a file.
#[derive(Debug, Clone)]
pub struct SheetFile {
    /// Content of the file, which is sent to the daemon unchanged.
    pub bytes: Vec<u8>,
    /// The parsed sheet, which has no mistakes.
    pub sheet: PlanSheet,
}

impl SheetFile {
    /// Reads and checks a sheet.
    ///
    /// # Errors
    /// Fails when the file cannot be read or the sheet has mistakes.
    pub fn read(path: &Path) -> Result<Self, CliError> {
        let fail = |cause: io::Error| CliError::File(path.to_path_buf(), cause);
        let bytes = fs::read(path).map_err(fail)?;
        let sheet = PlanSheet::read(&bytes)?;
        Ok(Self { bytes, sheet })
    }
}

/// Formats a difference as a table with one line for each row.
#[must_use]
pub fn difference_text(difference: &SheetDifference) -> String {
    if difference.is_empty() {
        return "nothing changes\n".to_owned();
    }
    let mut table = TableText::new(&["change", "target", "cells"]);
    for row in &difference.added {
        table.add(["added".to_owned(), row.target.to_string(), added_cells(row)]);
    }
    for change in &difference.changed {
        let cells: Vec<String> = change
            .columns
            .iter()
            .map(|column| changed_cell(*column, &change.from, &change.to))
            .collect();
        let target = change.to.target.to_string();
        table.add(["changed".to_owned(), target, cells.join(", ")]);
    }
    for target in &difference.removed {
        table.add(["removed".to_owned(), target.to_string()]);
    }
    for model in &difference.reordered {
        let what = "versions in another order".to_owned();
        table.add(["changed".to_owned(), model.to_string(), what]);
    }
    table.render()
}

/// Formats the changes that a sheet makes and the warnings about it.
#[must_use]
pub fn answer_text(answer: &SubmitAnswer) -> String {
    let mut text = difference_text(&answer.difference);
    for warning in &answer.warnings {
        text.push_str("warning: ");
        text.push_str(&warning.to_string());
        text.push('\n');
    }
    text
}

fn added_cells(row: &PlanRow) -> String {
    match row.target {
        RowTarget::Service(_) => String::new(),
        RowTarget::Replica(_) => format!("replicas: {}, ready: {}", row.replicas, row.ready),
    }
}

fn changed_cell(column: SheetColumn, from: &PlanRow, to: &PlanRow) -> String {
    let (from, to) = (column.render(from), column.render(to));
    format!(
        "{column}: {} -> {}",
        dash_if_empty(&from),
        dash_if_empty(&to)
    )
}

fn dash_if_empty(cell: &str) -> &str {
    if cell.is_empty() { "-" } else { cell }
}
