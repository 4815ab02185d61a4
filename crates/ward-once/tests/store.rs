//! The store on top of a log that fails, delays appends and loses answers.

#![allow(clippy::unwrap_used)]

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use googletest::prelude::*;
use slog::{Discard, Logger, o};
use tokio::time::Instant;
use ward_once::{BeginOutcome, OnceSettings, OnceStore, ShardPorts, ShardRead, ShardReadError};
use ward_protocol::{
    AppendResult, IdempotencyKey, Incarnation, LogOffset, RawRecord, RequestFingerprint,
    RequestRecord, TimeSpan,
};

/// A log stream in memory with faults that a test switches on.
#[derive(Default)]
struct FakeLog {
    records: Mutex<Vec<Vec<u8>>>,
    down: AtomicBool,
    /// Number of further appends that are stored but answered with `Unknown`.
    lost_answers: AtomicU32,
    /// Delay of an append before it is stored, in milliseconds.
    delay: AtomicU32,
}

impl FakeLog {
    fn ports(self: &Arc<Self>) -> ShardPorts {
        let (append, read) = (Arc::clone(self), Arc::clone(self));
        ShardPorts {
            append: Box::new(move |bytes| Arc::clone(&append).append(bytes).boxed()),
            read: Box::new(move |from| Arc::clone(&read).read(from).boxed()),
        }
    }

    async fn append(self: Arc<Self>, bytes: Vec<u8>) -> AppendResult {
        let delay = u64::from(self.delay.load(Ordering::SeqCst));
        // In its own task: a caller that gives up does not cancel an append in flight.
        let arrival = async move {
            tokio::time::sleep(Duration::from_millis(delay)).await;
            self.store(bytes)
        };
        tokio::spawn(arrival).await.unwrap()
    }

    fn store(&self, bytes: Vec<u8>) -> AppendResult {
        if self.down.load(Ordering::SeqCst) {
            return AppendResult::Refused;
        }
        self.records.lock().unwrap().push(bytes);
        let lost = |count: u32| count.checked_sub(1);
        match self
            .lost_answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, lost)
        {
            Ok(_) => AppendResult::Unknown,
            Err(_) => AppendResult::Stored,
        }
    }

    async fn read(
        self: Arc<Self>,
        from: LogOffset,
    ) -> std::result::Result<ShardRead, ShardReadError> {
        tokio::time::sleep(Duration::from_millis(5)).await;
        if self.down.load(Ordering::SeqCst) {
            return Err(ShardReadError::Log("down".to_owned()));
        }
        let records = self.records.lock().unwrap();
        let found = records
            .iter()
            .zip(1..)
            .filter(|(_, offset)| *offset >= from.0)
            .map(|(bytes, offset)| RawRecord {
                offset: LogOffset(offset),
                bytes: bytes.clone(),
            })
            .collect();
        Ok(ShardRead {
            records: found,
            end: LogOffset(records.len() as u64),
        })
    }
}

async fn store(log: &Arc<FakeLog>, name: &str, lost: &'static str) -> Arc<OnceStore> {
    let settings = OnceSettings {
        daemon: name.parse().unwrap(),
        incarnation: Incarnation(1),
        key_retention: TimeSpan::from_secs(3_600),
        kept_answer_bytes: 1_000,
        read_back_timeout: TimeSpan::from_millis(400),
        cache_bytes: 10_000,
    };
    let is_member = Box::new(move |daemon: &ward_protocol::DaemonId, _| daemon.as_str() != lost);
    let logger = Logger::root(Discard, o!());
    let store = OnceStore::start(settings, vec![log.ports()], is_member, logger).unwrap();
    while !store.is_caught_up() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    store
}

fn key(text: &str) -> IdempotencyKey {
    text.parse().unwrap()
}

fn fingerprint(number: u128) -> RequestFingerprint {
    RequestFingerprint(number)
}

