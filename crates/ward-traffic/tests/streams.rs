//! Streams that are interrupted, resumed, moved to another engine or run again.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::time::Duration;

use googletest::prelude::*;
use support::{
    CallerAnswer, FakeBackend, FakeRequest, Step, TestServer, ViewBuilder, complete_steps, post,
    stream_steps,
};
use ward_traffic::{EventBuffer, StreamProgress, StreamStep, TrafficNotice};

const KEY: &str = "quotes@v1";

fn not_found(request: &FakeRequest) -> Vec<Step> {
    let id = request.id();
    let text = format!("HTTP/1.1 404 Not Found\r\nx-request-id: {id}\r\ncontent-length: 0\r\n\r\n");
    vec![Step::Send(text)]
}

fn is_resume(request: &FakeRequest) -> bool {
    request.path.contains("/resume")
}

/// An engine that closes the connection of each stream after token 2 and cannot
/// resume it.
async fn cutting_engine() -> FakeBackend {
    FakeBackend::start(|request| match request.method.as_str() {
        "POST" if !is_resume(request) => stream_steps(&request.id(), 0..3, false),
        _ => not_found(request),
    })
    .await
}

async fn stream_from(engines: &[&FakeBackend]) -> (CallerAnswer, TestServer) {
    let server = TestServer::with_view(ViewBuilder::quotes_on(engines).build()).await;
    let answer = server.chat_stream("quotes").await;
    (answer, server)
}

fn expect_complete(answer: &CallerAnswer, tokens: usize) {
    expect_that!(answer.complete, eq(true));
    expect_that!(answer.body.matches("position").count(), eq(tokens));
    for position in 0..tokens {
        expect_that!(
            answer.body.matches(&format!("\"t{position}\"")).count(),
            eq(1)
        );
    }
    expect_that!(answer.body, ends_with("data: [DONE]\n\n"));
}

#[googletest::test]
#[tokio::test]
async fn cut_stream_resumed_at_its_engine() {
    let engine = FakeBackend::start(|request| {
        if is_resume(request) {
            return stream_steps(&request.id(), 3..6, true);
        }
        stream_steps(&request.id(), 0..3, false)
    })
    .await;
    let (answer, server) = stream_from(&[&engine]).await;
    expect_complete(&answer, 6);
    expect_that!(engine.requests()[1].path, ends_with("/resume?from=3"));
    let crashed = |notice: &TrafficNotice| matches!(notice, TrafficNotice::Crashed { .. });
    expect_that!(server.notices().iter().any(crashed), eq(false));
}

#[googletest::test]
#[tokio::test]
async fn cut_stream_rerun_on_another_engine() {
    let (cutting, good) = (cutting_engine().await, FakeBackend::engine().await);
    let (answer, server) = stream_from(&[&cutting, &good]).await;
    expect_complete(&answer, 5);
    let crashed = |notice: &&TrafficNotice| matches!(notice, TrafficNotice::Crashed { .. });
    expect_that!(
        server.notices().iter().filter(crashed).count(),
        eq(cutting.count().min(1))
    );
}

#[googletest::test]
#[tokio::test]
async fn unrecoverable_stream_ends_with_cut_event() {
    let engine = cutting_engine().await;
    let (answer, _server) = stream_from(&[&engine]).await;
    expect_that!(answer.complete, eq(false));
    expect_that!(answer.body.matches("position").count(), eq(3));
    expect_that!(answer.body, not(contains_substring("[DONE]")));
    let last = answer.body.trim_end().rsplit("data: ").next().unwrap();
    let event: serde_json::Value = serde_json::from_str(last).unwrap();
    expect_that!(event["error"]["code"], eq("406"));
    expect_that!(event["resume"]["from"], eq(3));
    expect_that!(event["resume"]["backend"], eq("e0"));
}

#[googletest::test]
#[tokio::test]
async fn cut_stream_resumed_by_caller() {
    let engine = FakeBackend::start(|request| stream_steps(&request.id(), 3..5, true)).await;
    let view = ViewBuilder::new().backend("e0", engine.address);
    let server = TestServer::with_view(view.build()).await;
    let id = "0123456789abcdef0123456789abcdef";
    let path = format!("/v1/requests/{id}/resume?backend=e0&from=3");
    let answer = post(server.address(), &path, &[], "").await;
    expect_that!(answer.complete, eq(true));
    expect_that!(answer.body.matches("position").count(), eq(2));
    expect_that!(answer.headers["x-request-id"], eq(id));
    let foreign = path.replace("from=3", "from=2");
    let answer = post(server.address(), &foreign, &[], "").await;
    expect_that!(answer.complete, eq(false));
    let gone = path.replace("e0", "e9");
    let answer = post(server.address(), &gone, &[], "").await;
    expect_that!(answer.code(), eq(402));
}

