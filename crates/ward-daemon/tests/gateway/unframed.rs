//! Answers with neither a length nor chunks, which end with their connection.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use ward_stage::{CallerAnswer, CallerError, CallerRequest, EngineFault, LinkFault, Stage};

use crate::support::{COMPLETE_STREAM, one_model_stage, send, set_fault_on_all, wait_until};

/// Time in which an engine has sent some events of a stream, but not all.
const EVENTS_TIME: Duration = Duration::from_millis(40);

fn request(id: &str, path: &str) -> CallerRequest {
    CallerRequest::new(id, path, Some(&Stage::model_name(0)))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unframed_answer_is_whole_when_its_connection_ends() {
    let stage = one_model_stage("unframed-whole").await;
    set_fault_on_all(&stage, EngineFault::Unframed);
    for path in ["/quick/a", "/quote/a"] {
        for number in 0..4 {
            let request = request(&format!("{path}{number}"), path);
            let answer = send(&stage, number % 3, &request).await.unwrap();
            expect_that!(answer.text(), eq(COMPLETE_STREAM));
        }
    }
    let plain = CallerRequest::new("plain", "/book/a", None);
    let answer = send(&stage, 0, &plain).await.unwrap();
    expect_that!(answer.text(), eq("served /book/a"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unframed_stream_that_ended_inside_an_event_looked_complete() {
    let stage = one_model_stage("unframed-cut").await;
    set_fault_on_all(&stage, EngineFault::UnframedCut);
    let answer = send(&stage, 0, &request("cut", "/quick/a")).await;
    expect_that!(
        answer,
        err(matches_pattern!(CallerError::Broken(
            eq(&StatusCode::OK),
            anything()
        )))
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unframed_stream_that_ended_inside_an_event_was_not_resumed() {
    let stage = one_model_stage("unframed-resumed").await;
    stage.engines[0].set_fault(EngineFault::UnframedCut);
    for number in 0..6 {
        let request = request(&format!("r{number}"), "/quote/a");
        let answer = send(&stage, number % 3, &request).await.unwrap();
        expect_that!(answer.text(), eq(COMPLETE_STREAM));
    }
}

/// Sends a request and lets the link of its engine refuse connections after the first
/// events; the connection is closed then, not reset.
async fn send_and_refuse(
    stage: &Stage,
    request: &CallerRequest,
) -> std::result::Result<CallerAnswer, CallerError> {
    let id = &request.id;
    let refusal = async {
        wait_until("a run", || !stage.ledger.runs_of(id).is_empty()).await;
        tokio::time::sleep(EVENTS_TIME).await;
        let run = &stage.ledger.runs_of(id)[0];
        let engine = stage
            .engines
            .iter()
            .position(|engine| engine.id() == run.engine);
        stage.engine_links[engine.unwrap()].set_fault(LinkFault::Refuse);
    };
    tokio::join!(send(stage, 0, request), refusal).0
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unframed_stream_whose_engine_was_gone_looked_complete() {
    let stage = one_model_stage("unframed-gone").await;
    set_fault_on_all(&stage, EngineFault::Unframed);
    let answer = send_and_refuse(&stage, &request("r1", "/quick/a")).await;
    expect_that!(
        answer,
        err(matches_pattern!(CallerError::Broken(
            eq(&StatusCode::OK),
            anything()
        )))
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unframed_stream_whose_engine_was_gone_was_not_resumed() {
    let stage = one_model_stage("unframed-gone-resumed").await;
    set_fault_on_all(&stage, EngineFault::Unframed);
    let answer = send_and_refuse(&stage, &request("r1", "/quote/a")).await;
    let text = answer.map(|answer| answer.text());
    expect_that!(text, ok(eq(COMPLETE_STREAM)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unframed_answer_whose_engine_was_gone_looked_whole() {
    let stage = one_model_stage("unframed-half").await;
    set_fault_on_all(&stage, EngineFault::UnframedHalf);
    let plain = CallerRequest::new("r1", "/book/a", None);
    let answer = send_and_refuse(&stage, &plain).await.unwrap();
    expect_that!(
        answer.status,
        eq(StatusCode::BAD_GATEWAY),
        "{}",
        answer.text()
    );
    expect_that!(stage.ledger.runs_of("r1").len(), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unframed_answer_whose_engine_was_gone_was_not_sent_again() {
    let stage = one_model_stage("unframed-half-safe").await;
    stage.engines[3].set_fault(EngineFault::UnframedHalf);
    // Otherwise the other server may get the request first.
    stage.engines[4].set_fault(EngineFault::Full);
    let recovery = async {
        wait_until("a run", || !stage.ledger.runs_of("r1").is_empty()).await;
        stage.engines[4].set_fault(EngineFault::Unframed);
    };
    let plain = CallerRequest::new("r1", "/stock/a", None);
    let (answer, ()) = tokio::join!(send_and_refuse(&stage, &plain), recovery);
    let answer = answer.unwrap();
    expect_that!(answer.status, eq(StatusCode::OK));
    expect_that!(answer.text(), eq("served /stock/a"));
    expect_that!(stage.ledger.runs_of("r1").len(), eq(2));
}
