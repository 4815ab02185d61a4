//! The append queue: batching, bounds, results.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use futures::future::join_all;
use googletest::prelude::*;
use prometheus::Registry;
use ward_platform::{AppendQueue, LogClient, LogTimeouts, QueueLimits};
use ward_protocol::{AppendResult, LogOffset, LogStream, TimeSpan};
use ward_standin::{LogFaults, LogHistory, LogSettings, LogStandin, RunningStandin};
use ward_test_support::StandinControl;

const STREAM: LogStream = LogStream::Requests(3);
const TIMEOUTS: LogTimeouts = LogTimeouts {
    append: TimeSpan::from_millis(400),
    read: TimeSpan::from_millis(400),
};

struct QueueFixture {
    standin: RunningStandin,
    client: LogClient,
    queue: AppendQueue,
    registry: Registry,
}

impl QueueFixture {
    async fn start(faults: LogFaults, limits: QueueLimits) -> Self {
        let listen = "127.0.0.1:0".parse().unwrap();
        let standin = LogStandin::start(LogSettings { listen, faults })
            .await
            .unwrap();
        let client = LogClient::new(standin.address, TIMEOUTS);
        let registry = Registry::new();
        let queue = AppendQueue::start(client.clone(), STREAM, limits, &registry).unwrap();
        Self {
            standin,
            client,
            queue,
            registry,
        }
    }

    async fn append_all(&self, count: u8) -> Vec<AppendResult> {
        join_all((0..count).map(|number| self.queue.append(vec![number]))).await
    }

    async fn stored_bytes(&self) -> Vec<u8> {
        let read = self
            .client
            .read(STREAM, LogOffset::ZERO, 1_000, TimeSpan::ZERO)
            .await
            .unwrap();
        let bytes = read.records.into_iter().flat_map(|record| record.bytes);
        bytes.collect()
    }

    async fn append_count(&self) -> usize {
        let control = StandinControl::new(self.standin.address);
        let history: LogHistory = control.history().await.unwrap();
        history.streams[&STREAM.to_string()].appends.len()
    }
}

fn slow(millis: u64) -> LogFaults {
    LogFaults {
        slow_ms: millis,
        ..LogFaults::default()
    }
}

#[googletest::test]
#[tokio::test]
async fn queue_merges_in_order() {
    let fixture = QueueFixture::start(slow(20), QueueLimits::default()).await;
    let results = fixture.append_all(100).await;
    expect_that!(results, each(eq(&AppendResult::Stored)));
    expect_that!(
        fixture.stored_bytes().await,
        eq(&(0..100).collect::<Vec<u8>>())
    );
    expect_that!(fixture.append_count().await, le(3));
    let waits = fixture
        .registry
        .gather()
        .into_iter()
        .find(|family| family.name() == "ward_log_append_wait_seconds")
        .unwrap();
    let sampled = waits.get_metric()[0].get_histogram().get_sample_count();
    expect_that!(sampled, eq(100));
}

#[googletest::test]
#[tokio::test]
async fn queue_splits_by_bytes() {
    let limits = QueueLimits {
        max_batch_bytes: 10,
        ..QueueLimits::default()
    };
    let fixture = QueueFixture::start(LogFaults::default(), limits).await;
    let records = [6, 6, 6, 40, 2].map(|length| vec![0; length]);
    let results = join_all(records.map(|record| fixture.queue.append(record))).await;
    expect_that!(results, each(eq(&AppendResult::Stored)));
    expect_that!(fixture.append_count().await, eq(5));
}

#[googletest::test]
#[tokio::test]
async fn queue_full() {
    let limits = QueueLimits {
        max_waiting: 4,
        ..QueueLimits::default()
    };
    let fixture = QueueFixture::start(slow(100), limits).await;
    let results = fixture.append_all(20).await;
    let stored = results
        .iter()
        .filter(|result| **result == AppendResult::Stored)
        .count();
    expect_that!(stored, all!(ge(4), lt(20)));
    // Refused records are not in the log.
    expect_that!(fixture.stored_bytes().await.len(), eq(stored));
}

#[googletest::test]
#[tokio::test]
async fn queue_waits_too_long() {
    let limits = QueueLimits {
        max_batch_records: 1,
        max_wait: TimeSpan::from_millis(100),
        ..QueueLimits::default()
    };
    let fixture = QueueFixture::start(slow(200), limits).await;
    let results = fixture.append_all(3).await;
    let expected = [
        AppendResult::Stored,
        AppendResult::Refused,
        AppendResult::Refused,
    ];
    expect_that!(results, eq(&expected.to_vec()));
    expect_that!(fixture.stored_bytes().await, eq(&vec![0]));
}

#[googletest::test]
#[tokio::test]
async fn queue_lost_answer() {
    let faults = LogFaults {
        lose_answers: 1,
        ..LogFaults::default()
    };
    let fixture = QueueFixture::start(faults, QueueLimits::default()).await;
    expect_that!(
        fixture.queue.append(vec![1]).await,
        eq(AppendResult::Unknown)
    );
    expect_that!(
        fixture.queue.append(vec![2]).await,
        eq(AppendResult::Stored)
    );
    expect_that!(fixture.stored_bytes().await, eq(&vec![1, 2]));
}

#[googletest::test]
#[tokio::test]
async fn queue_log_gone() {
    let fixture = QueueFixture::start(LogFaults::default(), QueueLimits::default()).await;
    fixture.standin.stop();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let results = fixture.queue.append(vec![1]).await;
    expect_that!(results, eq(AppendResult::Refused));
}
