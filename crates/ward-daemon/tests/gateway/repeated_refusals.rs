//! Engines that write an answer once more on a kept connection, where the answer to the
//! next request is expected.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use ward_stage::{
    CallerAnswer, CallerError, CallerRequest, EngineFault, LinkFault, Stage, StagePlan,
};

use crate::support::{COMPLETE_STREAM, send, set_fault_on_all, stage, wait_until_all_joined};

/// Time for which an idle connection to an engine must be kept before it is used again.
const REUSE_TIME: Duration = Duration::from_millis(60);
/// Time in which an engine runs the requests that have reached it.
const RUN_TIME: Duration = Duration::from_millis(500);

/// Time for which a caller waits for a request that engines refuse.
const REFUSED_TIMEOUT: Duration = Duration::from_millis(600);

/// A stage whose engines hold the same model and repeat their refusals.
async fn repeating_stage(test: &str, engines: usize) -> Stage {
    let plan = StagePlan {
        models: 1,
        engines,
        ..StagePlan::default()
    };
    let stage = stage(test, &plan).await;
    wait_until_all_joined(&stage).await;
    for link in &stage.engine_links {
        link.set_fault(LinkFault::RepeatRefusals);
    }
    stage
}

fn stream_request(id: &str, path: &str) -> CallerRequest {
    CallerRequest::new(id, path, Some(&Stage::model_name(0)))
}

/// A request that engines refuse until its caller gives up.
fn refused_request(id: &str, path: &str) -> CallerRequest {
    let mut request = stream_request(id, path);
    request.timeout = REFUSED_TIMEOUT;
    request
}

type CallerResult = std::result::Result<CallerAnswer, CallerError>;

