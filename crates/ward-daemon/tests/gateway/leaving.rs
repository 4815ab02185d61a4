//! Engines that say in their answers that they leave, or ask for a pause.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use ward_stage::{CallerRequest, EngineFault, Stage, StagePlan};

use crate::support::{expect_left_alone, send, stage, wait_for_links, wait_until};

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
    let coordinates = |stage: &Stage, daemon: usize| {
        let log = stage.daemons[daemon].log().unwrap();
        log.contains("coordinator: term begins")
    };
    stage.daemons[former].kill();
    let others = |daemon: &usize| *daemon != former;
    wait_until("a successor", || {
        let mut others = (0..3).filter(others);
        others.any(|daemon| coordinates(&stage, daemon))
    })
    .await;
    stage.daemons[former].restart().unwrap();
    stage.wait_ready().await.unwrap();
    tokio::time::sleep(SPREAD_TIME).await;
    expect_left_alone(&stage, &stage.engines[number]).await;
}
