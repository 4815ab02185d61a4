//! Engines whose answers announce that they are leaving, carry `Retry-After`, or refuse a
//! request again and again.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::StatusCode;
use ward_stage::{CallerRequest, EngineFault, Stage, StagePlan};

use crate::support::{
    expect_engine_unused, send, set_fault_on_all, stage, terms, wait_until, wait_until_all_joined,
};

/// Time in which state known to one daemon reaches all others.
const PROPAGATION_TIME: Duration = Duration::from_millis(600);

/// Sends requests to one daemon until the first of the two backend servers has run one.
async fn send_until_first_backend_answers(stage: &Stage, daemon: usize, path: &str) {
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
    panic!("no request was sent to the first backend server");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_no_request_though_its_entry_is_ready() {
    let stage = stage("leaving", &StagePlan::default()).await;
    wait_until_all_joined(&stage).await;
    let engine = &stage.engines[stage.engines.len() - 2];
    engine.set_fault(EngineFault::Leaving);
    send_until_first_backend_answers(&stage, 0, "/stock/a").await;
    // The daemon that received the announcement sends nothing more to the engine at once.
    for number in 0..9 {
        let id = format!("after{number}");
        let request = CallerRequest::new(&id, "/stock/a", None);
        let answer = send(&stage, 0, &request).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK));
        expect_that!(stage.ledger.runs_of(&id)[0].engine, not(eq(&engine.id())));
    }
    // The other daemons soon stop sending to it, too.
    tokio::time::sleep(PROPAGATION_TIME).await;
    expect_engine_unused(&stage, engine).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_no_request_after_a_change_of_coordinator() {
    let mut stage = stage("leaving-term", &StagePlan::default()).await;
    let former = wait_until_all_joined(&stage).await;
    let number = stage.engines.len() - 2;
    stage.engines[number].set_fault(EngineFault::Leaving);
    send_until_first_backend_answers(&stage, 0, "/stock/a").await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    stage.daemons[former].kill();
    let others = |daemon: &usize| *daemon != former;
    wait_until("a successor", || {
        let mut others = (0..3).filter(others);
        others.any(|daemon| terms(&stage, daemon) > 0)
    })
    .await;
    stage.daemons[former].restart().unwrap();
    stage.wait_ready().await.unwrap();
    tokio::time::sleep(PROPAGATION_TIME).await;
    expect_engine_unused(&stage, &stage.engines[number]).await;
}

/// Time after a refusal in which requests already in flight may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Number of further requests that the platform allows before `Retry-After` ends.
const MAX_REFUSALS_IN_SPAN: usize = 2;

/// Refusals by an engine after `IN_FLIGHT_TIME` and before the `Retry-After` of its first
/// refusal ends.
fn refusals_in_span(stage: &Stage, engine: usize, retry_after: Duration) -> usize {
    let id = stage.engines[engine].id();
    let refusals = stage.ledger.refusals().into_iter();
    let times: Vec<_> = refusals
        .filter(|refusal| refusal.engine == id)
        .map(|refusal| refusal.refused_at)
        .collect();
    let first = *times.first().unwrap();
    let in_span = |at: &&Instant| **at > first + IN_FLIGHT_TIME && **at < first + retry_after;
    times.iter().filter(in_span).count()
}

fn one_daemon() -> StagePlan {
    StagePlan {
        daemons: 1,
        ..StagePlan::default()
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn engine_with_retry_after_gets_no_request_until_it_ends() {
    let retry_after = Duration::from_secs(5);
    let stage = stage("pause", &one_daemon()).await;
    let refusing = stage.engines.len() - 2;
    stage.engines[refusing].set_fault(EngineFault::RetryAfter(retry_after));
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < retry_after {
        let request = CallerRequest::new(format!("r{number}"), "/stock/a", None);
        let answer = send(&stage, 0, &request).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK));
        number += 1;
    }
    expect_that!(
        refusals_in_span(&stage, refusing, retry_after),
        le(MAX_REFUSALS_IN_SPAN)
    );
    // The engine is used again soon after `Retry-After` has ended.
    stage.engines[refusing].set_fault(EngineFault::None);
    tokio::time::sleep(PROPAGATION_TIME).await;
    send_until_first_backend_answers(&stage, 0, "/stock/b").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn caller_is_refused_at_once_when_every_retry_after_is_too_long() {
    let retry_after = Duration::from_secs(8);
    let stage = stage("pause-all", &one_daemon()).await;
    for engine in &stage.engines {
        engine.set_fault(EngineFault::RetryAfter(retry_after));
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
async fn caller_is_served_after_a_short_retry_after() {
    let stage = stage("pause-brief", &one_daemon()).await;
    for engine in &stage.engines {
        engine.set_fault(EngineFault::RetryAfter(Duration::from_millis(600)));
    }
    let request = CallerRequest::new("r1", "/stock/a", None);
    let served = send(&stage, 0, &request);
    let recovery = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for engine in &stage.engines {
            engine.set_fault(EngineFault::None);
        }
    };
    let (answer, ()) = tokio::join!(served, recovery);
    expect_that!(answer.unwrap().status, eq(StatusCode::OK));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn delay_after_a_refusal_outlasted_the_caller() {
    let plan = StagePlan {
        models: 1,
        engines: 8,
        ..StagePlan::default()
    };
    let stage = stage("outlasted", &plan).await;
    set_fault_on_all(&stage, EngineFault::Full);
    for (daemon, millis) in [640, 480, 350].into_iter().enumerate() {
        let mut request = CallerRequest::new(format!("r{millis}"), "/quick/a", Some("model0"));
        request.timeout = Duration::from_millis(millis);
        let answer = send(&stage, daemon, &request).await;
        let status = answer.map(|answer| answer.status);
        expect_that!(status, ok(eq(&StatusCode::SERVICE_UNAVAILABLE)), "{millis}");
    }
}