#[googletest::test]
#[tokio::test]
async fn foreign_or_missing_token_never_delivered() {
    let engine = FakeBackend::start(|request| {
        let id = request.id();
        if is_resume(request) {
            return stream_steps(&id, 2..4, true);
        }
        let foreign = stream_steps(&"1".repeat(32), 2..3, false);
        let mut steps = stream_steps(&id, 0..2, false);
        steps.pop();
        steps.push(foreign[1].clone());
        steps
    })
    .await;
    let (answer, _server) = stream_from(&[&engine]).await;
    expect_complete(&answer, 4);
    expect_that!(answer.body, not(contains_substring("1".repeat(32))));
    let gap = FakeBackend::start(|request| {
        if is_resume(request) {
            return stream_steps(&request.id(), 1..3, true);
        }
        let mut steps = stream_steps(&request.id(), 0..3, true);
        steps.remove(2);
        steps
    })
    .await;
    let (answer, _server) = stream_from(&[&gap]).await;
    expect_complete(&answer, 3);
}

#[googletest::test]
#[tokio::test]
async fn stream_moved_off_leaving_engine() {
    let old = FakeBackend::start(|request| match request.method.as_str() {
        "GET" => complete_steps(&request.id(), "cache"),
        "POST" if !is_resume(request) => {
            let mut steps = stream_steps(&request.id(), 0..2, false);
            steps.insert(steps.len() - 1, Step::Pause(300));
            steps
        }
        _ => not_found(request),
    })
    .await;
    let new = FakeBackend::start(|request| match request.method.as_str() {
        "PUT" => complete_steps(&request.id(), "{}"),
        _ => stream_steps(&request.id(), 2..5, true),
    })
    .await;
    let view = ViewBuilder::quotes_on(&[&old]);
    let server = TestServer::with_view(view.build()).await;
    let leave = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let view = view.clone().leaving("e0").backend("e1", new.address);
        server.publish(view.ready(KEY, "e1").build());
    };
    let (answer, ()) = tokio::join!(server.chat_stream("quotes"), leave);
    expect_complete(&answer, 5);
    let received = new.requests();
    expect_that!(received[0].body, eq("cache"));
    expect_that!(received[1].path, ends_with("/resume?from=2"));
}

#[googletest::test]
#[tokio::test]
async fn caller_disconnect_cancels_stream() {
    let engine = FakeBackend::start(|request| match request.method.as_str() {
        "POST" => {
            let mut steps = stream_steps(&request.id(), 0..2, false);
            steps.insert(2, Step::Pause(5_000));
            steps
        }
        _ => complete_steps(&request.id(), "{}"),
    })
    .await;
    let view = ViewBuilder::quotes_on(&[&engine]);
    let server = TestServer::with_view(view.build()).await;
    let call = server.chat_stream("quotes");
    let left = tokio::time::timeout(Duration::from_millis(200), call).await;
    expect_that!(left.is_err(), eq(true));
    tokio::time::sleep(Duration::from_millis(200)).await;
    expect_that!(engine.requests().last().unwrap().method, eq("DELETE"));
}

#[googletest::test]
fn progress_replay_with_unpositioned_events() {
    let request = ward_protocol::RequestId(7);
    let event = |position: Option<u64>| match position {
        Some(position) => format!("data: {{\"id\":\"{request}\",\"position\":{position}}}\n\n"),
        None => format!("data: {{\"id\":\"{request}\",\"finish\":true}}\n\n"),
    };
    let mut progress = StreamProgress::new(request);
    let mut step = |position| progress.classify(event(position).as_bytes());
    expect_that!(step(None), eq(StreamStep::Deliver));
    expect_that!(step(Some(0)), eq(StreamStep::Deliver));
    expect_that!(step(None), eq(StreamStep::Deliver));
    expect_that!(step(Some(2)), eq(StreamStep::Broken));
    progress.mark_restarted();
    let mut step = |position| progress.classify(event(position).as_bytes());
    expect_that!(step(None), eq(StreamStep::Skip));
    expect_that!(step(Some(0)), eq(StreamStep::Skip));
    expect_that!(step(None), eq(StreamStep::Skip));
    expect_that!(step(None), eq(StreamStep::Deliver));
    expect_that!(progress.classify(b"data: [DONE]\n\n"), eq(StreamStep::End));
    progress.mark_restarted();
    expect_that!(
        progress.classify(b"data: [DONE]\n\n"),
        eq(StreamStep::Broken)
    );
}

#[googletest::test]
fn events_split_at_any_byte() {
    let stream = "data: a\n\ndata: b\r\n\r\n: note\n\ndata: c\n\n";
    for size in 1..stream.len() {
        let mut buffer = EventBuffer::default();
        let mut events = Vec::new();
        for piece in stream.as_bytes().chunks(size) {
            buffer.push(piece);
            while let Some(event) = buffer.next_event() {
                events.push(event);
            }
        }
        expect_that!(events.len(), eq(4));
        expect_that!(events.concat(), eq(stream.as_bytes()));
    }
}

#[googletest::test]
#[tokio::test]
async fn comments_do_not_count_as_progress() {
    let engine = FakeBackend::start(|request| {
        if request.method == "DELETE" {
            return complete_steps(&request.id(), "{}");
        }
        let mut steps = stream_steps(&request.id(), 0..0, false);
        steps.insert(1, Step::Send("8\r\n: ping\n\n\r\n".to_owned()));
        steps
    })
    .await;
    let (answer, _server) = stream_from(&[&engine]).await;
    expect_that!(answer.complete, eq(false));
    expect_that!(answer.body.matches("ping").count(), le(4));
    expect_that!(answer.body, contains_substring("StreamCut"));
}
