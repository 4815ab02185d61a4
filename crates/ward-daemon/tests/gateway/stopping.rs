//! Requests that come to a daemon while it shuts down.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use http::StatusCode;
use rustix::process::Signal;
use ward_stage::{
    CallerAnswer, CallerError, CallerRequest, EngineFault, SLOWEST_PATH, Stage, StagePlan,
};

use crate::support::{COMPLETE_STREAM, one_model_stage, send, stage, wait_until_all_joined};

/// Time after SIGTERM at which requests are still accepted, and from which the slowest
/// streams do not end before the process must.
const LATE_IN_ACCEPT_TIME: Duration = Duration::from_millis(1_600);

/// Requests that are sent during a stop, and the time between two of them; the last one
/// comes while the daemon still accepts connections.
const REQUESTS_DURING_STOP: u32 = 16;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

fn slowest_request(id: &str) -> CallerRequest {
    let path = format!("/quote/{SLOWEST_PATH}");
    CallerRequest::new(id, path, Some(&Stage::model_name(0)))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_can_end_before_the_stop_is_served() {
    let stage = one_model_stage("stopping").await;
    let before = send(&stage, 0, &slowest_request("before")).await.unwrap();
    expect_that!(before.text(), eq(COMPLETE_STREAM));
    stage.daemons[0].signal(Signal::TERM).unwrap();
    // One that can end in time is served.
    let early = send(&stage, 0, &slowest_request("early")).await;
    expect_that!(early.map(|answer| answer.text()), ok(eq(COMPLETE_STREAM)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_could_not_end_before_the_stop_was_taken() {
    let stage = one_model_stage("stopping-late").await;
    send(&stage, 0, &slowest_request("before")).await.unwrap();
    stage.daemons[0].signal(Signal::TERM).unwrap();
    tokio::time::sleep(LATE_IN_ACCEPT_TIME).await;
    let late = slowest_request("late");
    let mut short = CallerRequest::new("short", "/stock/a", None);
    short.timeout = Duration::from_secs(1);
    let (late, short) = tokio::join!(send(&stage, 0, &late), send(&stage, 0, &short));
    let late = late.map(|answer| answer.status);
    expect_that!(late, ok(eq(&StatusCode::SERVICE_UNAVAILABLE)));
    expect_that!(stage.ledger.runs_of("late").len(), eq(0));
    let short = short.map(|answer| answer.status);
    expect_that!(short, ok(eq(&StatusCode::OK)));
}

/// Sends requests while the first daemon shuts down, from the beginning of the grace
/// period on, one at an interval; returns their answers.
async fn send_during_stop(
    stage: &Stage,
    path: &str,
    model: Option<&str>,
) -> Vec<std::result::Result<CallerAnswer, CallerError>> {
    let requests: Vec<_> = (0..REQUESTS_DURING_STOP)
        .map(|number| CallerRequest {
            timeout: Duration::from_secs(10),
            ..CallerRequest::new(format!("r{number}"), path, model)
        })
        .collect();
    stage.daemons[0].signal(Signal::TERM).unwrap();
    let sends = requests
        .iter()
        .zip(0..)
        .map(|(request, number)| async move {
            tokio::time::sleep(REQUEST_INTERVAL * number).await;
            send(stage, 0, request).await
        });
    join_all(sends).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_at_a_slow_engine_was_cut_without_an_answer_at_the_exit() {
    let stage = one_model_stage("stopping-slow").await;
    for server in &stage.engines[3..] {
        server.set_fault(EngineFault::Hang);
    }
    let answers = send_during_stop(&stage, "/book/a", None).await;
    for (number, answer) in answers.into_iter().enumerate() {
        let id = format!("r{number}");
        let status = answer.map(|answer| answer.status.as_u16());
        let has_run = !stage.ledger.runs_of(&id).is_empty();
        // A request that may have run must not be told that it did not.
        let allowed = if has_run { [502, 504] } else { [503, 503] };
        expect_that!(status, ok(any![eq(&allowed[0]), eq(&allowed[1])]), "{id}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_model_was_on_its_way_is_refused_before_the_exit() {
    let plan = StagePlan {
        disk_copies: false,
        load_slowdown: 20,
        ..StagePlan::default()
    };
    let stage = stage("stopping-load", &plan).await;
    wait_until_all_joined(&stage).await;
    let model = Stage::model_name(7);
    for answer in send_during_stop(&stage, "/quick/a", Some(&model)).await {
        expect_that!(answer.map(|answer| answer.status.as_u16()), ok(eq(&503)));
    }
}