fn deadline_in(millis: u64) -> Instant {
    Instant::now() + Duration::from_millis(millis)
}

fn done(body: &str) -> RequestRecord {
    RequestRecord::Done {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: Some(body.as_bytes().to_vec()),
    }
}

#[tokio::test(start_paused = true)]
async fn concurrent_begins_send_once() {
    let log = Arc::new(FakeLog::default());
    let stores = [
        store(&log, "entry-1", "").await,
        store(&log, "entry-2", "").await,
        store(&log, "entry-3", "").await,
    ];
    let key = key("deposit-1");
    let pairs = stores.iter().flat_map(|store| [store, store]);
    let begins = pairs.map(|store| store.begin(&key, fingerprint(1), deadline_in(300)));
    let outcomes = futures::future::join_all(begins).await;
    let sent = outcomes
        .iter()
        .filter(|outcome| **outcome == BeginOutcome::Send);
    assert_that!(sent.count(), eq(1));
    let waited = outcomes
        .iter()
        .filter(|outcome| **outcome == BeginOutcome::Running);
    assert_that!(waited.count(), eq(5));
}

#[tokio::test(start_paused = true)]
async fn begin_waits_for_running_request() {
    let log = Arc::new(FakeLog::default());
    let first = store(&log, "entry-1", "").await;
    let second = store(&log, "entry-2", "").await;
    let key = key("deposit-1");
    assert_that!(
        first.begin(&key, fingerprint(1), deadline_in(500)).await,
        eq(&BeginOutcome::Send)
    );
    let waiting = tokio::spawn({
        let (second, key) = (Arc::clone(&second), key.clone());
        async move { second.begin(&key, fingerprint(1), deadline_in(5_000)).await }
    });
    tokio::time::sleep(Duration::from_millis(900)).await;
    first.finish(&key, done("charged")).await.unwrap();
    let BeginOutcome::Kept(answer) = waiting.await.unwrap() else {
        panic!("the waiting request got no kept answer");
    };
    assert_that!(answer.body.unwrap(), eq(b"charged"));
    let other = second.begin(&key, fingerprint(2), deadline_in(500)).await;
    assert_that!(other, eq(&BeginOutcome::KeyReused));
}

#[tokio::test(start_paused = true)]
async fn begin_answer_lost_after_effect() {
    let log = Arc::new(FakeLog::default());
    let store = store(&log, "entry-1", "").await;
    log.lost_answers.store(1, Ordering::SeqCst);
    let outcome = store
        .begin(&key("deposit-1"), fingerprint(1), deadline_in(500))
        .await;
    assert_that!(outcome, eq(&BeginOutcome::Send));
}

#[tokio::test(start_paused = true)]
async fn begin_given_up_is_aborted() {
    let log = Arc::new(FakeLog::default());
    let first = store(&log, "entry-1", "").await;
    let second = store(&log, "entry-2", "").await;
    log.delay.store(1_000, Ordering::SeqCst);
    let key = key("deposit-1");
    let task = tokio::spawn({
        let (first, key) = (Arc::clone(&first), key.clone());
        async move { first.begin(&key, fingerprint(1), deadline_in(5_000)).await }
    });
    assert_that!(task.await.unwrap(), eq(&BeginOutcome::LogDown));
    log.delay.store(0, Ordering::SeqCst);
    // The delayed `Begin` arrives, is accepted and aborted by the daemon that gave it up.
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_that!(log.records.lock().unwrap().len(), eq(2));
    assert_that!(
        second.begin(&key, fingerprint(1), deadline_in(500)).await,
        eq(&BeginOutcome::Send)
    );
}

