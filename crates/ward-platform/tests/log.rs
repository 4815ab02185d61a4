//! Appends and reads, and how the client reports faults of the log.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use googletest::prelude::*;
use ward_platform::{AppendCause, AppendError, LogClient, LogTimeouts, ReadError};
use ward_protocol::{AppendResult, LogOffset, LogStream, TimeSpan};
use ward_standin::{LogFaults, LogSettings, LogStandin, RunningStandin};
use ward_test_support::StandinControl;

const STREAM: LogStream = LogStream::Control;
const TIMEOUTS: LogTimeouts = LogTimeouts {
    append: TimeSpan::from_millis(300),
    read: TimeSpan::from_millis(300),
};

async fn start(faults: LogFaults) -> (RunningStandin, LogClient) {
    let listen = "127.0.0.1:0".parse().unwrap();
    let standin = LogStandin::start(LogSettings { listen, faults })
        .await
        .unwrap();
    let client = LogClient::new(standin.address, TIMEOUTS);
    (standin, client)
}

fn record(text: &str) -> Vec<u8> {
    text.as_bytes().to_vec()
}

async fn read_texts(client: &LogClient, from: u64) -> Vec<(u64, String)> {
    let read = client
        .read(STREAM, LogOffset(from), 100, TimeSpan::ZERO)
        .await
        .unwrap();
    let pairs = read.records.into_iter().map(|record| {
        let text = String::from_utf8(record.bytes).unwrap();
        (record.offset.0, text)
    });
    pairs.collect()
}

fn is_refused(error: &AppendError) -> bool {
    error.result() == AppendResult::Refused
}

#[googletest::test]
#[tokio::test]
async fn append_read_offsets() {
    let (_standin, client) = start(LogFaults::default()).await;
    let empty = client
        .read(STREAM, LogOffset::ZERO, 10, TimeSpan::ZERO)
        .await
        .unwrap();
    expect_that!(empty.end, eq(LogOffset::ZERO));
    expect_that!(empty.cut, none());
    let first = client.append(STREAM, vec![record("a"), record("b")]).await;
    expect_that!(first.unwrap(), eq(LogOffset(1)));
    let next = client.append(STREAM, vec![record("c")]).await;
    expect_that!(next.unwrap(), eq(LogOffset(3)));
    let read = read_texts(&client, 2).await;
    expect_that!(read, eq(&vec![(2, "b".to_owned()), (3, "c".to_owned())]));
}

#[googletest::test]
#[tokio::test]
async fn read_waits_for_append() {
    let (_standin, client) = start(LogFaults::default()).await;
    let reader = client.clone();
    let waiting = tokio::spawn(async move {
        reader
            .read(STREAM, LogOffset(1), 10, TimeSpan::from_secs(5))
            .await
    });
    client.append(STREAM, vec![record("a")]).await.unwrap();
    let read = waiting.await.unwrap().unwrap();
    expect_that!(read.records.len(), eq(1));
    expect_that!(read.end, eq(LogOffset(1)));
}

#[googletest::test]
#[tokio::test]
async fn append_lost_answer() {
    let faults = LogFaults {
        lose_answers: 1,
        truncate_answers: 1,
        ..LogFaults::default()
    };
    let (_standin, client) = start(faults).await;
    for text in ["lost", "cut"] {
        let error = client.append(STREAM, vec![record(text)]).await.unwrap_err();
        expect_that!(error.result(), eq(AppendResult::Unknown));
    }
    expect_that!(read_texts(&client, 1).await.len(), eq(2));
}

#[googletest::test]
#[tokio::test]
async fn append_down() {
    let faults = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    let (standin, client) = start(faults).await;
    let error = client.append(STREAM, vec![record("a")]).await.unwrap_err();
    // After a lost connection it is unknown whether the append took effect.
    expect_that!(error.result(), eq(AppendResult::Unknown));
    let read = client
        .read(STREAM, LogOffset::ZERO, 1, TimeSpan::ZERO)
        .await;
    expect_that!(read, err(pat!(ReadError::Call(anything()))));
    StandinControl::new(standin.address)
        .set_faults(&LogFaults::default())
        .await
        .unwrap();
    expect_that!(read_texts(&client, 1).await.len(), eq(0));
}

#[googletest::test]
#[tokio::test]
async fn append_no_listener() {
    let (standin, client) = start(LogFaults::default()).await;
    standin.stop();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let error = client.append(STREAM, vec![record("a")]).await.unwrap_err();
    expect_that!(is_refused(&error), eq(true));
}

