//! Parsers of the cells of each column.

use std::str::FromStr;

use ward_protocol::{
    DayTime, EngineRole, MemorySize, PriorityLevel, RowTarget, UnitError, ZoneName,
};

use crate::mistake::SheetProblem;

/// Parses a cell of the column `target`.
///
/// # Errors
/// When the cell is empty or names no model version, adapter or service.
pub(crate) fn read_target(cell: &str) -> Result<RowTarget, SheetProblem> {
    require_filled(cell)?.parse().map_err(SheetProblem::Target)
}

/// Parses a cell of the column `zones`, a list separated by spaces.
///
/// # Errors
/// When a name is invalid or occurs twice.
pub(crate) fn read_zones(cell: &str) -> Result<Vec<ZoneName>, SheetProblem> {
    read_list(cell, |item| {
        item.parse()
            .map_err(|_| SheetProblem::Zone(item.to_owned()))
    })
}

/// Parses a cell of the column `roles`, a list separated by spaces.
///
/// # Errors
/// When a role is unknown, cannot hold replicas, or occurs twice.
pub(crate) fn read_roles(cell: &str) -> Result<Vec<EngineRole>, SheetProblem> {
    read_list(cell, |item| match item {
        "serving" => Ok(EngineRole::Serving),
        "prefill" => Ok(EngineRole::Prefill),
        "decode" => Ok(EngineRole::Decode),
        _ => Err(SheetProblem::Role(item.to_owned())),
    })
}

fn read_list<T: PartialEq>(
    cell: &str,
    read: impl Fn(&str) -> Result<T, SheetProblem>,
) -> Result<Vec<T>, SheetProblem> {
    let mut items = Vec::new();
    for word in cell.split_whitespace() {
        let item = read(word)?;
        if items.contains(&item) {
            return Err(SheetProblem::DuplicateItem(word.to_owned()));
        }
        items.push(item);
    }
    Ok(items)
}

/// Parses a cell of the columns `replicas` and `ready`.
///
/// # Errors
/// When the cell is not a whole number from 0 to 65535.
pub(crate) fn read_count(cell: &str) -> Result<u16, SheetProblem> {
    let cell = require_filled(cell)?;
    if !cell.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(SheetProblem::Count);
    }
    cell.parse().map_err(|_| SheetProblem::Count)
}

/// Parses a cell of the column `ready_from`; `None` when it is empty.
///
/// # Errors
/// When the cell is neither empty nor a time of day.
pub(crate) fn read_ready_from(cell: &str) -> Result<Option<DayTime>, SheetProblem> {
    if cell.is_empty() {
        return Ok(None);
    }
    read_unit(cell).map(Some)
}

/// Parses a cell of the column `priority`.
///
/// # Errors
/// When the cell is not a priority level.
pub(crate) fn read_priority(cell: &str) -> Result<PriorityLevel, SheetProblem> {
    read_unit(cell)
}

/// Parses a cell of the column `memory`.
///
/// # Errors
/// When the cell is not a memory size with its unit.
pub(crate) fn read_memory(cell: &str) -> Result<MemorySize, SheetProblem> {
    read_unit(cell)
}

fn read_unit<T: FromStr<Err = UnitError>>(cell: &str) -> Result<T, SheetProblem> {
    Ok(require_filled(cell)?.parse()?)
}

/// Parses a cell of the column `repeatable`.
///
/// # Errors
/// When the cell is neither `yes` nor `no`.
pub(crate) fn read_repeatable(cell: &str) -> Result<bool, SheetProblem> {
    match require_filled(cell)? {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(SheetProblem::YesNo),
    }
}

fn require_filled(cell: &str) -> Result<&str, SheetProblem> {
    if cell.is_empty() {
        return Err(SheetProblem::EmptyCell);
    }
    Ok(cell)
}
