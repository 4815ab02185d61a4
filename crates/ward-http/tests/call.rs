//! Tests which errors say that a call had no effect, and the limits on the size of an
//! answer and on the time until it is complete.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use ward_http::{
    AnswerPace, AnswerProgress, CallBounds, CallError, HttpClient, HttpReply, ReplyError,
    json_request,
};
use ward_protocol::TimeSpan;

const BOUNDS: CallBounds = CallBounds {
    timeout: TimeSpan::from_millis(300),
    answer_bytes: 64,
};

/// Answers each connection with fixed bytes and closes it.
async fn server(answer: impl Into<String>) -> SocketAddr {
    let answer = answer.into();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 1_024];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

async fn call(address: SocketAddr) -> std::result::Result<HttpReply, CallError> {
    let request = json_request(Method::POST, address, "/", "{}").unwrap();
    HttpClient::new().call(request, BOUNDS).await
}

#[googletest::test]
#[tokio::test]
async fn call_answered() {
    let address = server("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n17").await;
    let reply = call(address).await.unwrap();
    expect_that!(reply.json::<u8>(), ok(eq(&17)));
    expect_that!(
        reply.json::<String>(),
        err(pat!(ReplyError::Json(anything())))
    );
}

#[googletest::test]
#[tokio::test]
async fn call_error_status() {
    let address = server("HTTP/1.1 500 No\r\ncontent-length: 2\r\n\r\n17").await;
    let reply = call(address).await.unwrap();
    expect_that!(
        reply.json::<u8>(),
        err(pat!(ReplyError::Status(anything())))
    );
}

#[googletest::test]
#[tokio::test]
async fn call_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = call(address).await.unwrap_err();
    expect_that!(error.is_unsent(), eq(true));
    let error = json_request(Method::GET, address, " not a path", "").unwrap_err();
    expect_that!(error.is_unsent(), eq(true));
}

#[googletest::test]
#[tokio::test]
async fn call_lost() {
    let cases = [
        "",
        "HTTP/1.1 200",
        "not http at all\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n17",
    ];
    for answer in cases {
        let error = call(server(answer).await).await.unwrap_err();
        expect_that!(error, pat!(CallError::Lost(anything())), "{answer:?}");
        expect_that!(error.is_unsent(), eq(false), "{answer:?}");
    }
}

#[googletest::test]
#[tokio::test]
async fn call_too_long() {
    let with_length = format!("content-length: 65\r\n\r\n{}", "x".repeat(65));
    let without_length = format!("connection: close\r\n\r\n{}", "x".repeat(1_000));
    for rest in [with_length, without_length] {
        let address = server(format!("HTTP/1.1 200 OK\r\n{rest}")).await;
        let error = call(address).await.unwrap_err();
        expect_that!(error, pat!(CallError::TooLong(eq(&64))));
    }
}

#[googletest::test]
#[tokio::test]
async fn call_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let error = call(listener.local_addr().unwrap()).await.unwrap_err();
    expect_that!(error, pat!(CallError::Timeout(eq(&BOUNDS.timeout))));
    expect_that!(error.is_unsent(), eq(false));
}

/// Answers with these parts, each after this delay, and keeps the connection open.
async fn slow_server(parts: &'static [&'static str], delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let _count = stream.read(&mut request).await.unwrap();
        for part in parts {
            tokio::time::sleep(delay).await;
            if stream.write_all(part.as_bytes()).await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    });
    address
}

async fn call_paced(address: SocketAddr) -> std::result::Result<HttpReply, CallError> {
    let request = json_request(Method::GET, address, "/", "").unwrap();
    let pace = AnswerPace {
        part_timeout: BOUNDS.timeout,
        body_timeout: TimeSpan::from_secs(2),
    };
    let progress = AnswerProgress::default();
    let client = HttpClient::new();
    let result = client.call_paced(request, BOUNDS, pace, &progress).await;
    expect_true!(progress.has_begun());
    result
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";

#[googletest::test]
#[tokio::test]
async fn paced_call_longer_than_its_timeout_was_cut() {
    let parts = &[HEAD, "a", "b", "c", "d"];
    let address = slow_server(parts, Duration::from_millis(150)).await;
    let reply = call_paced(address).await.unwrap();
    expect_that!(reply.body.as_ref(), eq(b"abcd"));
}

#[googletest::test]
#[tokio::test]
async fn paced_call_stalled() {
    let address = slow_server(&[HEAD, "a"], Duration::from_millis(10)).await;
    let error = call_paced(address).await.unwrap_err();
    expect_that!(error, pat!(CallError::Timeout(eq(&BOUNDS.timeout))));
}
