//! Silent streams: which runs are over.

use std::rc::Rc;

use googletest::prelude::*;
use ward_fleet::{EngineRuns, RunInquiry};

fn runs(running: Option<&[&str]>, waiting: Option<u64>) -> RunInquiry {
    let running = running.map(|ids| ids.iter().map(|id| (*id).to_owned()).collect());
    RunInquiry::Runs(Rc::new(EngineRuns { running, waiting }))
}

#[gtest]
fn run_end_slow_or_preempted_run_may_go_on() {
    for inquiry in [
        runs(Some(&["r2", "r1"]), Some(0)),
        // It may be among those that wait.
        runs(Some(&["r2"]), Some(1)),
        runs(Some(&[]), None),
        runs(None, Some(0)),
        RunInquiry::NoReport,
    ] {
        expect_that!(inquiry.run_end("r1", true), none(), "{inquiry:?}");
    }
}

#[gtest]
fn run_end_lost_run_and_gone_or_unreachable_engine() {
    for inquiry in [
        runs(Some(&[]), Some(0)),
        runs(Some(&["r11"]), Some(0)),
        RunInquiry::Gone,
        RunInquiry::Unreachable,
    ] {
        expect_that!(inquiry.run_end("r1", true), some(anything()), "{inquiry:?}");
    }
    for inquiry in [runs(Some(&["r2"]), Some(3)), RunInquiry::NoReport] {
        expect_that!(
            inquiry.run_end("r1", false),
            some(anything()),
            "{inquiry:?}"
        );
    }
    for inquiry in [runs(Some(&["r1"]), Some(3)), runs(None, Some(0))] {
        expect_that!(inquiry.run_end("r1", false), none(), "{inquiry:?}");
    }
}
