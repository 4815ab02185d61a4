//! Streams that are resumed at another engine within one answer.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::StatusCode;
use ward_stage::{
    CallerAnswer, CallerError, CallerRequest, EngineFault, LinkFault, ResumeFault, Stage, StagePlan,
};

use crate::support::{
    COMPLETE_STREAM, send, set_fault_on_all, stage, wait_until, wait_until_all_joined,
};

/// The events of a stream before it breaks off.
const FIRST_EVENTS: &str = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n";
/// The events that a resumed stream brings.
const OTHER_EVENTS: &str = "id: 3\ndata: part 3\n\nid: 4\ndata: part 4\n\nid: 5\ndata: part 5\n\n";
/// Time in which all daemons know of a change of an engine.
const NEWS_TIME: Duration = Duration::from_millis(1_500);
/// Time within which a stream that nobody can continue is broken off.
const MAX_HOLD_TIME: Duration = Duration::from_secs(1);

type CallerResult = std::result::Result<CallerAnswer, CallerError>;

/// A stage whose engines hold the same model.
async fn one_model_stage(test: &str) -> Stage {
    let plan = StagePlan {
        models: 1,
        ..StagePlan::default()
    };
    let stage = stage(test, &plan).await;
    wait_until_all_joined(&stage).await;
    stage
}

async fn send_stream(stage: &Stage, id: &str) -> CallerResult {
    let request = CallerRequest::new(id, "/quote/a", Some(&Stage::model_name(0)));
    send(stage, 0, &request).await
}

fn expect_broken_off(result: &CallerResult, events: &str, case: &str) {
    match result {
        Err(CallerError::Broken(status, part)) => {
            expect_that!(*status, eq(StatusCode::OK), "{case}");
            expect_that!(String::from_utf8_lossy(part), eq(events), "{case}");
        }
        other => expect_true!(false, "{case}: {other:?}"),
    }
}

