//! Computes the change between two sheets that is appended to the log.

use ward_protocol::{PlanChange, PlanRow, RowTarget};

use crate::difference::SheetDifference;
use crate::sheet::PlanSheet;

impl PlanSheet {
    /// The shortest change that turns the sheet `base` into this one.
    ///
    /// A change of single rows leaves changed rows in place and appends added
    /// ones. If that would give another order of rows, or if at least as many
    /// rows are edited as this sheet has, the change contains the whole sheet.
    #[must_use]
    pub fn change_from(&self, base: &Self) -> PlanChange {
        let difference = SheetDifference::between(base, self);
        let edits = difference.added.len() + difference.changed.len() + difference.removed.len();
        if edits >= self.rows().len() || !self.keeps_order(base, &difference) {
            return PlanChange::Whole {
                rows: self.rows().map(|row| row.as_ref().clone()).collect(),
            };
        }
        let changed = difference.changed.iter().map(|change| &change.to);
        let upserts: Vec<PlanRow> = changed
            .chain(&difference.added)
            .map(|row| row.as_ref().clone())
            .collect();
        PlanChange::Rows {
            upserts,
            removals: difference.removed,
        }
    }

    /// Whether editing single rows of `base` gives the row order of this sheet.
    fn keeps_order(&self, base: &Self, difference: &SheetDifference) -> bool {
        let kept = base
            .rows()
            .map(|row| &row.target)
            .filter(|target| self.row(target).is_some());
        let added = difference.added.iter().map(|row| &row.target);
        let edited: Vec<&RowTarget> = kept.chain(added).collect();
        self.rows().map(|row| &row.target).eq(edited)
    }
}
