//! Applying a change to its base sheet reproduces the new sheet, its row order included.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use indexmap::IndexMap;
use proptest::prelude::*;
use ward_plan::{PlanSheet, SheetDifference};
use ward_protocol::{PlanChange, PlanRow, RowTarget};

const HEADER: &str = "target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable";

/// A sheet of versions of one model, given as (version, replicas).
fn sheet(rows: &[(u8, u16)]) -> PlanSheet {
    let lines = rows
        .iter()
        .map(|(version, replicas)| format!("m@{version};;;{replicas};0;;3;1GiB;yes"));
    let text: Vec<String> = std::iter::once(HEADER.to_owned()).chain(lines).collect();
    PlanSheet::read(text.join("\n").as_bytes()).unwrap()
}

/// The rows after a change, applied as the state machine does it.
fn apply(base: &PlanSheet, change: PlanChange) -> Vec<PlanRow> {
    let mut rows: IndexMap<RowTarget, PlanRow> = base
        .rows()
        .map(|row| (row.target.clone(), row.as_ref().clone()))
        .collect();
    match change {
        PlanChange::Whole { rows } => return rows,
        PlanChange::Rows { upserts, removals } => {
            for target in removals {
                rows.shift_remove(&target).unwrap();
            }
            for row in upserts {
                rows.insert(row.target.clone(), row);
            }
        }
        PlanChange::Parts { .. } | PlanChange::Retreat { .. } => unreachable!(),
    }
    rows.into_values().collect()
}

#[googletest::test]
fn change_from_few_rows() {
    let base = sheet(&[(1, 1), (2, 1), (3, 1), (4, 1)]);
    let change = sheet(&[(1, 1), (3, 2), (4, 1), (5, 1)]).change_from(&base);
    expect_that!(
        change,
        matches_pattern!(PlanChange::Rows {
            upserts: len(eq(2)),
            removals: len(eq(1)),
        })
    );
}

#[googletest::test]
fn change_from_other_order() {
    let base = sheet(&[(1, 1), (2, 1), (3, 1)]);
    let swapped = sheet(&[(2, 1), (1, 1), (3, 1)]);
    expect_that!(
        swapped.change_from(&base),
        matches_pattern!(PlanChange::Whole { rows: len(eq(3)) })
    );
    let difference = SheetDifference::between(&base, &swapped);
    expect_that!(difference.reordered, len(eq(1)));
    expect_that!(difference.is_empty(), eq(false));
}

proptest! {
    #[test]
    fn change_from_round_trip(
        base in prop::collection::hash_map(0..12_u8, 0..3_u16, 0..10),
        next in prop::collection::hash_map(0..12_u8, 0..3_u16, 0..10),
    ) {
        let base = sheet(&base.into_iter().collect::<Vec<_>>());
        let next = sheet(&next.into_iter().collect::<Vec<_>>());
        let rows: Vec<PlanRow> = next.rows().map(|row| row.as_ref().clone()).collect();
        prop_assert_eq!(apply(&base, next.change_from(&base)), rows);
    }
}
