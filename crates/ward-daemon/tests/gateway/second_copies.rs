//! Engines that break off an answer and write it once more on the same connection.

use googletest::prelude::*;
use http::StatusCode;
use ward_stage::{CallerError, CallerRequest, EngineFault, LinkFault, Stage};

use crate::support::{COMPLETE_STREAM, one_model_stage, send, set_fault_on_all};

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn second_copy_completed_a_broken_off_answer() {
    let stage = one_model_stage("copies-unsafe").await;
    for link in &stage.engine_links {
        link.set_fault(LinkFault::SecondCopies);
    }
    let request = CallerRequest::new("r1", "/book/a", None);
    let answer = send(&stage, 0, &request).await.unwrap();
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
async fn second_copy_completed_the_answer_to_a_safe_request() {
    let stage = one_model_stage("copies-safe").await;
    stage.engine_links[3].set_fault(LinkFault::SecondCopies);
    for number in 0..6 {
        let request = CallerRequest::new(format!("r{number}"), "/stock/a", None);
        let answer = send(&stage, 0, &request).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK));
        expect_that!(answer.text(), eq("served /stock/a"));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn second_copy_stood_in_a_stream_that_looked_complete() {
    let stage = one_model_stage("copies-stream").await;
    set_fault_on_all(&stage, EngineFault::SecondCopy);
    for path in ["/quick/a", "/quote/a"] {
        let request = CallerRequest::new(path, path, Some(&Stage::model_name(0)));
        let answer = send(&stage, 0, &request).await;
        // It ends before the head of the copy, which may be before its own head.
        expect_that!(
            answer,
            err(any![
                matches_pattern!(CallerError::Broken(eq(&StatusCode::OK), anything())),
                matches_pattern!(CallerError::Closed(anything()))
            ]),
            "{path}"
        );
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn events_came_twice_in_a_stream_that_looked_complete() {
    let stage = one_model_stage("copies-events").await;
    for fault in [EngineFault::RepeatedEvents, EngineFault::SecondCopy] {
        stage.engines[0].set_fault(fault);
        for number in 0..6 {
            let id = format!("{fault:?}{number}");
            let request = CallerRequest::new(&id, "/quote/a", Some(&Stage::model_name(0)));
            let text = send(&stage, 0, &request).await.map(|answer| answer.text());
            expect_that!(text, ok(eq(COMPLETE_STREAM)), "{id}");
        }
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_ends_like_the_beginning_of_a_head_is_whole() {
    let stage = one_model_stage("copies-none").await;
    for path in ["/book/H", "/stock/HTTP/1."] {
        let answer = send(&stage, 0, &CallerRequest::new(path, path, None)).await;
        let text = answer.map(|answer| answer.text());
        expect_that!(text, ok(eq(&format!("served {path}"))));
        expect_that!(stage.ledger.runs_of(path).len(), eq(1));
    }
}
