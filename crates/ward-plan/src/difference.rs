//! Comparison of two sheets row by row.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::{ModelName, PlanRow, RowTarget, VersionTag};

use crate::column::SheetColumn;
use crate::sheet::PlanSheet;

/// A row whose target is in both sheets and whose other cells differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedRow {
    /// The row in the old sheet.
    pub from: Arc<PlanRow>,
    /// The row in the new sheet.
    pub to: Arc<PlanRow>,
    /// Columns whose cells differ.
    pub columns: Vec<SheetColumn>,
}

/// All differences between an old and a new sheet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetDifference {
    /// Rows whose targets are only in the new sheet.
    pub added: Vec<Arc<PlanRow>>,
    /// Targets that are only in the old sheet.
    pub removed: Vec<RowTarget>,
    /// Rows whose targets are in both sheets, with different cells.
    pub changed: Vec<ChangedRow>,
    /// Models whose common versions are in another order, so that an unpinned
    /// name may mean another version.
    pub reordered: Vec<ModelName>,
}

impl SheetDifference {
    /// Compares the old sheet `from` with the new sheet `to`.
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
            reordered: reordered_models(from, to),
        }
    }

    /// Whether both sheets have the same rows and the same order of versions.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.added.is_empty()
            && self.removed.is_empty()
            && self.changed.is_empty()
            && self.reordered.is_empty()
    }
}

fn reordered_models(from: &PlanSheet, to: &PlanSheet) -> Vec<ModelName> {
    let before = common_versions(from, to);
    let after = common_versions(to, from);
    before
        .into_iter()
        .filter(|(model, versions)| after.get(model) != Some(versions))
        .map(|(model, _)| model.clone())
        .collect()
}

/// The versions of each model that are also in the other sheet, in the order of `sheet`.
fn common_versions<'a>(
    sheet: &'a PlanSheet,
    other: &PlanSheet,
) -> IndexMap<&'a ModelName, Vec<&'a VersionTag>> {
    let mut models: IndexMap<&ModelName, Vec<&VersionTag>> = IndexMap::new();
    for row in sheet.rows() {
        match &row.target {
            RowTarget::Replica(key) if !key.is_adapter() && other.row(&row.target).is_some() => {
                models.entry(&key.model).or_default().push(&key.version);
            }
            RowTarget::Replica(_) | RowTarget::Service(_) => {}
        }
    }
    models
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