#[googletest::test]
#[tokio::test]
async fn append_refused() {
    let faults = LogFaults {
        refuse: true,
        ..LogFaults::default()
    };
    let (_standin, client) = start(faults).await;
    let error = client.append(STREAM, vec![record("a")]).await;
    expect_that!(
        error,
        err(pat!(AppendError::Refused(pat!(AppendCause::Status(
            anything()
        )))))
    );
}

#[googletest::test]
#[tokio::test]
async fn append_rate() {
    let faults = LogFaults {
        appends_per_second: Some(2),
        ..LogFaults::default()
    };
    let (_standin, client) = start(faults).await;
    for text in ["a", "b"] {
        client.append(STREAM, vec![record(text)]).await.unwrap();
    }
    let error = client.append(STREAM, vec![record("c")]).await.unwrap_err();
    expect_that!(is_refused(&error), eq(true));
    expect_that!(read_texts(&client, 1).await.len(), eq(2));
}

#[googletest::test]
#[tokio::test]
async fn append_slow() {
    let faults = LogFaults {
        slow_ms: 500,
        ..LogFaults::default()
    };
    let (standin, client) = start(faults).await;
    let error = client.append(STREAM, vec![record("a")]).await.unwrap_err();
    expect_that!(error.result(), eq(AppendResult::Unknown));
    let control = StandinControl::new(standin.address);
    control.set_faults(&LogFaults::default()).await.unwrap();
    // Not finding the record proves nothing: it may be stored after the read.
    expect_that!(read_texts(&client, 1).await.len(), eq(0));
    let late = client.read(STREAM, LogOffset(1), 1, TimeSpan::from_secs(5));
    expect_that!(late.await.unwrap().records.len(), eq(1));
}

#[googletest::test]
#[tokio::test]
async fn append_too_many() {
    let (_standin, client) = start(LogFaults::default()).await;
    let error = client.append(STREAM, vec![Vec::new(); 10_000]).await;
    expect_that!(
        error,
        err(pat!(AppendError::Refused(pat!(AppendCause::Size(
            eq(&10_000),
            eq(&0)
        )))))
    );
}

#[googletest::test]
#[tokio::test]
async fn read_stale() {
    let (standin, client) = start(LogFaults::default()).await;
    let batch = vec![record("a"), record("b"), record("c")];
    client.append(STREAM, batch).await.unwrap();
    let faults = LogFaults {
        stale_by: 2,
        ..LogFaults::default()
    };
    let control = StandinControl::new(standin.address);
    control.set_faults(&faults).await.unwrap();
    let read = client
        .read(STREAM, LogOffset(1), 10, TimeSpan::ZERO)
        .await
        .unwrap();
    expect_that!(read.end, eq(LogOffset(1)));
    expect_that!(read.records.len(), eq(1));
}

#[googletest::test]
#[tokio::test]
async fn read_cut() {
    let faults = LogFaults {
        keep: Some(1),
        ..LogFaults::default()
    };
    let (_standin, client) = start(faults).await;
    let batch = vec![record("a"), record("b"), record("c")];
    client.append(STREAM, batch).await.unwrap();
    let read = client
        .read(STREAM, LogOffset(1), 10, TimeSpan::ZERO)
        .await
        .unwrap();
    expect_that!(read.cut, some(eq(LogOffset(3))));
    expect_that!(read.records.len(), eq(1));
    let later = client
        .read(STREAM, LogOffset(3), 10, TimeSpan::ZERO)
        .await
        .unwrap();
    expect_that!(later.cut, none());
}

#[googletest::test]
#[tokio::test]
async fn read_skipped_offsets() {
    let faults = LogFaults {
        skip: 10,
        ..LogFaults::default()
    };
    let (_standin, client) = start(faults).await;
    client.append(STREAM, vec![record("a")]).await.unwrap();
    client.append(STREAM, vec![record("b")]).await.unwrap();
    let read = client
        .read(STREAM, LogOffset::ZERO, 10, TimeSpan::ZERO)
        .await
        .unwrap();
    let offsets: Vec<_> = read.records.iter().map(|record| record.offset.0).collect();
    expect_that!(offsets, eq(&vec![11, 22]));
    expect_that!(read.end, eq(LogOffset(22)));
    // A skipped offset is not a record removed by retention.
    expect_that!(read.cut, none());
}
