//! The result of an append is true under any fault of the log: an acknowledged
//! record is stored once, a refused one never, one in doubt at most once.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use futures::future::join_all;
use googletest::prelude::*;
use indexmap::IndexMap;
use prometheus::Registry;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ward_platform::{AppendQueue, LogClient, LogTimeouts, QueueLimits};
use ward_protocol::{AppendResult, LogOffset, LogStream, TimeSpan};
use ward_standin::{LogFaults, LogSettings, LogStandin};
use ward_test_support::StandinControl;

const STREAM: LogStream = LogStream::Control;
const SEEDS: u64 = 6;
const ROUNDS: u32 = 30;
const RECORDS_PER_ROUND: u32 = 8;
const TIMEOUTS: LogTimeouts = LogTimeouts {
    append: TimeSpan::from_millis(40),
    read: TimeSpan::from_secs(5),
};
const LIMITS: QueueLimits = QueueLimits {
    max_waiting: 12,
    max_batch_records: 4,
    max_batch_bytes: 1 << 10,
    max_wait: TimeSpan::from_millis(60),
};

fn random_faults(random: &mut ChaCha8Rng) -> LogFaults {
    let mut faults = LogFaults::default();
    match random.random_range(0..8) {
        0 => faults.down = true,
        1 => faults.refuse = true,
        2 => faults.slow_ms = random.random_range(0..80),
        3 => faults.lose_answers = random.random_range(1..3),
        4 => faults.truncate_answers = random.random_range(1..3),
        5 => faults.appends_per_second = Some(random.random_range(1..20)),
        6 => faults.skip = random.random_range(0..5),
        _ => {}
    }
    faults
}

/// Reads the whole stream; returns how often each record is stored.
async fn count_stored(client: &LogClient) -> IndexMap<Vec<u8>, u32> {
    let mut counts = IndexMap::new();
    let mut from = LogOffset(1);
    loop {
        let read = client.read(STREAM, from, 50, TimeSpan::ZERO).await.unwrap();
        let Some(last) = read.records.last() else {
            return counts;
        };
        from = LogOffset(last.offset.0 + 1);
        for record in read.records {
            *counts.entry(record.bytes).or_insert(0) += 1;
        }
    }
}

async fn run_session(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let settings = LogSettings {
        listen: "127.0.0.1:0".parse().unwrap(),
        faults: LogFaults::default(),
    };
    let standin = LogStandin::start(settings).await.unwrap();
    let control = StandinControl::new(standin.address);
    let client = LogClient::new(standin.address, TIMEOUTS);
    let registry = Registry::new();
    let queue = AppendQueue::start(client.clone(), STREAM, LIMITS, &registry).unwrap();
    let mut results = IndexMap::new();
    for round in 0..ROUNDS {
        control
            .set_faults(&random_faults(&mut random))
            .await
            .unwrap();
        let records = (0..RECORDS_PER_ROUND).map(|number| {
            let record = format!("{round}.{number}").into_bytes();
            let queue = &queue;
            async move {
                let result = queue.append(record.clone()).await;
                (record, result)
            }
        });
        results.extend(join_all(records).await);
    }
    control.set_faults(&LogFaults::default()).await.unwrap();
    // An append that timed out at the client may still be in flight.
    tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    let counts = count_stored(&client).await;
    for (record, result) in &results {
        let count = counts.get(record).copied().unwrap_or(0);
        let allowed = match result {
            AppendResult::Stored => 1..=1,
            AppendResult::Refused => 0..=0,
            AppendResult::Unknown => 0..=1,
        };
        let text = String::from_utf8_lossy(record);
        expect_that!(
            allowed.contains(&count),
            eq(true),
            "seed {seed}: {text} {result:?}"
        );
    }
    let occurs = |result_kind| results.values().any(|result| *result == result_kind);
    for result_kind in [
        AppendResult::Stored,
        AppendResult::Refused,
        AppendResult::Unknown,
    ] {
        expect_that!(
            occurs(result_kind),
            eq(true),
            "seed {seed}: never {result_kind:?}"
        );
    }
}

#[googletest::test]
#[tokio::test]
async fn append_outcome_random_faults() {
    join_all((0..SEEDS).map(run_session)).await;
}
