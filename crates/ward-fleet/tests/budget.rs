//! Retry budgets.

#![allow(clippy::cast_precision_loss)]

mod support;

use googletest::prelude::*;
use support::{at, bounds};
use ward_fleet::{DaemonCount, RetryBudget};

fn spend(budget: &mut RetryBudget, daemons: usize) -> usize {
    (0..1_000)
        .take_while(|_| budget.take_retry(at(1_000), &bounds(), daemons))
        .count()
}

#[gtest]
fn take_retry_all_daemons_together_stay_within_the_slack() {
    for daemons in [1, 9, 77, 300] {
        let spent = spend(&mut RetryBudget::default(), daemons) * daemons;
        expect_that!(spent as f64, le(bounds().retry_slack));
    }
}

#[gtest]
fn take_retry_requests_add_to_the_budget() {
    let mut budget = RetryBudget::default();
    for _ in 0..500 {
        budget.record_request(at(0), &bounds());
    }
    let spent = spend(&mut budget, 9) as f64;
    let allowed = bounds().retry_ratio * 500.0 + bounds().retry_slack / 9.0;
    expect_that!(spent, all!(ge(50.0), le(allowed)));
}

#[gtest]
fn take_retry_window_slides() {
    let mut budget = RetryBudget::default();
    let first = spend(&mut budget, 1);
    expect_that!(first, gt(0));
    expect_false!(budget.take_retry(at(2_000), &bounds(), 1));
    expect_true!(budget.take_retry(at(11_500), &bounds(), 1));
}

#[gtest]
fn sharing_partitioned_daemons_keep_their_shares() {
    // Nine daemons, partitioned into three groups of three.
    let mut spent = 0;
    for _ in 0..9 {
        let mut count = DaemonCount::default();
        count.record(9, at(0));
        count.record(3, at(500));
        spent += spend(&mut RetryBudget::default(), count.sharing());
    }
    expect_that!(spent as f64, le(bounds().retry_slack));
}

#[gtest]
fn sharing_count_falls_after_a_long_absence() {
    let mut count = DaemonCount::default();
    expect_that!(count.sharing(), gt(1), "default before any daemon is known");
    count.record(9, at(0));
    count.record(3, at(20 * 60_000));
    expect_that!(count.sharing(), eq(3));
    count.record(12, at(20 * 60_000));
    expect_that!(count.sharing(), eq(12));
}
