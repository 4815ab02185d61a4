//! Keep time of idle replicas, derived from the gaps between a model's requests.

use googletest::prelude::*;
use ward_policy::GapHistory;
use ward_protocol::{MonoTime, PolicyValues, TimeSpan};

const LOAD: TimeSpan = TimeSpan::from_secs(30);

fn values(cold_weight: f64) -> PolicyValues {
    PolicyValues {
        cold_weight,
        keep_shortest: TimeSpan::from_secs(1),
        ..PolicyValues::default()
    }
}

fn regular(gap: u64, count: u64) -> GapHistory {
    let mut history = GapHistory::default();
    for number in 0..count {
        history.observe(
            MonoTime::default() + TimeSpan::from_secs(gap * number),
            PolicyValues::default().gap_decay,
        );
    }
    history
}

#[googletest::test]
fn keep_fallback_ski_rental() {
    let keep = GapHistory::default().keep_time(&values(0.5), LOAD);
    expect_that!(keep, eq(TimeSpan::from_secs(300)));
}

#[googletest::test]
fn keep_covers_short_gaps() {
    let keep = regular(100, 50).keep_time(&values(0.5), LOAD);
    expect_that!(keep, ge(TimeSpan::from_secs(100)));
    // Beyond the observed gaps only the ski-rental rule applies, up to its break-even.
    expect_that!(keep, le(TimeSpan::from_secs(300)));
}

#[googletest::test]
fn keep_gives_up_long_gaps() {
    let keep = regular(4_000, 50).keep_time(&values(0.5), LOAD);
    expect_that!(keep, lt(TimeSpan::from_secs(100)));
}

#[googletest::test]
fn keep_weight_extremes() {
    let history = regular(500, 50);
    let idle_only = history.keep_time(&values(0.0), LOAD);
    expect_that!(idle_only, eq(TimeSpan::from_secs(1)));
    let cold_only = history.keep_time(&values(1.0), LOAD);
    expect_that!(cold_only, ge(TimeSpan::from_secs(500)));
    expect_that!(cold_only, le(values(1.0).keep_longest));
}