/// Sends a stream to engines that break it off and have this fault when it is resumed, and
/// expects that the caller gets the first events only and does not take them for all; then
/// one that a sound engine can continue.
async fn expect_not_forwarded(stage: &Stage, fault: ResumeFault) {
    let case = format!("{fault:?}");
    set_fault_on_all(stage, EngineFault::Resumed(fault));
    let result = send_stream(stage, &case).await;
    expect_broken_off(&result, FIRST_EVENTS, &case);
    stage.engines[2].set_fault(EngineFault::None);
    for number in 0..4 {
        let result = send_stream(stage, &format!("{case}{number}")).await;
        let text = result.map(|answer| answer.text());
        expect_that!(text, ok(eq(COMPLETE_STREAM)), "{case} {number}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn error_answer_stood_in_the_middle_of_a_stream() {
    let stage = one_model_stage("resumed-error").await;
    for fault in [
        ResumeFault::Status(500),
        ResumeFault::Status(503),
        ResumeFault::Status(404),
        ResumeFault::Refusal,
    ] {
        expect_not_forwarded(&stage, fault).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn success_with_another_status_was_taken_for_the_rest_of_a_stream() {
    let stage = one_model_stage("resumed-status").await;
    for status in [201, 204, 206] {
        expect_not_forwarded(&stage, ResumeFault::Status(status)).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn success_of_another_content_type_was_taken_for_the_rest_of_a_stream() {
    let stage = one_model_stage("resumed-type").await;
    for content_type in ["", "application/json", "text/plain", "text/event-streams"] {
        expect_not_forwarded(&stage, ResumeFault::ContentType(content_type)).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn empty_answer_was_taken_for_the_rest_of_a_stream() {
    let stage = one_model_stage("resumed-empty").await;
    for fault in [ResumeFault::Empty, ResumeFault::EmptyChunked] {
        expect_not_forwarded(&stage, fault).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unframed_answer_without_events_was_taken_for_the_rest_of_a_stream() {
    let stage = one_model_stage("resumed-unframed").await;
    expect_not_forwarded(&stage, ResumeFault::EmptyUnframed).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn events_that_the_caller_had_came_again() {
    let stage = one_model_stage("resumed-repeats").await;
    expect_not_forwarded(&stage, ResumeFault::FromStart).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn events_without_ids_came_again() {
    let stage = one_model_stage("resumed-no-ids").await;
    set_fault_on_all(&stage, EngineFault::NoEventIds);
    let result = send_stream(&stage, "r1").await;
    expect_broken_off(&result, "data: part 1\n\ndata: part 2\n\n", "no ids");
    expect_that!(stage.ledger.runs_of("r1").len(), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn resumed_event_without_end_is_not_forwarded() {
    let stage = one_model_stage("resumed-endless").await;
    for fault in [ResumeFault::Endless, ResumeFault::Trickle] {
        expect_not_forwarded(&stage, fault).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn resumed_endless_event_is_given_up_at_its_maximum_length() {
    let stage = one_model_stage("resumed-too-long").await;
    set_fault_on_all(&stage, EngineFault::Resumed(ResumeFault::Endless));
    let begun = Instant::now();
    let result = send_stream(&stage, "r1").await;
    // Sooner than after the longest pauses of two resumptions.
    expect_that!(begun.elapsed(), lt(MAX_HOLD_TIME));
    expect_broken_off(&result, FIRST_EVENTS, "endless");
    expect_that!(stage.ledger.runs_of("r1").len(), eq(3));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn resumed_stream_that_trickles_goes_on_at_another_engine() {
    let stage = one_model_stage("resumed-trickle").await;
    set_fault_on_all(&stage, EngineFault::Resumed(ResumeFault::Trickle));
    let recovery = async {
        wait_until("a resumption", || stage.ledger.runs_of("r1").len() == 2).await;
        // The answer that trickles has begun by then.
        tokio::time::sleep(Duration::from_millis(100)).await;
        set_fault_on_all(&stage, EngineFault::None);
    };
    let (result, ()) = tokio::join!(send_stream(&stage, "r1"), recovery);
    let text = result.map(|answer| answer.text());
    expect_that!(text, ok(eq(COMPLETE_STREAM)));
    expect_that!(stage.ledger.runs_of("r1").len(), eq(3));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn resumed_stream_may_state_its_type_and_end_its_lines_in_other_ways() {
    let stage = one_model_stage("resumed-variants").await;
    let content_type = ResumeFault::ContentType("Text/Event-Stream; charset=utf-8");
    let with_returns = OTHER_EVENTS.replace('\n', "\r\n");
    for (fault, events) in [
        (content_type, OTHER_EVENTS),
        (ResumeFault::ReturnFeeds, with_returns.as_str()),
    ] {
        set_fault_on_all(&stage, EngineFault::Resumed(fault));
        let result = send_stream(&stage, &format!("{fault:?}")).await;
        let text = result.map(|answer| answer.text());
        expect_that!(text, ok(eq(&format!("{FIRST_EVENTS}{events}"))));
    }
}

/// Sets software versions of the engines, in their order.
async fn set_versions(stage: &Stage, versions: &[&str]) {
    for (engine, version) in stage.engines.iter().zip(versions) {
        engine.set_software(version.parse().unwrap(), &stage.store);
    }
    tokio::time::sleep(NEWS_TIME).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_held_events_of_two_software_versions() {
    let stage = one_model_stage("resumed-version").await;
    set_versions(&stage, &["v1", "v1", "v2"]).await;
    set_fault_on_all(&stage, EngineFault::BreakOff);
    for number in 0..12 {
        let id = format!("r{number}");
        let text = send_stream(&stage, &id).await.map(|answer| answer.text());
        let newer_stream = COMPLETE_STREAM.replace("\n\n", " v2\n\n");
        expect_that!(
            text,
            ok(any![eq(COMPLETE_STREAM), eq(&newer_stream)]),
            "{id}"
        );
        let runs = stage.ledger.runs_of(&id);
        let newer = runs.iter().filter(|run| run.engine == "i-2").count();
        expect_that!(newer, any![eq(0), eq(runs.len())], "{id}: {runs:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_waited_for_a_model_at_the_only_engine_of_its_software_version() {
    let plan = StagePlan {
        models: 2,
        ..StagePlan::default()
    };
    // The first and the last engine hold the model.
    let stage = stage("resumed-missing", &plan).await;
    wait_until_all_joined(&stage).await;
    set_versions(&stage, &["v1", "v1", "v2"]).await;
    stage.engines[0].set_fault(EngineFault::Trickle);
    stage.engines[2].set_fault(EngineFault::Full);
    let failure = async {
        wait_until("a run", || !stage.ledger.runs_of("r1").is_empty()).await;
        set_fault_on_all(&stage, EngineFault::None);
        stage.engines[0].drain(&stage.store);
        // The daemons know by then that it drains.
        tokio::time::sleep(Duration::from_millis(500)).await;
        stage.engine_links[0].set_fault(LinkFault::Reset);
        Instant::now()
    };
    let (result, failed_at) = tokio::join!(send_stream(&stage, "r1"), failure);
    expect_that!(failed_at.elapsed(), lt(MAX_HOLD_TIME));
    expect_broken_off(&result, FIRST_EVENTS, "missing");
    expect_that!(stage.ledger.runs_of("r1").len(), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_software_version_is_gone_is_broken_off_at_once() {
    let stage = one_model_stage("resumed-gone").await;
    set_versions(&stage, &["v1", "v2", "v2"]).await;
    stage.engines[0].set_fault(EngineFault::Trickle);
    stage.engines[1].set_fault(EngineFault::Full);
    stage.engines[2].set_fault(EngineFault::Full);
    let failure = async {
        wait_until("a run", || !stage.ledger.runs_of("r1").is_empty()).await;
        set_fault_on_all(&stage, EngineFault::None);
        // Two of the stream's events have come by then.
        tokio::time::sleep(Duration::from_millis(150)).await;
        stage.engine_links[0].set_fault(LinkFault::Refuse);
        Instant::now()
    };
    let (result, failed_at) = tokio::join!(send_stream(&stage, "r1"), failure);
    expect_that!(failed_at.elapsed(), lt(MAX_HOLD_TIME));
    expect_broken_off(&result, FIRST_EVENTS, "gone");
    expect_that!(stage.ledger.runs_of("r1").len(), eq(1));
}
