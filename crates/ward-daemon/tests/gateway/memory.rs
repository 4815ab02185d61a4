//! Bodies that are within their own limits, and too many for the memory of the host.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use ward_adapter::served::CALLER_HOST;
use ward_protocol::MemorySize;
use ward_stage::{CallerRequest, EngineFault, Stage, StagePlan};

use crate::support::{
    send, set_fault_on_all, stage, wait_until, wait_until_all_joined, write_manifest,
};

/// Limit on the bodies of requests.
const BODY_BYTES: usize = 4 << 20;
/// Bytes of a body that are sent at once, and the time between.
const PIECE_BYTES: usize = 64 << 10;
const PIECE_INTERVAL: Duration = Duration::from_millis(5);
/// Requests with long bodies at the same time; twice the memory of the host.
const LONG_REQUESTS: usize = 120;
/// Requests whose answers never end at the same time; no more than all slots.
const ENDLESS_REQUESTS: usize = 380;
/// Streams with an incomplete event of 240 KiB at the same time; together three times as
/// long as the budget of a host with 8 MiB.
const LONG_EVENTS: usize = 30;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Runs `load` against the first daemon, and sends short requests meanwhile, which must
/// all be served; returns the peak of the daemon's resident memory.
async fn peak_memory(stage: &Stage, load: impl Future<Output = ()>) -> MemorySize {
    tokio::pin!(load);
    let mut peak = MemorySize::ZERO;
    let mut number = 0;
    loop {
        tokio::select! {
            () = &mut load => return peak,
            () = tokio::time::sleep(SAMPLE_INTERVAL) => {
                peak = peak.max(stage.daemons[0].resident_memory().unwrap());
                let model = Stage::model_name(0);
                let request = CallerRequest::new(format!("s{number}"), "/quick/a", Some(&model));
                let answer = send(stage, 0, &request).await.unwrap();
                expect_that!(answer.status, eq(StatusCode::OK), "{number}");
                number += 1;
            }
        }
    }
}

/// Sends a request with a long body; returns the first line of its answer.
async fn send_long(address: SocketAddr, id: usize) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /book/a HTTP/1.1\r\nHost: {CALLER_HOST}\r\nX-Persimmonward-Request-Id: long{id}\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    // The daemon may have refused it, and closed the connection, before the end.
    drop(stream.write_all(&vec![b'x'; BODY_BYTES]).await);
    let mut answer = vec![0; 1 << 10];
    let count = stream.read(&mut answer).await.unwrap_or(0);
    let text = String::from_utf8_lossy(&answer[..count]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

/// Sends a request with a long body in pieces, and reads the answer after the last; returns
/// the first line of the answer.
async fn send_in_pieces(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let head = format!(
        "POST /book/a HTTP/1.1\r\nHost: {CALLER_HOST}\r\nX-Persimmonward-Request-Id: slow\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let piece = vec![b'x'; PIECE_BYTES];
    for _ in 0..BODY_BYTES / PIECE_BYTES {
        stream.write_all(&piece).await?;
        tokio::time::sleep(PIECE_INTERVAL).await;
    }
    let mut answer = vec![0; 1 << 10];
    let count = stream.read(&mut answer).await?;
    let text = String::from_utf8_lossy(&answer[..count]).into_owned();
    Ok(text.lines().next().unwrap_or_default().to_owned())
}

/// Allows bodies of `BODY_BYTES` at the first daemon.
async fn allow_long_bodies(stage: &mut Stage) {
    stage.manifest.limits.body_bytes = BODY_BYTES;
    write_manifest(stage);
    wait_until("the longer limit", || {
        let log = stage.daemons[0].log().unwrap();
        log.matches("manifest: in force").count() > 1
    })
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_body_that_was_still_sent_was_lost_with_a_reset() {
    let plan = StagePlan {
        // A body that may be sent is longer than all buffers of the daemon.
        host_memory: MemorySize::from_mib(12),
        ..StagePlan::default()
    };
    let mut stage = stage("memory-refusal", &plan).await;
    allow_long_bodies(&mut stage).await;
    let address = stage.daemons[0].callers();
    for _ in 0..5 {
        let answer = send_in_pieces(address).await;
        expect_that!(answer, ok(contains_substring("503")));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_took_more_memory_than_the_host_has() {
    let plan = StagePlan {
        backend_servers: 32,
        ..StagePlan::default()
    };
    let stage = stage("memory-answers", &plan).await;
    for server in &stage.engines[plan.engines..] {
        server.set_fault(EngineFault::Endless);
    }
    let host_memory = stage.daemons[0].settings().capacity.memory;
    let requests: Vec<_> = (0..ENDLESS_REQUESTS)
        .map(|number| CallerRequest::new(format!("e{number}"), "/book/a", None))
        .collect();
    let load = async {
        let answers = join_all(requests.iter().map(|request| send(&stage, 0, request))).await;
        for answer in answers {
            expect_that!(
                answer.unwrap().status.as_u16(),
                any![eq(502), eq(503), eq(504)]
            );
        }
    };
    expect_that!(peak_memory(&stage, load).await, lt(host_memory));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn long_bodies_took_more_memory_than_the_host_has() {
    let mut stage = stage("memory-bodies", &StagePlan::default()).await;
    allow_long_bodies(&mut stage).await;
    for server in &stage.engines[3..] {
        server.set_fault(EngineFault::Hang);
    }
    let host_memory = stage.daemons[0].settings().capacity.memory;
    let address = stage.daemons[0].callers();
    let load = async {
        let answers = join_all((0..LONG_REQUESTS).map(|id| send_long(address, id))).await;
        let refused = answers.iter().filter(|line| line.contains("503")).count();
        expect_that!(refused, gt(LONG_REQUESTS / 2));
    };
    expect_that!(peak_memory(&stage, load).await, lt(host_memory));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn incomplete_events_of_all_streams_came_out_of_no_budget() {
    let plan = StagePlan {
        // Enough that none is overloaded.
        engines: 16,
        models: 1,
        host_memory: MemorySize::from_mib(8),
        ..StagePlan::default()
    };
    let stage = stage("memory-events", &plan).await;
    wait_until_all_joined(&stage).await;
    set_fault_on_all(&stage, EngineFault::LongEvent);
    let model = Stage::model_name(0);
    let requests: Vec<_> = (0..LONG_EVENTS)
        .map(|number| CallerRequest::new(format!("e{number}"), "/quote/a", Some(&model)))
        .collect();
    let answers = join_all(requests.iter().map(|request| send(&stage, 0, request))).await;
    for answer in answers {
        expect_that!(
            answer.is_ok_and(|answer| answer.status.is_success()),
            eq(false)
        );
    }
    let log = stage.daemons[0].log().unwrap();
    expect_that!(
        log,
        contains_substring("there is no memory left for an event")
    );
}
