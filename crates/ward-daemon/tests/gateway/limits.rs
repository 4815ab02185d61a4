//! Engines that name in their answers how many requests they take from all daemons
//! together.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::StatusCode;
use tokio::task::JoinSet;
use ward_fleet::RequestRate;
use ward_protocol::TimeSpan;
use ward_stage::{CallerRequest, EngineFault, RunRecord, Stage, StageCaller, StagePlan};

use crate::support::{stage, wait_until_all_joined};

/// Time after an engine first named its limit from which the limit binds.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window that are allowed beyond one and a half times the limit.
const SLACK: f64 = 5.0;
/// Time between two requests of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(25);

/// Requests that a limited engine may get in a window.
fn allowed_in_window(rate: RequestRate) -> f64 {
    1.5 * rate.within(TimeSpan::from(WINDOW)) + SLACK
}

/// Starts of the runs at an engine later than `from`, in order.
fn run_times(stage: &Stage, engine: &str, from: Instant) -> Vec<Instant> {
    let runs = stage.ledger.runs().into_iter();
    let is_counted = |run: &RunRecord| run.engine == engine && run.begun_at >= from;
    runs.filter(is_counted).map(|run| run.begun_at).collect()
}

/// Highest number of runs in any window.
fn most_in_window(times: &[Instant]) -> usize {
    let in_window = |start: &Instant| {
        let times = times.iter();
        times
            .filter(|time| **time >= *start && **time < *start + WINDOW)
            .count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

#[allow(clippy::cast_precision_loss, reason = "counts of a test stay small")]
fn expect_limit_kept(stage: &Stage, engine: &str, rate: RequestRate, limited_at: Instant) {
    let times = run_times(stage, engine, limited_at + SETTLE_TIME);
    let most = most_in_window(&times);
    expect_that!(
        most as f64,
        le(allowed_in_window(rate)),
        "{engine} at {rate}"
    );
}

/// Sends requests to a daemon for some time, one after another; returns the statuses of the
/// answers.
async fn call_repeatedly(
    stage: &Stage,
    daemon: usize,
    path: &str,
    model: Option<&str>,
    span: Duration,
) -> Vec<StatusCode> {
    let started = Instant::now();
    let mut statuses = Vec::new();
    let mut calls = JoinSet::new();
    while started.elapsed() < span {
        let id = format!("{path}-{daemon}-{}", started.elapsed().as_micros());
        let request = CallerRequest::new(id, path, model);
        let address = stage.daemons[daemon].callers();
        calls.spawn(async move { StageCaller::connect(address).await?.send(&request).await });
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    while let Some(answer) = calls.join_next().await {
        let status = answer.unwrap().map(|answer| answer.status);
        statuses.push(status.unwrap_or(StatusCode::GATEWAY_TIMEOUT));
    }
    statuses
}

/// Sends requests to all daemons at the same time; returns the statuses of the answers.
async fn call_all_daemons(stage: &Stage, path: &str, span: Duration) -> Vec<StatusCode> {
    let calls =
        (0..stage.daemons.len()).map(|daemon| call_repeatedly(stage, daemon, path, None, span));
    futures::future::join_all(calls).await.concat()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn limit_of_an_engine_was_exceeded_by_all_daemons() {
    let rate = RequestRate(2_000);
    let stage = stage("limit-sum", &StagePlan::default()).await;
    wait_until_all_joined(&stage).await;
    let limited_at = Instant::now();
    let engine = &stage.engines[stage.engines.len() - 2];
    engine.set_fault(EngineFault::Limited(rate));
    let statuses = call_all_daemons(&stage, "/stock/a", Duration::from_secs(9)).await;
    expect_limit_kept(&stage, &engine.id(), rate, limited_at);
    // The other backend server has room for all.
    expect_that!(statuses, each(eq(&StatusCode::OK)));
}
