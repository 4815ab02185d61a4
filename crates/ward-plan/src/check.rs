//! Checks that compare several cells of a row or several rows.

use indexmap::IndexMap;
use ward_protocol::{ReplicaKey, RowTarget};

use crate::column::SheetColumn;
use crate::mistake::{SheetMistake, SheetProblem};
use crate::read::DraftRow;

/// Reports cells of a row that contradict each other or do not suit the kind of target.
pub(crate) fn check_row(row: &DraftRow, mistakes: &mut Vec<SheetMistake>) {
    match &row.target {
        Some(RowTarget::Service(_)) => check_service(row, mistakes),
        Some(RowTarget::Replica(_)) => check_replica(row, mistakes),
        None => {}
    }
}

fn check_ready(row: &DraftRow, mistakes: &mut Vec<SheetMistake>) {
    let (Some(replicas), Some(ready)) = (row.replicas, row.ready) else {
        return;
    };
    if ready > replicas {
        let problem = SheetProblem::ReadyOverReplicas(replicas);
        mistakes.push(row.mistake(SheetColumn::Ready, problem));
    }
    if ready == 0 && row.ready_from.is_some() {
        mistakes.push(row.mistake(SheetColumn::ReadyFrom, SheetProblem::TimeWithoutReady));
    }
}

fn check_service(row: &DraftRow, mistakes: &mut Vec<SheetMistake>) {
    let has_roles = row.roles.as_ref().is_some_and(|roles| !roles.is_empty());
    let has_memory = row.memory.is_some_and(|memory| memory.bytes() > 0);
    let unused_cells = [
        (SheetColumn::Roles, has_roles),
        (
            SheetColumn::Replicas,
            row.replicas.is_some_and(|count| count > 0),
        ),
        (SheetColumn::Ready, row.ready.is_some_and(|count| count > 0)),
        (SheetColumn::ReadyFrom, row.ready_from.is_some()),
        (SheetColumn::Memory, has_memory),
    ];
    for (column, has_value) in unused_cells {
        if has_value {
            mistakes.push(row.mistake(column, SheetProblem::NotForService));
        }
    }
}

fn check_replica(row: &DraftRow, mistakes: &mut Vec<SheetMistake>) {
    check_ready(row, mistakes);
    if row.memory.is_some_and(|memory| memory.bytes() == 0) {
        mistakes.push(row.mistake(SheetColumn::Memory, SheetProblem::NoMemory));
    }
    if row.repeatable == Some(false) {
        mistakes.push(row.mistake(SheetColumn::Repeatable, SheetProblem::NotRepeatable));
    }
}

/// Reports duplicate targets and adapters that do not match their base model's row.
pub(crate) fn check_rows(rows: &[DraftRow], mistakes: &mut Vec<SheetMistake>) {
    let mut rows_by_target: IndexMap<&RowTarget, &DraftRow> = IndexMap::new();
    for row in rows {
        let Some(target) = &row.target else {
            continue;
        };
        if let Some(first) = rows_by_target.get(target) {
            let problem = SheetProblem::DuplicateTarget(first.line);
            mistakes.push(row.mistake(SheetColumn::Target, problem));
            continue;
        }
        rows_by_target.insert(target, row);
    }
    for (target, row) in &rows_by_target {
        match target {
            RowTarget::Replica(key) if key.is_adapter() => {
                check_adapter(key, row, &rows_by_target, mistakes);
            }
            RowTarget::Replica(_) | RowTarget::Service(_) => {}
        }
    }
}

fn check_adapter(
    key: &ReplicaKey,
    row: &DraftRow,
    rows_by_target: &IndexMap<&RowTarget, &DraftRow>,
    mistakes: &mut Vec<SheetMistake>,
) {
    let target = RowTarget::Replica(key.base());
    let Some(base) = rows_by_target.get(&target) else {
        let problem = SheetProblem::NoBase(key.base());
        mistakes.push(row.mistake(SheetColumn::Target, problem));
        return;
    };
    if let (Some(replicas), Some(limit)) = (row.replicas, base.replicas)
        && replicas > limit
    {
        let problem = SheetProblem::ReplicasOverBase(target.clone(), limit);
        mistakes.push(row.mistake(SheetColumn::Replicas, problem));
    }
    if are_disjoint(row.zones.as_ref(), base.zones.as_ref()) {
        let problem = SheetProblem::DisjointFromBase(target.clone());
        mistakes.push(row.mistake(SheetColumn::Zones, problem));
    }
    if are_disjoint(row.roles.as_ref(), base.roles.as_ref()) {
        let problem = SheetProblem::DisjointFromBase(target);
        mistakes.push(row.mistake(SheetColumn::Roles, problem));
    }
}

/// Whether two lists have no item in common; an empty list stands for all items.
fn are_disjoint<T: PartialEq>(left: Option<&Vec<T>>, right: Option<&Vec<T>>) -> bool {
    let (Some(left), Some(right)) = (left, right) else {
        return false;
    };
    !left.is_empty() && !right.is_empty() && !left.iter().any(|item| right.contains(item))
}
