//! Streams of engines that are silent for longer than a route's pauses.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use ward_stage::{CallerError, CallerRequest, EngineFault, Stage};

use crate::support::{COMPLETE_STREAM, one_model_stage, send, set_fault_on_all, wait_until};

/// Longer than three of a route's pauses and than the age of a report.
const SILENCE: Duration = Duration::from_millis(1_500);
/// The timeout of a route, and time to end what is left.
const MAX_TIME: Duration = Duration::from_secs(4);

fn request(id: &str) -> CallerRequest {
    CallerRequest::new(id, "/quote/a", Some(&Stage::model_name(0)))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_stream_was_moved_or_cut_while_its_run_went_on() {
    let stage = one_model_stage("silent-sound").await;
    set_fault_on_all(&stage, EngineFault::Preempt(SILENCE));
    let answer = send(&stage, 0, &request("r1")).await;
    let text = answer.map(|answer| answer.text());
    expect_that!(text, ok(eq(COMPLETE_STREAM)));
    expect_that!(stage.ledger.runs_of("r1").len(), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_with_a_late_head_was_moved_while_its_run_went_on() {
    let stage = one_model_stage("silent-head").await;
    set_fault_on_all(&stage, EngineFault::SlowHead(SILENCE));
    let answer = send(&stage, 0, &request("r1")).await;
    let text = answer.map(|answer| answer.text());
    expect_that!(text, ok(eq(COMPLETE_STREAM)));
    expect_that!(stage.ledger.runs_of("r1").len(), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_stream_goes_on_elsewhere_once_its_run_has_ended() {
    let stage = one_model_stage("silent-lost").await;
    set_fault_on_all(&stage, EngineFault::Trickle);
    let recovery = async {
        wait_until("a run", || !stage.ledger.runs_of("r1").is_empty()).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        set_fault_on_all(&stage, EngineFault::None);
    };
    let request = request("r1");
    let (answer, ()) = tokio::join!(send(&stage, 0, &request), recovery);
    let text = answer.map(|answer| answer.text());
    expect_that!(text, ok(eq(COMPLETE_STREAM)));
    expect_that!(stage.ledger.runs_of("r1").len(), eq(2));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_stays_silent_ends_with_the_timeout_of_its_route() {
    let stage = one_model_stage("silent-stalled").await;
    set_fault_on_all(&stage, EngineFault::Preempt(Duration::from_secs(60)));
    let begun = Instant::now();
    let answer = send(&stage, 0, &request("r1")).await;
    expect_that!(
        answer,
        err(matches_pattern!(CallerError::Broken(
            anything(),
            anything()
        )))
    );
    expect_that!(begun.elapsed(), lt(MAX_TIME));
    expect_that!(stage.ledger.runs_of("r1").len(), eq(1));
}
