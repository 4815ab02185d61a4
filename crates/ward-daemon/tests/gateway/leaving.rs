//! Engines that say in their answers that they leave, or ask for a pause.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::StatusCode;
use ward_stage::{CallerRequest, EngineFault, Stage, StagePlan};

use crate::support::{expect_left_alone, send, stage, terms, wait_for_links, wait_until};

/// Time for what one daemon knows to reach the others.
const SPREAD_TIME: Duration = Duration::from_millis(600);

/// Sends requests to one daemon until the first backend server has answered one.
async fn hear_from(stage: &Stage, daemon: usize, path: &str) {
    let engine = stage.engines[stage.engines.len() - 2].id();
    for number in 0..40 {
        let id = format!("hear{daemon}-{path}-{number}");
        let request = CallerRequest::new(&id, path, None);
        let answer = send(stage, daemon, &request).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK));
        let runs = stage.ledger.runs_of(&id);
        if runs.iter().any(|run| run.engine == engine) {
            return;
        }
    }
    panic!("the engine was never chosen");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_says_it_leaves_gets_no_request_though_its_entry_is_ready() {
    let stage = stage("leaving", &StagePlan::default()).await;
    wait_for_links(&stage).await;
    let engine = &stage.engines[stage.engines.len() - 2];
    engine.set_fault(EngineFault::Leaving);
    hear_from(&stage, 0, "/stock/a").await;
    // The daemon that heard it, at once.
    for number in 0..9 {
        let id = format!("after{number}");
        let request = CallerRequest::new(&id, "/stock/a", None);
        let answer = send(&stage, 0, &request).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK));
        expect_that!(stage.ledger.runs_of(&id)[0].engine, not(eq(&engine.id())));
    }
    // All others, soon after.
    tokio::time::sleep(SPREAD_TIME).await;
    expect_left_alone(&stage, engine).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_says_it_leaves_gets_no_request_after_a_change_of_coordinator() {
    let mut stage = stage("leaving-term", &StagePlan::default()).await;
    let former = wait_for_links(&stage).await;
    let number = stage.engines.len() - 2;
    stage.engines[number].set_fault(EngineFault::Leaving);
    hear_from(&stage, 0, "/stock/a").await;
    tokio::time::sleep(SPREAD_TIME).await;
    stage.daemons[former].kill();
    let others = |daemon: &usize| *daemon != former;
    wait_until("a successor", || {
        let mut others = (0..3).filter(others);
        others.any(|daemon| terms(&stage, daemon) > 0)
    })
    .await;
    stage.daemons[former].restart().unwrap();
    stage.wait_ready().await.unwrap();
    tokio::time::sleep(SPREAD_TIME).await;
    expect_left_alone(&stage, &stage.engines[number]).await;
}

/// Time after a refusal in which requests that were under way may still arrive, and
/// how many more the platform allows in a pause.
const UNDER_WAY: Duration = Duration::from_millis(500);
const MOST_IN_PAUSE: usize = 2;

/// Refusals of an engine between the time for requests under way and the end of the
/// pause that its first refusal began.
fn refusals_in_pause(stage: &Stage, engine: usize, pause: Duration) -> usize {
    let id = stage.engines[engine].id();
    let refusals = stage.ledger.refusals().into_iter();
    let times: Vec<_> = refusals
        .filter(|refusal| refusal.engine == id)
        .map(|refusal| refusal.refused_at)
        .collect();
    let first = *times.first().unwrap();
    let in_pause = |at: &&Instant| **at > first + UNDER_WAY && **at < first + pause;
    times.iter().filter(in_pause).count()
}

fn one_daemon() -> StagePlan {
    StagePlan {
        daemons: 1,
        ..StagePlan::default()
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_asks_for_a_pause_gets_nothing_until_its_end() {
    let pause = Duration::from_secs(5);
    let stage = stage("pause", &one_daemon()).await;
    let paused = stage.engines.len() - 2;
    stage.engines[paused].set_fault(EngineFault::RetryAfter(pause));
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < pause {
        let request = CallerRequest::new(format!("r{number}"), "/stock/a", None);
        let answer = send(&stage, 0, &request).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK));
        number += 1;
    }
    expect_that!(refusals_in_pause(&stage, paused, pause), le(MOST_IN_PAUSE));
    // It is used again soon after.
    stage.engines[paused].set_fault(EngineFault::None);
    tokio::time::sleep(SPREAD_TIME).await;
    hear_from(&stage, 0, "/stock/b").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn caller_whose_engines_all_pause_too_long_is_refused_at_once() {
    let pause = Duration::from_secs(8);
    let stage = stage("pause-all", &one_daemon()).await;
    for engine in &stage.engines {
        engine.set_fault(EngineFault::RetryAfter(pause));
    }
    let first = CallerRequest::new("first", "/stock/a", None);
    send(&stage, 0, &first).await.unwrap();
    let begun = Instant::now();
    let answer = send(&stage, 0, &CallerRequest::new("r1", "/stock/a", None)).await;
    let answer = answer.unwrap();
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(begun.elapsed(), lt(Duration::from_millis(200)));
    let after = answer.headers["retry-after"].to_str().unwrap();
    expect_that!(after.parse::<f64>().unwrap(), ge(6.0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn caller_whose_engines_pause_briefly_is_served_after_it() {
    let stage = stage("pause-brief", &one_daemon()).await;
    for engine in &stage.engines {
        engine.set_fault(EngineFault::RetryAfter(Duration::from_millis(600)));
    }
    let request = CallerRequest::new("r1", "/stock/a", None);
    let served = send(&stage, 0, &request);
    let heals = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for engine in &stage.engines {
            engine.set_fault(EngineFault::None);
        }
    };
    let (answer, ()) = tokio::join!(served, heals);
    expect_that!(answer.unwrap().status, eq(StatusCode::OK));
}
