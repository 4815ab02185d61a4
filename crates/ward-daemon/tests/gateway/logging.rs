//! Log lines never block requests and are enough to explain a failed one.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use ward_stage::{CallerRequest, EngineFault, StageCaller, StagePlan};

use crate::support::{send, stage, wait_until};

/// At a few hundred bytes of log lines per request, enough to fill a pipe many times.
const REQUESTS: usize = 2_000;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn logging_stalled_reader_delays_no_request() {
    let mut stage = stage("unread", &StagePlan::default()).await;
    stage.daemons[0].restart_with_unread_output().unwrap();
    stage.wait_ready().await.unwrap();
    let mut caller = StageCaller::connect(stage.daemons[0].callers())
        .await
        .unwrap();
    for number in 0..REQUESTS {
        let request = CallerRequest::new(format!("r{number}"), "/stock/a", None);
        let answer = caller.send(&request).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn logging_failed_request_is_traceable_by_its_id() {
    let stage = stage("explain", &StagePlan::default()).await;
    for engine in &stage.engines {
        engine.set_fault(EngineFault::LoseAnswers);
    }
    send(&stage, 0, &CallerRequest::new("lost-1", "/book/a", None))
        .await
        .unwrap();
    let lines = || {
        let log = stage.daemons[0].log().unwrap();
        let lines = log.lines().filter(|line| line.contains("lost-1"));
        lines.map(str::to_owned).collect::<Vec<_>>()
    };
    let is_last = |line: &String| line.contains("request: own answer");
    wait_until("the request's last line", || lines().iter().any(is_last)).await;
    let lines = lines().join("\n");
    expect_that!(lines, contains_substring("request: sent"));
    expect_that!(lines, contains_substring("send: failed"));
    expect_that!(lines, contains_substring("run: no whole answer"));
    expect_that!(lines, contains_substring("request: own answer"));
    expect_that!(lines, contains_substring("bad_engine"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn logging_caller_disconnect_is_logged() {
    let stage = stage("left", &StagePlan::default()).await;
    for engine in &stage.engines {
        engine.set_fault(EngineFault::Hang);
    }
    // The caller disconnects long before its own timeout.
    let request = CallerRequest::new("left-1", "/book/a", None);
    let disconnect_after = Duration::from_millis(300);
    let sent = tokio::time::timeout(disconnect_after, send(&stage, 0, &request)).await;
    expect_that!(sent.is_err(), eq(true));
    let logged = || {
        let log = stage.daemons[0].log().unwrap();
        let mut lines = log.lines();
        lines.any(|line| {
            line.contains("request: caller left")
                && line.contains("left-1")
                && line.contains("had not answered")
        })
    };
    wait_until("the log line of the caller's disconnect", logged).await;
}
