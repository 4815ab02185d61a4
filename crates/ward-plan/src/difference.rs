//! What changes from one sheet to another.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use ward_protocol::{PlanRow, RowTarget};

use crate::column::SheetColumn;
use crate::sheet::PlanSheet;

/// A row that both sheets have and that changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedRow {
    /// The row before.
    pub from: Arc<PlanRow>,
    /// The row after.
    pub to: Arc<PlanRow>,
    /// Columns that change.
    pub columns: Vec<SheetColumn>,
}

/// Everything that changes between two sheets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetDifference {
    /// Rows that only the new sheet has.
    pub added: Vec<Arc<PlanRow>>,
    /// Targets that only the old sheet has.
    pub removed: Vec<RowTarget>,
    /// Rows that both have, with other cells.
    pub changed: Vec<ChangedRow>,
}

impl SheetDifference {
    /// What changes from one sheet to another.
    #[must_use]
    pub fn between(from: &PlanSheet, to: &PlanSheet) -> Self {
        let added = to
            .rows()
            .filter(|row| from.row(&row.target).is_none())
            .cloned()
            .collect();
        let removed = from
            .rows()
            .filter(|row| to.row(&row.target).is_none())
            .map(|row| row.target.clone())
            .collect();
        let changed = to
            .rows()
            .filter_map(|row| changed_row(from.row(&row.target)?, row))
            .collect();
        Self {
            added,
            removed,
            changed,
        }
    }

    /// Whether nothing changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

fn changed_row(from: &Arc<PlanRow>, to: &Arc<PlanRow>) -> Option<ChangedRow> {
    let columns: Vec<SheetColumn> = SheetColumn::ALL
        .into_iter()
        .filter(|column| column.differs(from, to))
        .collect();
    if columns.is_empty() {
        return None;
    }
    Some(ChangedRow {
        from: Arc::clone(from),
        to: Arc::clone(to),
        columns,
    })
}

impl SheetColumn {
    fn differs(self, left: &PlanRow, right: &PlanRow) -> bool {
        self.render(left) != self.render(right)
    }
}
