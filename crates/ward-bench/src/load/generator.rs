//! Sends requests at intended times, whether or not earlier ones were answered.
//!
//! Latencies count from the intended start, so that they include the delay of
//! requests that could not be sent while the server stalled. The next free
//! connection sends the next request; while none is free, requests are late.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;

use super::task::{LoadError, LoadTask};

const PATH: &str = "/v1/chat/completions";
const REQUEST_ID: &str = "x-request-id";
const PRIORITY: &str = "priority";
/// Priority of every request. Without it, an engine that honours priorities would prefer the
/// requests that a daemon sends.
const PRIORITY_VALUE: &str = "u=3";
/// Time after which an unanswered request counts as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_MICROS: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

type Sender = SendRequest<Full<Bytes>>;

/// Results of a load; latencies are in microseconds from the intended start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Requests answered completely with a status of success.
    pub answered: u64,
    /// Requests that were refused, failed or not answered in time.
    pub failed: u64,
    /// Median latency.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum latency.
    pub max: u64,
}

struct ConnectionResult {
    latencies: Histogram<u64>,
    failed: u64,
}

/// Runs a load to its end.
///
/// # Errors
///
/// When nothing was answered or a histogram cannot be made.
pub async fn run_load(task: LoadTask) -> Result<LoadReport, LoadError> {
    let task = Arc::new(task);
    let next = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let connections: Vec<_> = (0..task.connections())
        .map(|_| tokio::spawn(connection_loop(Arc::clone(&task), Arc::clone(&next), start)))
        .collect();
    let mut latencies = empty_histogram()?;
    let mut failed = 0;
    for connection in connections {
        let result = connection.await.map_err(std::io::Error::other)??;
        latencies += result.latencies;
        failed += result.failed;
    }
    if latencies.is_empty() {
        return Err(LoadError::NoAnswer(task.address()));
    }
    Ok(LoadReport {
        answered: latencies.len(),
        failed,
        p50: latencies.value_at_quantile(0.50),
        p99: latencies.value_at_quantile(0.99),
        p999: latencies.value_at_quantile(0.999),
        max: latencies.max(),
    })
}

fn empty_histogram() -> Result<Histogram<u64>, LoadError> {
    Ok(Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS)?)
}

async fn connection_loop(
    task: Arc<LoadTask>,
    next: Arc<AtomicU64>,
    start: Instant,
) -> Result<ConnectionResult, LoadError> {
    let mut result = ConnectionResult {
        latencies: empty_histogram()?,
        failed: 0,
    };
    let mut sender: Option<Sender> = None;
    loop {
        let request = next.fetch_add(1, Ordering::Relaxed);
        if request >= task.requests() {
            return Ok(result);
        }
        let intended = start + task.intended_start(request).duration();
        tokio::time::sleep_until(intended.into()).await;
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, send_once(&task, &mut sender)).await;
        if matches!(answer, Ok(Some(()))) {
            let micros = u64::try_from(intended.elapsed().as_micros()).unwrap_or(u64::MAX);
            result.latencies.saturating_record(micros);
        } else {
            result.failed += 1;
            sender = None;
        }
    }
}

async fn connect(task: &LoadTask) -> Option<Sender> {
    let stream = TcpStream::connect(task.address()).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends one request and reads the complete answer; `None` unless its status is a success.
async fn send_once(task: &LoadTask, sender: &mut Option<Sender>) -> Option<()> {
    if sender.as_ref().is_none_or(SendRequest::is_closed) {
        *sender = connect(task).await;
    }
    let sender = sender.as_mut()?;
    sender.ready().await.ok()?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header(HOST, task.address().to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(REQUEST_ID, LoadTask::request_id())
        .header(PRIORITY, PRIORITY_VALUE)
        .body(Full::new(Bytes::from(task.body())))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let success = response.status().is_success();
    response.into_body().collect().await.ok()?;
    success.then_some(())
}
