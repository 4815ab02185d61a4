//! What daemons tell each other of the streams that they forward.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::StatusCode;
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use ward_adapter::served::resume_headers;
use ward_fleet::{CoordinatorMessage, MemberMessage, StreamNews, StreamNote, StreamOrigin};
use ward_protocol::codec::{decode, encode};
use ward_protocol::{StreamKey, TimeSpan};
use ward_stage::{CallerRequest, Stage, StagePlan};

use crate::support::{expect_refused, one_model_stage, send, stage, wait_until_all_joined};

const FIRST_TRY: &str = "elsewhere";
const REQUESTS: u32 = 12;
/// Time that a stream of a stand-in engine takes.
const STREAM_TIME: Duration = Duration::from_millis(125);
/// Maximum time by which a silent daemon may hold up all streams together: less than two
/// waits for its answer.
const MAX_TOTAL_DELAY: Duration = Duration::from_millis(300);

/// Sends a message to a daemon as another daemon does; returns its answer.
async fn call(address: SocketAddr, message: &MemberMessage) -> CoordinatorMessage {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let content = encode(message).unwrap();
    let length = u32::try_from(content.len()).unwrap();
    stream.write_all(&length.to_be_bytes()).await.unwrap();
    stream.write_all(&content).await.unwrap();
    let length = stream.read_u32().await.unwrap();
    let mut answer = vec![0; length as usize];
    stream.read_exact(&mut answer).await.unwrap();
    decode(&answer).unwrap()
}

/// News of a stream that engines of another software version began.
fn news_of_other_version() -> StreamNews {
    let note = StreamNote {
        key: StreamKey::of(FIRST_TRY.as_bytes()),
        origin: StreamOrigin {
            service: "assistant".parse().unwrap(),
            software: "v2".parse().unwrap(),
        },
        lifetime: TimeSpan::from_secs(30),
    };
    StreamNews {
        notes: vec![note],
        versions: Vec::new(),
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemon_that_knew_a_single_version_continued_a_stream_of_another() {
    let stage = one_model_stage("stream-keepers").await;
    // Another daemon has seen the further version earlier than daemon 0.
    for keeper in &stage.daemons[1..] {
        let message = MemberMessage::RecordStreams(news_of_other_version());
        let answer = call(keeper.settings().peers, &message).await;
        expect_that!(answer, eq(&CoordinatorMessage::StreamsRecorded));
    }
    let mut request = CallerRequest::new("next", "/quote/a", Some(&Stage::model_name(0)));
    request.headers = resume_headers(Some(FIRST_TRY), 2);
    expect_refused(&stage, 0, &request).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemon_out_of_step_continued_a_stream_of_another_version() {
    let stage = one_model_stage("stream-step").await;
    // The daemons that know of the further version can't be reached; the list of engines
    // at daemon 0 is a moment old.
    for keeper in &stage.daemons[1..] {
        let message = MemberMessage::RecordStreams(news_of_other_version());
        call(keeper.settings().peers, &message).await;
        keeper.signal(Signal::STOP).unwrap();
    }
    for (id, first_try) in [("named", Some(FIRST_TRY)), ("unnamed", None)] {
        let mut request = CallerRequest::new(id, "/quote/a", Some(&Stage::model_name(0)));
        request.headers = resume_headers(first_try, 2);
        let answer = send(&stage, 0, &request).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE), "{id}");
        expect_that!(stage.ledger.runs_of(id).len(), eq(0), "{id}");
    }
    for keeper in &stage.daemons[1..] {
        keeper.signal(Signal::CONT).unwrap();
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keeper_answers_where_a_stream_comes_from() {
    let stage = stage("stream-answer", &StagePlan::default()).await;
    let peers = stage.daemons[0].settings().peers;
    let news = news_of_other_version();
    call(peers, &MemberMessage::RecordStreams(news.clone())).await;
    let key = StreamKey::of(FIRST_TRY.as_bytes());
    let CoordinatorMessage::FoundStream(found) = call(peers, &MemberMessage::FindStream(key)).await
    else {
        panic!("another answer");
    };
    expect_that!(found.notes[0].origin, eq(&news.notes[0].origin));
    let mut versions = found.versions.iter();
    expect_true!(versions.any(|version| version.origin == news.notes[0].origin));
    expect_that!(found.notes[0].lifetime, le(news.notes[0].lifetime));
    let unknown = MemberMessage::FindStream(StreamKey::of(b"unknown"));
    let CoordinatorMessage::FoundStream(found) = call(peers, &unknown).await else {
        panic!("another answer");
    };
    expect_that!(found.notes, is_empty());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_keeper_held_up_the_beginning_of_streams() {
    let plan = StagePlan {
        daemons: 4,
        engines: 2,
        models: 1,
        software: &["v1", "v2"],
        ..StagePlan::default()
    };
    let stage = stage("stream-silent", &plan).await;
    let coordinator = wait_until_all_joined(&stage).await;
    let silent = (1..4).find(|daemon| *daemon != coordinator).unwrap();
    stage.daemons[silent].signal(Signal::STOP).unwrap();
    let begun = Instant::now();
    for number in 0..REQUESTS {
        let request = CallerRequest::new(format!("r{number}"), "/quote/a", Some("model0"));
        let answer = send(&stage, 0, &request).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK));
    }
    let elapsed = begun.elapsed();
    stage.daemons[silent].signal(Signal::CONT).unwrap();
    expect_that!(elapsed, lt(STREAM_TIME * REQUESTS + MAX_TOTAL_DELAY));
}