/// Expects that a request that must run once did so at most, and not at all if its caller
/// was told so.
fn expect_run_at_most_once(stage: &Stage, id: &str, result: &CallerResult) {
    let runs = stage.ledger.runs_of(id).len();
    expect_that!(runs, le(1), "{id} ran {runs} times");
    let Ok(answer) = result else {
        return;
    };
    match answer.status {
        StatusCode::OK => expect_that!(answer.text(), eq(COMPLETE_STREAM), "{id}"),
        StatusCode::SERVICE_UNAVAILABLE => {
            expect_that!(runs, eq(0), "{id} was refused, and ran");
        }
        status => expect_that!(status, eq(StatusCode::BAD_GATEWAY), "{id}"),
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_refusal_was_taken_for_the_answer_to_the_next_request() {
    let stage = repeating_stage("repeated", 3).await;
    let mut results = Vec::new();
    for round in 0..6 {
        // Some requests are refused; their connections are kept.
        set_fault_on_all(&stage, EngineFault::Full);
        for daemon in 0..3 {
            let id = format!("refused{round}-{daemon}");
            let result = send(&stage, daemon, &refused_request(&id, "/quick/a")).await;
            results.push((id, result));
        }
        set_fault_on_all(&stage, EngineFault::None);
        tokio::time::sleep(RUN_TIME).await;
        for number in 0..6 {
            let id = format!("next{round}-{number}");
            let result = send(&stage, number % 3, &stream_request(&id, "/quick/a")).await;
            results.push((id, result));
        }
    }
    tokio::time::sleep(RUN_TIME).await;
    for (id, result) in &results {
        expect_run_at_most_once(&stage, id, result);
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_refusal_of_the_same_request_was_taken_for_its_next_answer() {
    let stage = repeating_stage("repeated-same", 1).await;
    let mut results = Vec::new();
    for number in 0..12 {
        set_fault_on_all(&stage, EngineFault::FullOnce);
        let id = format!("r{number}");
        let result = send(&stage, number % 3, &stream_request(&id, "/quick/a")).await;
        results.push((id, result));
        tokio::time::sleep(REUSE_TIME).await;
    }
    tokio::time::sleep(RUN_TIME).await;
    for (id, result) in &results {
        expect_run_at_most_once(&stage, id, result);
    }
    let served = results.iter().filter(|(_, result)| {
        let answer = result.as_ref().ok();
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    });
    expect_that!(served.count(), ge(6));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_refusal_met_a_caller_that_sends_its_request_again() {
    let stage = repeating_stage("repeated-caller", 1).await;
    for number in 0..6 {
        let id = format!("r{number}");
        set_fault_on_all(&stage, EngineFault::Full);
        let refused = send(&stage, 0, &refused_request(&id, "/quick/a")).await;
        expect_that!(
            refused.unwrap().status,
            eq(StatusCode::SERVICE_UNAVAILABLE),
            "{id}"
        );
        set_fault_on_all(&stage, EngineFault::None);
        tokio::time::sleep(RUN_TIME).await;
        let result = send(&stage, 0, &stream_request(&id, "/quick/a")).await;
        tokio::time::sleep(REUSE_TIME).await;
        expect_run_at_most_once(&stage, &id, &result);
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_refusal_made_an_idempotent_request_fail() {
    let stage = repeating_stage("repeated-safe", 3).await;
    for round in 0..6 {
        set_fault_on_all(&stage, EngineFault::Full);
        for daemon in 0..3 {
            let id = format!("refused{round}-{daemon}");
            drop(send(&stage, daemon, &refused_request(&id, "/quote/a")).await);
        }
        set_fault_on_all(&stage, EngineFault::None);
        tokio::time::sleep(RUN_TIME).await;
        for daemon in 0..3 {
            let id = format!("next{round}-{daemon}");
            let answer = send(&stage, daemon, &stream_request(&id, "/quote/a")).await;
            expect_that!(answer.unwrap().text(), eq(COMPLETE_STREAM), "{id}");
        }
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_refusal_paused_its_engine_again() {
    let stage = repeating_stage("repeated-pause", 1).await;
    let pause = Duration::from_secs(1);
    set_fault_on_all(&stage, EngineFault::RetryAfter(pause));
    let mut request = stream_request("refused", "/quote/a");
    request.timeout = pause / 2;
    drop(send(&stage, 0, &request).await);
    set_fault_on_all(&stage, EngineFault::None);
    let pauses = || {
        let log = stage.daemons[0].log().unwrap();
        log.matches("engines: asks for a pause").count()
    };
    // A pause is extended at random.
    tokio::time::sleep(pause + RUN_TIME).await;
    for number in 0..4 {
        let id = format!("next{number}");
        drop(send(&stage, 0, &stream_request(&id, "/quote/a")).await);
    }
    // The log is written in the background.
    tokio::time::sleep(RUN_TIME).await;
    expect_that!(stage.ledger.refusals().len(), eq(1));
    expect_that!(pauses(), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_another_request_was_taken_for_not_run() {
    let stage = stage("crossed", &StagePlan::default()).await;
    set_fault_on_all(&stage, EngineFault::CrossedRefusal);
    for (number, path) in ["/book/a", "/stock/a", "/quick/a"].into_iter().enumerate() {
        let id = format!("r{number}");
        let model = (path == "/quick/a").then_some("model0");
        let answer = send(&stage, 0, &CallerRequest::new(&id, path, model)).await;
        expect_that!(
            answer.unwrap().status,
            eq(StatusCode::BAD_GATEWAY),
            "{path}"
        );
        let max_runs = if path == "/stock/a" { 2 } else { 1 };
        expect_that!(stage.ledger.runs_of(&id).len(), le(max_runs), "{path}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_answers_failed_one_request_after_the_other() {
    let stage = stage("repeated-answers", &StagePlan::default()).await;
    wait_until_all_joined(&stage).await;
    for link in &stage.engine_links {
        link.set_fault(LinkFault::RepeatAnswers);
    }
    let mut failed = 0;
    for number in 0..40 {
        let id = format!("r{number}");
        let answer = send(&stage, 0, &CallerRequest::new(&id, "/stock/a", None)).await;
        let answer = answer.unwrap();
        failed += usize::from(answer.status != StatusCode::OK);
        if answer.status == StatusCode::OK {
            expect_that!(
                answer
                    .headers
                    .get("x-persimmonward-request-id")
                    .unwrap()
                    .to_str()
                    .unwrap(),
                eq(&id)
            );
        }
        tokio::time::sleep(REUSE_TIME).await;
    }
    // A request fails if both of its attempts meet a copy; each of the two engines is
    // believed to answer in turn until its first copy.
    expect_that!(failed, le(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_another_request_paused_its_engine() {
    let stage = stage("crossed-pause", &StagePlan::default()).await;
    set_fault_on_all(&stage, EngineFault::CrossedPause);
    let answer = send(&stage, 0, &CallerRequest::new("r0", "/stock/a", None)).await;
    expect_that!(answer.unwrap().status, eq(StatusCode::BAD_GATEWAY));
    // The log is written in the background.
    tokio::time::sleep(RUN_TIME).await;
    let log = stage.daemons[0].log().unwrap();
    expect_that!(log, contains_substring("answer to another request"));
    expect_that!(log, not(contains_substring("asks for a pause")));
    expect_that!(log, not(contains_substring("says that it leaves")));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_error_made_the_next_request_fail() {
    let stage = stage("repeated-errors", &StagePlan::default()).await;
    wait_until_all_joined(&stage).await;
    for link in &stage.engine_links {
        link.set_fault(LinkFault::RepeatAnswers);
    }
    for round in 0..3 {
        set_fault_on_all(&stage, EngineFault::Fail);
        let id = format!("failed{round}");
        let failed = send(&stage, 0, &CallerRequest::new(&id, "/stock/a", None)).await;
        expect_that!(
            failed.unwrap().status,
            eq(StatusCode::INTERNAL_SERVER_ERROR)
        );
        set_fault_on_all(&stage, EngineFault::None);
        tokio::time::sleep(REUSE_TIME).await;
        let again = send(&stage, 0, &CallerRequest::new(&id, "/stock/a", None)).await;
        expect_that!(again.unwrap().status, eq(StatusCode::OK), "{id}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_answer_was_taken_for_that_of_a_request_without_id() {
    let stage = stage("repeated-no-id", &StagePlan::default()).await;
    for link in &stage.engine_links {
        link.set_fault(LinkFault::RepeatAnswers);
    }
    for number in 0..6 {
        let path = format!("/stock/{number}");
        let answer = send(&stage, 0, &CallerRequest::new("", &path, None)).await;
        expect_that!(answer.unwrap().text(), eq(&format!("served {path}")));
        tokio::time::sleep(REUSE_TIME).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_answers_on_idle_connections_failed_several_requests() {
    let stage = stage("repeated-idle", &StagePlan::default()).await;
    wait_until_all_joined(&stage).await;
    for link in &stage.engine_links {
        link.set_fault(LinkFault::RepeatAnswers);
    }
    let requests: Vec<_> = (0..8)
        .map(|number| CallerRequest::new(format!("first{number}"), "/stock/a", None))
        .collect();
    let sent = requests.iter().map(|request| send(&stage, 0, request));
    for answer in futures::future::join_all(sent).await {
        expect_that!(answer.unwrap().status, eq(StatusCode::OK));
    }
    tokio::time::sleep(REUSE_TIME).await;
    let mut failed = 0;
    for number in 0..8 {
        let id = format!("next{number}");
        let answer = send(&stage, 0, &CallerRequest::new(&id, "/stock/a", None)).await;
        failed += usize::from(answer.unwrap().status != StatusCode::OK);
    }
    expect_that!(failed, le(1));
}

/// The statuses with which an engine would promise that a request did not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn failure_after_a_run_was_passed_on_as_a_refusal() {
    let stage = stage("promises", &StagePlan::default()).await;
    for (status, is_signed) in PROMISES
        .into_iter()
        .flat_map(|status| [(status, true), (status, false)])
    {
        // A 421 without signature is a refusal, whatever else it says.
        if status == 421 && !is_signed {
            continue;
        }
        set_fault_on_all(&stage, EngineFault::FailWith(status, is_signed));
        for (path, model) in [("/book/a", None), ("/quick/a", Some("model0"))] {
            let id = format!("{path}-{status}-{is_signed}");
            let answer = send(&stage, 0, &CallerRequest::new(&id, path, model)).await;
            expect_that!(answer.unwrap().status, eq(StatusCode::BAD_GATEWAY), "{id}");
            expect_that!(stage.ledger.runs_of(&id).len(), eq(1), "{id}");
        }
    }
}
