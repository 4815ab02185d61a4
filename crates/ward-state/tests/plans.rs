//! Plan submissions, retreats, uploads in parts, and snapshots of the plan history.

#![allow(clippy::unwrap_used)]

mod common;

use common::{TestLog, reserve, row};
use googletest::prelude::*;
use ward_protocol::{LogOffset, PlanChange, PlanRevision};
use ward_state::{ClusterState, PlanOutcome, PlanReject};

#[googletest::test]
fn plan_race_first_wins() {
    let mut log = TestLog::start(&[]);
    let rows = vec![row("a@1", 1, 10)];
    let change = PlanChange::Whole { rows };
    expect_that!(
        log.submit(0, change.clone()),
        matches_pattern!(PlanOutcome::Accepted(_))
    );
    let outcome = log.submit(0, change);
    expect_that!(
        outcome,
        matches_pattern!(PlanOutcome::Rejected(pat!(PlanReject::StaleBase(_))))
    );
}

#[googletest::test]
fn retreat_restores_rows_and_order() {
    let mut log = TestLog::start(&[]);
    let first = vec![row("a@1", 1, 10), row("b@1", 1, 10), row("c@1", 2, 5)];
    let one = log.adopt(first);
    let before = log.state.content().clone();
    let upserts = vec![row("d@1", 1, 1), row("b@1", 3, 10)];
    let removals = vec!["a@1".parse().unwrap()];
    log.submit(one, PlanChange::Rows { upserts, removals });
    let two = log.state.plans().head();
    // A complete plan with the rows in another order.
    let rows = vec![row("c@1", 2, 5), row("d@1", 1, 1), row("b@1", 3, 10)];
    log.submit(two.0, PlanChange::Whole { rows });
    let base = log.state.plans().head().0;
    let outcome = log.submit(
        base,
        PlanChange::Retreat {
            to: PlanRevision(one),
        },
    );
    expect_that!(outcome, matches_pattern!(PlanOutcome::Accepted(_)));
    let rows = |content: &ward_state::PlanContent| content.values().cloned().collect::<Vec<_>>();
    expect_that!(rows(log.state.plans().head_content()), eq(&rows(&before)));
    let second = log.state.plans().content_at(two).unwrap();
    let order: Vec<_> = second.keys().map(ToString::to_string).collect();
    expect_that!(
        order,
        eq(&vec!["b@1".to_owned(), "c@1".to_owned(), "d@1".to_owned()])
    );
}

#[googletest::test]
fn snapshot_with_plan_ahead_of_adoption() {
    let mut log = TestLog::start(&["e1"]);
    log.adopt(vec![row("a@1", 1, 10)]);
    log.control("d1", reserve("a@1", "e1", 10));
    let base = log.state.plans().head().0;
    log.submit(
        base,
        PlanChange::Whole {
            rows: vec![row("b@1", 1, 10)],
        },
    );
    let copy = ClusterState::decode(&log.state.encode().unwrap()).unwrap();
    expect_that!(copy.digest().unwrap(), eq(log.state.digest().unwrap()));
    expect_that!(
        copy.content()
            .keys()
            .map(ToString::to_string)
            .collect::<Vec<_>>(),
        elements_are![eq("a@1")]
    );
    expect_that!(copy.encode().unwrap(), eq(&log.state.encode().unwrap()));
}

#[googletest::test]
fn upload_in_parts() {
    let mut log = TestLog::start(&[]);
    let upload = ward_protocol::RecordId(5);
    for index in [1_u16, 0, 1] {
        let rows = vec![row(&format!("m{index}@1"), 1, 1)];
        let body = ward_protocol::PlanRecord::Part {
            upload,
            index,
            rows,
        };
        log.offset += 1;
        let envelope = common::plan(u128::from(log.offset), body);
        log.state.apply_plan(LogOffset(log.offset), envelope);
    }
    let short = log
        .clone()
        .submit(0, PlanChange::Parts { upload, count: 3 });
    expect_that!(short, eq(&PlanOutcome::Rejected(PlanReject::MissingParts)));
    let whole = log.submit(0, PlanChange::Parts { upload, count: 2 });
    expect_that!(whole, matches_pattern!(PlanOutcome::Accepted(_)));
    expect_that!(log.state.plans().head_content().len(), eq(2));
}
