//! The server with slow connections, with too many connections, and while it stops.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use googletest::prelude::*;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use ward_operator::serve::{MAX_CONNECTIONS, serve_operators};
use ward_operator::{
    OperatorCalls, OperatorError, OperatorServer, RequestsAnswer, operator_router,
};
use ward_protocol::{ResultCode, ViewMode};

const CALL: &[u8] = b"GET /requests HTTP/1.1\r\nhost: test\r\n\r\n";
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A server whose `/requests` answers only after `answer` is notified.
struct BlockedServer {
    address: SocketAddr,
    answer: Arc<Notify>,
    stop: Arc<Notify>,
    task: JoinHandle<()>,
}

fn refused<T: Send + 'static>() -> ward_operator::CallFuture<T> {
    let error = OperatorError::refused(ResultCode::StateMissing, "not here");
    std::future::ready(Err(error)).boxed()
}

async fn start() -> BlockedServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(Notify::new());
    let stop = Arc::new(Notify::new());
    let allowed = Arc::clone(&answer);
    let calls = OperatorCalls {
        submit: Arc::new(|_| refused()),
        plan: Arc::new(|_| refused()),
        history: Arc::new(|_| refused()),
        plan_status: Arc::new(refused),
        hosts: Arc::new(refused),
        models: Arc::new(refused),
        requests: Arc::new(move || {
            let allowed = Arc::clone(&allowed);
            async move {
                allowed.notified().await;
                Ok(RequestsAnswer::default())
            }
            .boxed()
        }),
        dump: Arc::new(refused),
        mode: Arc::new(|| ViewMode::Full),
    };
    let log = Logger::root(Discard, o!());
    let registry = prometheus::Registry::new();
    let server = OperatorServer::new(calls, None, registry, log.clone()).unwrap();
    let router = operator_router(Arc::new(server));
    let stopped = Arc::clone(&stop);
    let stopping = async move { stopped.notified().await };
    let task = tokio::spawn(serve_operators(listener, router, stopping, log));
    BlockedServer {
        address,
        answer,
        stop,
        task,
    }
}

/// Reads until the server closes the connection.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    timeout(WAIT_TIMEOUT, stream.read_to_end(&mut bytes))
        .await
        .unwrap()
        .unwrap();
    String::from_utf8(bytes).unwrap()
}

#[googletest::test]
#[tokio::test]
async fn serve_stop_finishes_open_call() {
    let server = start().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(CALL).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    server.stop.notify_one();
    sleep(Duration::from_millis(100)).await;
    expect_that!(server.task.is_finished(), eq(false));
    server.answer.notify_one();
    expect_that!(read_all(&mut stream).await, starts_with("HTTP/1.1 200"));
    timeout(WAIT_TIMEOUT, server.task).await.unwrap().unwrap();
    expect_that!(TcpStream::connect(server.address).await, err(anything()));
}

#[googletest::test]
#[tokio::test]
async fn serve_stop_closes_idle_connection() {
    let server = start().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    server.stop.notify_one();
    expect_that!(read_all(&mut stream).await, eq(""));
    timeout(WAIT_TIMEOUT, server.task).await.unwrap().unwrap();
}

#[googletest::test]
#[tokio::test]
async fn serve_slow_header_times_out() {
    let server = start().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream
        .write_all(b"GET /requests HTTP/1.1\r\n")
        .await
        .unwrap();
    let text = read_all(&mut stream).await;
    expect_that!(text, not(contains_substring("HTTP/1.1 200")));
}

#[googletest::test]
#[tokio::test]
async fn serve_surplus_connection_waits() {
    let server = start().await;
    let mut streams = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut stream = TcpStream::connect(server.address).await.unwrap();
        stream.write_all(CALL).await.unwrap();
        streams.push(stream);
    }
    sleep(Duration::from_millis(200)).await;
    let mut surplus = TcpStream::connect(server.address).await.unwrap();
    let health = b"GET /healthz HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
    surplus.write_all(health).await.unwrap();
    let mut byte = [0];
    let early = timeout(Duration::from_millis(300), surplus.read(&mut byte)).await;
    expect_that!(early, err(anything()));
    drop(streams.pop());
    expect_that!(read_all(&mut surplus).await, starts_with("HTTP/1.1 200"));
}
