//! Reading snapshots from streams with undecodable records, missing parts and truncation.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use googletest::prelude::*;
use ward_platform::{LogClient, LogTimeouts, SnapshotError, SnapshotImage};
use ward_protocol::codec::encode;
use ward_protocol::record::RECORD_FORMAT;
use ward_protocol::{LogOffset, LogStream, RecordId, SnapshotPart};
use ward_standin::{LogFaults, LogSettings, LogStandin, RunningStandin};
use ward_test_support::StandinControl;

const PART_BYTES: usize = 256 << 10;

async fn start() -> (RunningStandin, LogClient) {
    let settings = LogSettings {
        listen: "127.0.0.1:0".parse().unwrap(),
        faults: LogFaults::default(),
    };
    let standin = LogStandin::start(settings).await.unwrap();
    let client = LogClient::new(standin.address, LogTimeouts::default());
    (standin, client)
}

fn image(control: u64, length: usize) -> SnapshotImage {
    let bytes = (0..=250).cycle().take(length);
    SnapshotImage {
        snapshot: RecordId::random(),
        control: LogOffset(control),
        plan: LogOffset(1),
        bytes: bytes.collect(),
    }
}

fn part(control: u64, index: u16, count: u16) -> SnapshotPart {
    SnapshotPart {
        format: RECORD_FORMAT,
        snapshot: RecordId(9),
        control: LogOffset(control),
        plan: LogOffset(1),
        index,
        count,
        bytes: vec![1],
    }
}

async fn append(client: &LogClient, record: Vec<u8>) {
    client
        .append(LogStream::Snapshot, vec![record])
        .await
        .unwrap();
}

#[googletest::test]
#[tokio::test]
async fn snapshot_none() {
    let (_standin, client) = start().await;
    expect_that!(client.newest_snapshot().await.unwrap(), none());
}

#[googletest::test]
#[tokio::test]
async fn snapshot_round_trip() {
    for length in [0, 1, PART_BYTES, PART_BYTES + 1, 5 * PART_BYTES] {
        let (_standin, client) = start().await;
        let image = image(7, length);
        client.write_snapshot(&image).await.unwrap();
        let read = client.newest_snapshot().await.unwrap();
        expect_that!(read == Some(image), eq(true), "length {length}");
    }
}

#[googletest::test]
#[tokio::test]
async fn snapshot_newest_of_several() {
    let (_standin, client) = start().await;
    let newest = image(9, 10);
    client.write_snapshot(&image(3, 10)).await.unwrap();
    client.write_snapshot(&newest).await.unwrap();
    // A slow writer's older snapshot ends later on the stream.
    client.write_snapshot(&image(5, 10)).await.unwrap();
    let read = client.newest_snapshot().await.unwrap();
    expect_that!(read, some(eq(&newest)));
}

#[googletest::test]
#[tokio::test]
async fn snapshot_missing_part() {
    let (_standin, client) = start().await;
    let complete = image(3, 2 * PART_BYTES);
    client.write_snapshot(&complete).await.unwrap();
    for _ in 0..20 {
        append(&client, b"foreign bytes".to_vec()).await;
    }
    append(&client, encode(&part(8, 0, 3)).unwrap()).await;
    append(&client, encode(&part(8, 2, 3)).unwrap()).await;
    let read = client.newest_snapshot().await.unwrap();
    expect_that!(read == Some(complete), eq(true));
}

#[googletest::test]
#[tokio::test]
async fn snapshot_part_of_another_offset() {
    let (_standin, client) = start().await;
    append(&client, encode(&part(8, 0, 2)).unwrap()).await;
    append(&client, encode(&part(9, 1, 2)).unwrap()).await;
    append(&client, encode(&part(8, 5, 2)).unwrap()).await;
    expect_that!(client.newest_snapshot().await.unwrap(), none());
}

#[googletest::test]
#[tokio::test]
async fn snapshot_newer_format() {
    let (_standin, client) = start().await;
    let mut newer = part(8, 0, 1);
    newer.format = RECORD_FORMAT + 1;
    append(&client, encode(&newer).unwrap()).await;
    expect_that!(client.newest_snapshot().await.unwrap(), none());
}

#[googletest::test]
#[tokio::test]
async fn snapshot_cut_by_retention() {
    let (standin, client) = start().await;
    client
        .write_snapshot(&image(3, 3 * PART_BYTES))
        .await
        .unwrap();
    let faults = LogFaults {
        keep: Some(2),
        ..LogFaults::default()
    };
    let control = StandinControl::new(standin.address);
    control.set_faults(&faults).await.unwrap();
    expect_that!(client.newest_snapshot().await.unwrap(), none());
}

#[googletest::test]
#[tokio::test]
async fn snapshot_writer_stopped() {
    let (standin, client) = start().await;
    let complete = image(3, 10);
    client.write_snapshot(&complete).await.unwrap();
    let control = StandinControl::new(standin.address);
    let faults = LogFaults {
        appends_per_second: Some(2),
        ..LogFaults::default()
    };
    control.set_faults(&faults).await.unwrap();
    let error = client.write_snapshot(&image(8, 4 * PART_BYTES)).await;
    expect_that!(error, err(pat!(SnapshotError::Append(anything()))));
    let read = client.newest_snapshot().await.unwrap();
    expect_that!(read, some(eq(&complete)));
}