#[tokio::test(start_paused = true)]
async fn begin_dropped_is_aborted() {
    let log = Arc::new(FakeLog::default());
    let first = store(&log, "entry-1", "").await;
    let key = key("deposit-1");
    for millis in [1, 4, 6, 8, 12] {
        let begun = first.begin(&key, fingerprint(1), deadline_in(500));
        let stopped = tokio::time::timeout(Duration::from_millis(millis), begun).await;
        if stopped.is_ok() {
            first.finish(&key, RequestRecord::Abort).await.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        first.flush().await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_that!(
        first.begin(&key, fingerprint(1), deadline_in(500)).await,
        eq(&BeginOutcome::Send)
    );
}

#[tokio::test(start_paused = true)]
async fn begin_of_dead_daemon_in_doubt() {
    let log = Arc::new(FakeLog::default());
    let first = store(&log, "entry-1", "").await;
    let second = store(&log, "entry-2", "entry-1").await;
    let key = key("deposit-1");
    assert_that!(
        first.begin(&key, fingerprint(1), deadline_in(500)).await,
        eq(&BeginOutcome::Send)
    );
    let outcome = second.begin(&key, fingerprint(1), deadline_in(5_000)).await;
    assert_that!(outcome, eq(&BeginOutcome::InDoubt));
    // The daemon was only frozen: its end record still counts.
    first.finish(&key, done("charged")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let outcome = second.begin(&key, fingerprint(1), deadline_in(500)).await;
    assert_that!(matches!(outcome, BeginOutcome::Kept(_)), eq(true));
}

#[tokio::test(start_paused = true)]
async fn begin_log_down() {
    let log = Arc::new(FakeLog::default());
    let store = store(&log, "entry-1", "").await;
    log.down.store(true, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let started = Instant::now();
    let outcome = store
        .begin(&key("deposit-1"), fingerprint(1), deadline_in(5_000))
        .await;
    assert_that!(outcome, eq(&BeginOutcome::LogDown));
    assert_that!(started.elapsed(), lt(Duration::from_millis(50)));
}

#[tokio::test(start_paused = true)]
async fn begin_append_refused() {
    let log = Arc::new(FakeLog::default());
    let store = store(&log, "entry-1", "").await;
    // The store still counts as caught up: no read has failed yet.
    log.down.store(true, Ordering::SeqCst);
    let outcome = store
        .begin(&key("deposit-1"), fingerprint(1), deadline_in(500))
        .await;
    assert_that!(outcome, eq(&BeginOutcome::LogDown));
}

#[tokio::test(start_paused = true)]
async fn finish_survives_outage() {
    let log = Arc::new(FakeLog::default());
    let store = store(&log, "entry-1", "").await;
    let key = key("deposit-1");
    assert_that!(
        store.begin(&key, fingerprint(1), deadline_in(500)).await,
        eq(&BeginOutcome::Send)
    );
    log.down.store(true, Ordering::SeqCst);
    let finish = store.finish(&key, done("charged"));
    tokio::time::sleep(Duration::from_secs(60)).await;
    log.down.store(false, Ordering::SeqCst);
    finish.await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let outcome = store.begin(&key, fingerprint(1), deadline_in(500)).await;
    assert_that!(matches!(outcome, BeginOutcome::Kept(_)), eq(true));
}

#[tokio::test(start_paused = true)]
async fn answer_too_large_not_kept() {
    let log = Arc::new(FakeLog::default());
    let store = store(&log, "entry-1", "").await;
    let key = key("deposit-1");
    assert_that!(
        store.begin(&key, fingerprint(1), deadline_in(500)).await,
        eq(&BeginOutcome::Send)
    );
    store.finish(&key, done(&"x".repeat(2_000))).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let outcome = store.begin(&key, fingerprint(1), deadline_in(500)).await;
    assert_that!(outcome, eq(&BeginOutcome::AnswerLost));
}

#[tokio::test(start_paused = true)]
async fn old_uuid_key_refused() {
    let log = Arc::new(FakeLog::default());
    let store = store(&log, "entry-1", "").await;
    let old = key("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    let outcome = store.begin(&old, fingerprint(1), deadline_in(500)).await;
    assert_that!(outcome, eq(&BeginOutcome::KeyExpired));
}
