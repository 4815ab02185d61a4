//! Engines that send bytes without end and never a valid answer.
//!
//! Guards against three failures: answers were buffered without a size limit; any byte
//! counted as progress of a stream, so that a stalled stream never timed out; and one
//! connection whose bytes never ran out kept a daemon from all other work.

use std::time::{Duration, Instant};

use futures::future::join_all;
use googletest::prelude::*;
use ward_protocol::MemorySize;
use ward_stage::{CallerRequest, EngineFault, LinkFault, Stage, StagePlan};

use crate::support::{COMPLETE_STREAM, send, stage};

/// Memory of the smallest host that daemons run on.
const HOST_MEMORY: MemorySize = MemorySize::from_mib(160);
const CALLERS: usize = 30;
/// Timeout of the routes plus time to send the answer.
const MAX_DURATION: Duration = Duration::from_secs(3);
/// Time in which a request that one server refuses is served by another.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Time in which a request to a sound engine is served: the target of the routes.
const SOUND_TIME: Duration = Duration::from_millis(500);
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

/// Sends requests to each daemon in turn, to engines that are sound, until `end`; expects
/// each to be served in time.
async fn expect_served_meanwhile(stage: &Stage, path: &str, end: Instant) {
    let mut number = 0;
    while Instant::now() < end {
        let daemon = number % stage.daemons.len();
        let request = CallerRequest::new(format!("{path}{number}"), path, None);
        let begun = Instant::now();
        let answer = send(stage, daemon, &request).await.unwrap();
        expect_that!(answer.status.as_u16(), eq(200), "{number}");
        expect_that!(begun.elapsed(), lt(SOUND_TIME), "{number}");
        number += 1;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn endless_interim_heads_held_up_all_callers_of_the_daemon() {
    let stage = stage("endless-heads", &StagePlan::default()).await;
    for link in &stage.engine_links[..3] {
        link.set_fault(LinkFault::EndlessHeads);
    }
    let model = Stage::model_name(1);
    let faulty: Vec<_> = (0..stage.daemons.len() * 4)
        .map(|number| CallerRequest::new(format!("f{number}"), "/quick/a", Some(&model)))
        .collect();
    let calls = faulty.iter().enumerate().map(|(number, request)| {
        let daemon = number % stage.daemons.len();
        send(&stage, daemon, request)
    });
    let end = Instant::now() + Duration::from_secs(3);
    let (answers, ()) = tokio::join!(
        join_all(calls),
        expect_served_meanwhile(&stage, "/stock/a", end)
    );
    for answer in answers {
        expect_that!(answer.unwrap().status.as_u16(), eq(502));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn endless_interim_heads_after_a_safe_request_go_to_another_engine() {
    let stage = stage("endless-heads-safe", &StagePlan::default()).await;
    stage.engine_links[3].set_fault(LinkFault::EndlessHeads);
    for number in 0..6 {
        let begun = Instant::now();
        let request = CallerRequest::new(format!("r{number}"), "/stock/a", None);
        let answer = send(&stage, 0, &request).await.unwrap();
        expect_that!(answer.status.as_u16(), eq(200));
        expect_that!(begun.elapsed(), lt(SOUND_TIME));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn endless_interim_heads_to_orders_held_up_the_coordinator() {
    let stage = stage("endless-heads-orders", &StagePlan::default()).await;
    for link in &stage.engine_links[..3] {
        link.set_fault(LinkFault::EndlessHeads);
    }
    // Nobody holds the last models, so these are ordered.
    let models: Vec<_> = (4..8).map(Stage::model_name).collect();
    let wanted: Vec<_> = models
        .iter()
        .map(|model| CallerRequest::new(model, "/quote/a", Some(model)))
        .collect();
    let calls = wanted.iter().map(|request| send(&stage, 0, request));
    let end = Instant::now() + Duration::from_secs(3);
    tokio::join!(
        join_all(calls),
        expect_served_meanwhile(&stage, "/stock/a", end)
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn endless_interim_heads_of_the_store_held_up_all_callers() {
    let stage = stage("endless-heads-store", &StagePlan::default()).await;
    stage.store_link.set_fault(LinkFault::EndlessHeads);
    let end = Instant::now() + Duration::from_secs(3);
    expect_served_meanwhile(&stage, "/stock/a", end).await;
}
