//! Which requests a daemon still takes while it shuts down.

mod support;

use googletest::prelude::*;
use support::at;
use ward_fleet::StopPlan;
use ward_protocol::TimeSpan;

const SHORT: TimeSpan = TimeSpan::from_millis(100);
const ROUTE_TIMEOUT: TimeSpan = TimeSpan::from_secs(6);

fn plan() -> StopPlan {
    StopPlan {
        begun: at(10_000),
        grace: TimeSpan::from_secs(8),
    }
}

#[gtest]
fn may_take_only_what_is_likely_to_end_in_time() {
    let bound = TimeSpan::from_millis(5_500);
    expect_true!(plan().may_take(bound, ROUTE_TIMEOUT, at(12_000)));
    expect_false!(plan().may_take(bound, ROUTE_TIMEOUT, at(12_300)));
    expect_true!(plan().may_take(SHORT, ROUTE_TIMEOUT, at(12_300)));
}

#[gtest]
fn may_take_late_only_what_is_sure_to_end_in_time() {
    // A stream whose kind is short was taken 3.3 s after SIGTERM, and lasted 4.5 s.
    expect_false!(plan().may_take(SHORT, ROUTE_TIMEOUT, at(13_300)));
    expect_true!(plan().may_take(SHORT, TimeSpan::from_secs(4), at(13_300)));
}

#[gtest]
fn exit_time_leaves_a_margin() {
    expect_that!(plan().exit_time(), eq(at(17_700)));
    expect_that!(plan().accept_end(), eq(at(13_600)));
    expect_that!(plan().final_answer_time(), eq(at(17_500)));
    let short = StopPlan {
        grace: TimeSpan::from_millis(200),
        ..plan()
    };
    expect_that!(short.exit_time(), eq(at(10_000)));
}
