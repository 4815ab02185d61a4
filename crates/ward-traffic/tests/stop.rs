//! Draining the server, and the limit on connections.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use support::{FakeBackend, FakeRequest, Step, TestServer, ViewBuilder, stream_steps};
use tokio::net::TcpStream;
use ward_protocol::{RoutingView, TimeSpan, TrafficLimits};

const KEY: &str = "quotes@v1";

type Sender = SendRequest<Empty<bytes::Bytes>>;

fn limits() -> TrafficLimits {
    TrafficLimits {
        entry_ttl: TimeSpan::from_millis(300),
        stop_slack: TimeSpan::from_millis(200),
        connections: 4,
        ..TrafficLimits::default()
    }
}

fn view_with(engine: &FakeBackend) -> RoutingView {
    let view = ViewBuilder::new()
        .row(KEY, 1, true)
        .row("services/stock", 1, true)
        .backend("e1", engine.address)
        .service("stock", &["e1"]);
    view.ready(KEY, "e1").build()
}

/// A stream with one token every 100 ms.
fn slow_stream(request: &FakeRequest) -> Vec<Step> {
    if request.method == "GET" {
        return support::complete_steps(&request.id(), "{}");
    }
    let steps = stream_steps(&request.id(), 0..15, true).into_iter();
    steps.flat_map(|step| [Step::Pause(100), step]).collect()
}

async fn connect(server: &TestServer) -> Sender {
    let stream = TcpStream::connect(server.address()).await.unwrap();
    let (sender, driver) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(driver);
    sender
}

async fn get_stock(sender: &mut Sender) -> (u16, String) {
    let request = http::Request::get("/services/stock/a").header("host", "x");
    let request = request.body(Empty::new()).unwrap();
    sender.ready().await.unwrap();
    let response = sender.send_request(request).await.unwrap();
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}

#[googletest::test]
#[tokio::test]
async fn drain_finishes_long_streams() {
    let engine = FakeBackend::start(slow_stream).await;
    let server = TestServer::start(view_with(&engine), limits()).await;
    let mut old = connect(&server).await;
    expect_that!(get_stock(&mut old).await.0, eq(200));
    let handle = Arc::clone(&server.handle);
    let start = Instant::now();
    let drain = tokio::spawn(async move { handle.drain().await });
    let streams = async {
        let early = server.chat_stream("quotes");
        let late = async {
            tokio::time::sleep(Duration::from_millis(350)).await;
            let served = get_stock(&mut old).await;
            (served, server.chat_stream("quotes").await)
        };
        tokio::join!(early, late)
    };
    let after = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        let mut new = connect(&server).await;
        get_stock(&mut new).await
    };
    let ((early, (served, late)), refused) = tokio::join!(streams, after);
    expect_that!(served.0, eq(200));
    for stream in [early, late] {
        expect_that!(stream.complete, eq(true));
        expect_that!(stream.body.matches("position").count(), eq(15));
    }
    expect_that!(refused.0, eq(503));
    expect_that!(refused.1, contains_substring("\"code\":206"));
    expect_that!(refused.1, contains_substring("not_run"));
    drain.await.unwrap();
    expect_that!(start.elapsed(), ge(Duration::from_millis(1_500)));
    expect_that!(
        TcpStream::connect(server.address()).await.is_err(),
        eq(true)
    );
}

#[googletest::test]
#[tokio::test]
async fn drain_closes_idle_connections() {
    let engine = FakeBackend::start(slow_stream).await;
    let server = TestServer::start(view_with(&engine), limits()).await;
    let mut idle = connect(&server).await;
    expect_that!(get_stock(&mut idle).await.0, eq(200));
    let start = Instant::now();
    server.handle.drain().await;
    expect_that!(start.elapsed(), lt(Duration::from_secs(2)));
}

#[googletest::test]
#[tokio::test]
async fn connections_beyond_limit_refused() {
    let engine = FakeBackend::start(slow_stream).await;
    let server = TestServer::start(view_with(&engine), limits()).await;
    let mut held = Vec::new();
    for _ in 0..4 {
        let mut sender = connect(&server).await;
        expect_that!(get_stock(&mut sender).await.0, eq(200));
        held.push(sender);
    }
    let (status, body) = get_stock(&mut connect(&server).await).await;
    expect_that!(status, eq(503));
    expect_that!(body, contains_substring("\"code\":208"));
    held.clear();
    tokio::time::sleep(Duration::from_millis(50)).await;
    expect_that!(get_stock(&mut connect(&server).await).await.0, eq(200));
}
