//! Engines that send bytes without end and never a valid answer.
//!
//! Guards against two failures: answers were buffered without a size limit, and any
//! byte counted as progress of a stream, so that a stalled stream never timed out.

use std::time::{Duration, Instant};

use futures::future::join_all;
use googletest::prelude::*;
use ward_protocol::MemorySize;
use ward_stage::{CallerRequest, EngineFault, Stage, StagePlan};

use crate::support::{COMPLETE_STREAM, send, stage};

/// Memory of the smallest host that daemons run on.
const HOST_MEMORY: MemorySize = MemorySize::from_mib(160);
const CALLERS: usize = 30;
/// Timeout of the routes plus time to send the answer.
const MAX_DURATION: Duration = Duration::from_secs(3);
/// Time in which a request that one server refuses is served by another.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Sends concurrent requests to one daemon, expects them to fail in time, and returns
/// the peak of its resident memory meanwhile.
async fn peak_memory(stage: &Stage, path: &str, model: Option<&str>) -> MemorySize {
    let requests: Vec<_> = (0..CALLERS)
        .map(|number| CallerRequest::new(format!("{path}{number}"), path, model))
        .collect();
    let calls = join_all(requests.iter().map(|request| send(stage, 0, request)));
    tokio::pin!(calls);
    let begun = Instant::now();
    let mut peak = MemorySize::ZERO;
    loop {
        tokio::select! {
            answers = &mut calls => {
                for answer in answers.into_iter().flatten() {
                    expect_false!(answer.status.is_success(), "{path}");
                }
                expect_that!(begun.elapsed(), lt(MAX_DURATION), "{path}");
                return peak;
            }
            () = tokio::time::sleep(SAMPLE_INTERVAL) => {
                peak = peak.max(stage.daemons[0].resident_memory().unwrap());
            }
        }
    }
}

async fn endless_stage(test: &str) -> Stage {
    let stage = stage(test, &StagePlan::default()).await;
    for engine in &stage.engines {
        engine.set_fault(EngineFault::Endless);
    }
    stage
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn endless_answer_fails_within_bounded_memory() {
    let stage = endless_stage("endless-answer").await;
    for path in ["/stock/a", "/book/a"] {
        expect_that!(
            peak_memory(&stage, path, None).await,
            lt(HOST_MEMORY),
            "{path}"
        );
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn endless_event_fails_within_bounded_memory() {
    let stage = endless_stage("endless-event").await;
    let model = Stage::model_name(1);
    let memory = peak_memory(&stage, "/quote/a", Some(&model)).await;
    expect_that!(memory, lt(HOST_MEMORY));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn trickling_stream_continues_at_another_engine() {
    let stage = stage("dribble", &StagePlan::default()).await;
    let model = Stage::model_name(1);
    for engine in &stage.engines {
        engine.set_fault(EngineFault::Trickle);
    }
    let request = CallerRequest::new("r1", "/quote/a", Some(&model));
    let recovery = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for engine in &stage.engines {
            engine.set_fault(EngineFault::None);
        }
    };
    let (answer, ()) = tokio::join!(send(&stage, 0, &request), recovery);
    expect_that!(answer.unwrap().text(), eq(COMPLETE_STREAM));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn endless_refusal_held_up_the_next_attempt() {
    let stage = stage("endless-refusal", &StagePlan::default()).await;
    let plain_servers = &stage.engines[3..];
    plain_servers[0].set_fault(EngineFault::EndlessRefusal);
    for number in 0..6 {
        let begun = Instant::now();
        let request = CallerRequest::new(format!("r{number}"), "/stock/a", None);
        let answer = send(&stage, 0, &request).await.unwrap();
        expect_that!(answer.status.as_u16(), eq(200));
        expect_that!(begun.elapsed(), lt(REFUSAL_TIME));
    }
    for server in plain_servers {
        server.set_fault(EngineFault::EndlessRefusal);
    }
    let memory = peak_memory(&stage, "/stock/b", None).await;
    expect_that!(memory, lt(HOST_MEMORY));
}
