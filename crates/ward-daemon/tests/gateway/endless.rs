//! Engines whose bytes are no answer and have no end.
//!
//! Each test failed while answers were kept whole without a limit, and while any
//! byte counted as a sign of life of a stream.

use std::time::{Duration, Instant};

use futures::future::join_all;
use googletest::prelude::*;
use ward_protocol::MemorySize;
use ward_stage::{CallerRequest, EngineFault, Stage, StagePlan};

use crate::support::{WHOLE_STREAM, send, stage};

/// Memory of the smallest hosts.
const HOST_MEMORY: MemorySize = MemorySize::from_mib(160);
const CALLERS: usize = 30;
/// The routes' timeout, and time for the answer.
const LONGEST: Duration = Duration::from_secs(3);
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Requests on one daemon, and the most memory that it used meanwhile.
async fn memory_under(stage: &Stage, path: &str, model: Option<&str>) -> MemorySize {
    let requests: Vec<_> = (0..CALLERS)
        .map(|number| CallerRequest::new(format!("{path}{number}"), path, model))
        .collect();
    let calls = join_all(requests.iter().map(|request| send(stage, 0, request)));
    tokio::pin!(calls);
    let begun = Instant::now();
    let mut most = MemorySize::ZERO;
    loop {
        tokio::select! {
            answers = &mut calls => {
                for answer in answers.into_iter().flatten() {
                    expect_false!(answer.status.is_success(), "{path}");
                }
                expect_that!(begun.elapsed(), lt(LONGEST), "{path}");
                return most;
            }
            () = tokio::time::sleep(LOOK_PAUSE) => {
                most = most.max(stage.daemons[0].resident_memory().unwrap());
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
async fn answer_without_end_is_no_success_and_takes_little_memory() {
    let stage = endless_stage("endless-answer").await;
    for path in ["/stock/a", "/book/a"] {
        expect_that!(
            memory_under(&stage, path, None).await,
            lt(HOST_MEMORY),
            "{path}"
        );
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn event_without_end_is_broken_off_and_takes_little_memory() {
    let stage = endless_stage("endless-event").await;
    let model = Stage::model_name(1);
    let memory = memory_under(&stage, "/quote/a", Some(&model)).await;
    expect_that!(memory, lt(HOST_MEMORY));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_dribbles_goes_on_at_another_engine() {
    let stage = stage("dribble", &StagePlan::default()).await;
    let model = Stage::model_name(1);
    for engine in &stage.engines {
        engine.set_fault(EngineFault::Trickle);
    }
    let request = CallerRequest::new("r1", "/quote/a", Some(&model));
    let mend = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for engine in &stage.engines {
            engine.set_fault(EngineFault::None);
        }
    };
    let (answer, ()) = tokio::join!(send(&stage, 0, &request), mend);
    expect_that!(answer.unwrap().text(), eq(WHOLE_STREAM));
}
