//! Calls over pooled connections: which connection is used, and whether the call was sent.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use http::{HeaderMap, Method, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use ward_backend::request::{
    BackendCall, BackendClient, CallBody, CallError, ClientLimits, ConnectionUse,
};
use ward_protocol::RequestId;

#[derive(Clone, Default)]
struct ServerCounts {
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

/// Starts a server that sends `answer` to each request; `close` ends the connection after it.
async fn start_server(answer: &'static str, close: bool) -> (SocketAddr, ServerCounts) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counts = ServerCounts::default();
    let shared = counts.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            shared.connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(serve(stream, answer, close, shared.clone()));
        }
    });
    (address, counts)
}

async fn serve(mut stream: TcpStream, answer: &str, close: bool, counts: ServerCounts) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let length = stream.read(&mut buffer).await.unwrap_or(0);
        if length == 0 {
            return;
        }
        counts.requests.fetch_add(1, Ordering::Relaxed);
        let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
        let line = text.lines().find(|line| line.starts_with("x-request-id"));
        let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", line.unwrap());
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(answer.as_bytes()).await.unwrap();
        if close {
            return;
        }
    }
}

fn call_to(address: SocketAddr, limit: Duration, connection: ConnectionUse) -> BackendCall {
    let deadline = Instant::now() + limit;
    BackendCall {
        address,
        method: Method::POST,
        target: Uri::from_static("/x"),
        headers: HeaderMap::new(),
        body: CallBody::default(),
        request: RequestId::random(),
        send_by: deadline,
        answer_by: deadline,
        connection,
    }
}

const SECOND: Duration = Duration::from_secs(1);
const SHORT_ANSWER: &str = "content-length: 2\r\n\r\nok";

async fn send_and_read(
    client: &BackendClient,
    address: SocketAddr,
    connection: ConnectionUse,
) -> String {
    let answer = client
        .send(call_to(address, SECOND, connection))
        .await
        .unwrap();
    let deadline = Instant::now() + SECOND;
    let body = answer.body.read_all(1 << 10, deadline).await.unwrap();
    String::from_utf8_lossy(&body).into_owned()
}

#[googletest::test]
#[tokio::test]
async fn connections_pooled_or_fresh() {
    let (address, counts) = start_server(SHORT_ANSWER, false).await;
    let client = BackendClient::new(ClientLimits::default());
    for _ in 0..5 {
        expect_that!(
            send_and_read(&client, address, ConnectionUse::Pooled).await,
            eq("ok")
        );
    }
    expect_that!(counts.connections.load(Ordering::Relaxed), eq(1));
    for _ in 0..3 {
        expect_that!(
            send_and_read(&client, address, ConnectionUse::Fresh).await,
            eq("ok")
        );
    }
    expect_that!(counts.connections.load(Ordering::Relaxed), eq(4));
}

#[googletest::test]
#[tokio::test]
async fn closed_idle_connection_replaced() {
    let (address, counts) = start_server(SHORT_ANSWER, true).await;
    let client = BackendClient::new(ClientLimits::default());
    for _ in 0..5 {
        expect_that!(
            send_and_read(&client, address, ConnectionUse::Pooled).await,
            eq("ok")
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    expect_that!(counts.requests.load(Ordering::Relaxed), eq(5));
}

#[googletest::test]
#[tokio::test]
async fn unread_answer_ends_its_connection() {
    let (address, counts) = start_server("content-length: 100\r\n\r\nhalf", false).await;
    let client = BackendClient::new(ClientLimits::default());
    for _ in 0..3 {
        let call = call_to(address, SECOND, ConnectionUse::Pooled);
        let mut answer = client.send(call).await.unwrap();
        expect_that!(answer.body.chunk().await.unwrap().is_some(), eq(true));
    }
    expect_that!(counts.connections.load(Ordering::Relaxed), eq(3));
}

#[googletest::test]
#[tokio::test]
async fn refused_connection_is_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = BackendClient::new(ClientLimits::default());
    let call = call_to(address, SECOND, ConnectionUse::Fresh);
    let error = client.send(call).await.unwrap_err();
    expect_that!(error, matches_pattern!(CallError::Connect(_)));
    expect_that!(error.is_unsent(), eq(true));
}

#[googletest::test]
#[tokio::test]
async fn expired_call_never_sent() {
    let (address, counts) = start_server(SHORT_ANSWER, false).await;
    let client = BackendClient::new(ClientLimits::default());
    send_and_read(&client, address, ConnectionUse::Pooled).await;
    let error = client
        .send(call_to(address, Duration::ZERO, ConnectionUse::Pooled))
        .await;
    expect_that!(error.unwrap_err(), matches_pattern!(CallError::Expired));
    expect_that!(counts.requests.load(Ordering::Relaxed), eq(1));
}

#[googletest::test]
#[tokio::test(flavor = "current_thread")]
async fn freeze_before_first_byte() {
    let (address, counts) = start_server(SHORT_ANSWER, false).await;
    let client = BackendClient::new(ClientLimits::default());
    send_and_read(&client, address, ConnectionUse::Pooled).await;
    tokio::task::yield_now().await;
    // The connection's task cannot write while the thread sleeps.
    let freeze = async { std::thread::sleep(Duration::from_millis(100)) };
    let call = call_to(address, Duration::from_millis(50), ConnectionUse::Pooled);
    let (result, ()) = tokio::join!(client.send(call), freeze);
    expect_that!(result.unwrap_err(), matches_pattern!(CallError::Expired));
    tokio::time::sleep(Duration::from_millis(50)).await;
    expect_that!(counts.requests.load(Ordering::Relaxed), eq(1));
}
