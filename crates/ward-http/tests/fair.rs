//! Servers whose bytes never run out: their reader must leave time for other tasks.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::Method;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpListener;
use ward_http::{
    CallBounds, CallError, FairStream, HeadLimit, HttpClient, HttpReply, json_request,
};
use ward_protocol::TimeSpan;

const BOUNDS: CallBounds = CallBounds {
    timeout: TimeSpan::from_secs(2),
    answer_bytes: 1 << 20,
};
const INTERIM_HEAD: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Longer than any head may be.
const LONG_BODY_BYTES: usize = 512 << 10;

/// A stream that always has bytes to read, and takes all that are written.
struct EndlessStream;

impl AsyncRead for EndlessStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let bytes = vec![b'x'; buffer.remaining()];
        buffer.put_slice(&bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EndlessStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Reads until an error; returns the number of bytes that came before it.
async fn bytes_until_error(stream: &mut FairStream<EndlessStream>) -> usize {
    let mut count = 0;
    let mut buffer = vec![0; 8 << 10];
    while let Ok(read) = stream.read(&mut buffer).await {
        count += read;
    }
    count
}

/// Starts a server that answers each request with interim heads, `count` of them, and a
/// long body.
async fn start_server(count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = vec![0; 4 << 10];
                while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
                    let head =
                        format!("HTTP/1.1 200 OK\r\ncontent-length: {LONG_BODY_BYTES}\r\n\r\n");
                    let mut answer = INTERIM_HEAD.repeat(count);
                    answer.extend_from_slice(head.as_bytes());
                    answer.resize(answer.len() + LONG_BODY_BYTES, b'x');
                    if stream.write_all(&answer).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

async fn call(
    client: &HttpClient,
    address: SocketAddr,
) -> std::result::Result<HttpReply, CallError> {
    let request = json_request(Method::POST, address, "/", "1").unwrap();
    client.call(request, BOUNDS).await
}

#[gtest]
#[tokio::test]
async fn endless_bytes_kept_all_other_tasks_waiting() {
    let mut stream = FairStream::new(EndlessStream, HeadLimit::default());
    let reader = tokio::spawn(async move {
        let mut buffer = vec![0; 8 << 10];
        let end = Instant::now() + Duration::from_secs(1);
        while Instant::now() < end {
            // Without the runtime's own budget, which counts reads and not their bytes.
            tokio::task::unconstrained(stream.read(&mut buffer))
                .await
                .unwrap();
        }
    });
    let mut turns = 0;
    while !reader.is_finished() {
        tokio::task::yield_now().await;
        turns += 1;
    }
    expect_that!(turns, gt(100));
}

#[gtest]
#[tokio::test]
async fn head_limit_ends_an_answer_that_never_begins() {
    let mut stream = FairStream::new(EndlessStream, HeadLimit::default());
    stream.write_all(b"a request").await.unwrap();
    expect_that!(bytes_until_error(&mut stream).await, eq(64 << 10));
}

#[gtest]
#[tokio::test]
async fn head_limit_holds_again_once_it_is_armed() {
    let limit = HeadLimit::default();
    let mut stream = FairStream::new(EndlessStream, limit.clone());
    stream.write_all(b"a request").await.unwrap();
    limit.lift();
    let mut buffer = vec![0; LONG_BODY_BYTES];
    stream.read_exact(&mut buffer).await.unwrap();
    limit.arm();
    stream.write_all(b"a request").await.unwrap();
    expect_that!(bytes_until_error(&mut stream).await, eq(64 << 10));
}

#[gtest]
#[tokio::test]
async fn call_with_some_interim_heads_gets_the_whole_answer() {
    let address = start_server(20).await;
    let client = HttpClient::new();
    for _ in 0..3 {
        let reply = call(&client, address).await.unwrap();
        expect_that!(reply.body.len(), eq(LONG_BODY_BYTES));
    }
}

#[gtest]
#[tokio::test]
async fn call_with_too_many_interim_heads_fails_at_once() {
    let address = start_server(100_000).await;
    let begun = Instant::now();
    let result = call(&HttpClient::new(), address).await;
    expect_true!(matches!(result, Err(CallError::Lost(_))));
    expect_that!(begun.elapsed(), lt(Duration::from_secs(1)));
}
