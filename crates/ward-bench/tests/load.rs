//! The load generator against a small server.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use ward_bench::load::{LoadTask, run_load};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// Answers each read at once, but the first only after a stall.
async fn serve(mut stream: TcpStream, stall: Duration) {
    let mut buffer = [0; 4_096];
    let mut wait = stall;
    while stream.read(&mut buffer).await.unwrap_or(0) > 0 {
        tokio::time::sleep(wait).await;
        wait = Duration::ZERO;
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

#[googletest::test]
#[tokio::test]
async fn run_load_counts_from_intended_start() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve(stream, Duration::from_millis(500)).await;
    });
    let task = LoadTask::new(address, "m".to_owned(), 100, 1, 1, false).unwrap();
    let report = run_load(task).await.unwrap();
    expect_that!(report.answered, eq(100));
    // The stall delays all requests due in its half second, although only one was being
    // answered.
    expect_that!(report.p50, gt(10_000));
    expect_that!(report.max, ge(500_000));
}

#[googletest::test]
fn load_task_bounds() {
    let task = |address: &str, rate| {
        LoadTask::new(address.parse().unwrap(), "m".to_owned(), rate, 1, 1, false)
    };
    expect_that!(task("10.0.0.1:80", 10), err(anything()));
    expect_that!(task("127.0.0.1:80", 0), err(anything()));
    expect_that!(task("127.0.0.1:80", 20_001), err(anything()));
    expect_that!(task("[::1]:80", 10), ok(anything()));
}
