//! Conditional appends to the stand-in store, and how much its answers hold.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::net::{IpAddr, Ipv4Addr};

use googletest::prelude::*;
use http::StatusCode;
use tokio::task::JoinSet;
use ward_adapter::{NewRecord, PollBounds, StoreClient, StoreError, StoreTopic};
use ward_fleet::{ReadCursor, StoreEra, StorePosition};
use ward_http::AnswerProgress;
use ward_protocol::{MemorySize, TimeSpan};
use ward_stage::StageStore;

const CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
const ROUNDS: u64 = 2_000;
const CLIENTS: usize = 4;

/// Guards against two coordinators at once: if the store checks the offset and appends
/// in two steps, two daemons that take over at the same moment both succeed.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_clients_append_at_the_same_offset() {
    let store = StageStore::start(IpAddr::V4(Ipv4Addr::LOCALHOST))
        .await
        .unwrap();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| StoreClient::new(store.address(), CALL_TIMEOUT))
        .collect();
    for offset in 0..ROUNDS {
        let end = StorePosition {
            era: StoreEra(0),
            offset,
        };
        let mut appends = JoinSet::new();
        for client in clients.clone() {
            appends.spawn(async move {
                let key = StoreClient::coordinator_key();
                let value = b"term".to_vec();
                let records = [NewRecord {
                    key: key.into(),
                    value,
                }];
                let topic = StoreTopic::Coordinator;
                client.append_at(topic, &records, end).await
            });
        }
        let results = appends.join_all().await;
        let accepted: Vec<_> = results.into_iter().filter_map(Result::ok).collect();
        assert_that!(accepted, elements_are![eq(&end)], "at {offset}");
    }
}

#[gtest]
#[tokio::test]
async fn newest_page_after_an_odd_key_was_never_read() {
    for odd in [
        "two words",
        "a&part=1",
        "a#b",
        "a=b%20c+d",
        "žiga",
        "\"quoted\"",
    ] {
        let store = StageStore::start(IpAddr::V4(Ipv4Addr::LOCALHOST))
            .await
            .unwrap();
        let names = (0..499).map(|number| format!("i-{number}"));
        for key in names.chain([odd.to_owned(), "i-last".to_owned()]) {
            store.put_entry(&key, Some("{}".to_owned()));
        }
        let client = StoreClient::new(store.address(), CALL_TIMEOUT);
        let tail = client.newest(StoreTopic::Engines).await;
        let last = tail.ok().and_then(|tail| tail.records.last().cloned());
        expect_that!(last.map(|record| record.key), some(eq("i-last")), "{odd}");
    }
}

/// Length of a value of which four fit into an answer, whether read or listed.
const LONG_VALUE_BYTES: usize = 250_000;

fn cursor(offset: u64) -> ReadCursor {
    ReadCursor(StorePosition {
        era: StoreEra(0),
        offset,
    })
}

async fn long_store(records: usize) -> (StageStore, StoreClient) {
    let store = StageStore::start(IpAddr::V4(Ipv4Addr::LOCALHOST))
        .await
        .unwrap();
    for number in 0..records {
        store.put_entry(&format!("i-{number}"), Some("x".repeat(LONG_VALUE_BYTES)));
    }
    let client = StoreClient::new(store.address(), CALL_TIMEOUT);
    (store, client)
}

/// Guards against a store of tests that gives more than the platform's: readers that take
/// what they were given for all there is then pass.
#[gtest]
#[tokio::test]
async fn read_of_the_stand_in_held_more_than_the_platforms() {
    let (_store, client) = long_store(6).await;
    let changes = client.read(StoreTopic::Engines, cursor(0)).await.unwrap();
    expect_that!(changes.records.len(), eq(4));
    expect_that!(changes.next, eq(cursor(4)));
    expect_that!(changes.end, eq(cursor(6).0));
    expect_that!(changes.left_out(), eq(2));
    let rest = client.read(StoreTopic::Engines, changes.next).await;
    let rest = rest.unwrap();
    expect_that!(rest.records.len(), eq(2));
    expect_that!(rest.next, eq(cursor(6)));
    expect_that!(rest.left_out(), eq(0));
}

/// Guards against polls that fetch a megabyte of replaced manifests before the newest one.
#[gtest]
#[tokio::test]
async fn poll_for_one_record_fetched_all_that_had_come() {
    let (_store, client) = long_store(6).await;
    let bounds = PollBounds {
        wait: TimeSpan::ZERO,
        records: MemorySize::from_bytes(256 << 10),
    };
    let progress = AnswerProgress::default();
    let poll = client.poll(StoreTopic::Engines, cursor(0), bounds, &progress);
    let changes = poll.await.unwrap();
    expect_that!(changes.records.len(), eq(1));
    expect_that!(changes.next, eq(cursor(1)));
    expect_that!(changes.left_out(), eq(5));
}

/// Guards against the same store of tests, with pages of the newest records.
#[gtest]
#[tokio::test]
async fn newest_page_of_the_stand_in_held_more_than_the_platforms() {
    let (_store, client) = long_store(6).await;
    let topic = StoreTopic::Engines;
    let page = client.newest_page(topic, None).await.unwrap();
    expect_that!(page.snapshot.records.len(), eq(4));
    expect_false!(page.is_last);
    let all = client.newest(topic).await.unwrap();
    expect_that!(all.records.len(), eq(6));
    expect_that!(all.cursor(), eq(cursor(6)));
}

/// The same with appends.
#[gtest]
#[tokio::test]
async fn append_of_the_stand_in_took_more_than_the_platforms() {
    let (_store, client) = long_store(0).await;
    let record = |bytes: usize| NewRecord {
        key: "k".into(),
        value: vec![b'x'; bytes],
    };
    let too_large = StatusCode::PAYLOAD_TOO_LARGE;
    for (records, is_accepted) in [
        (vec![record(200_000)], true),
        (vec![record(300_000)], false),
        (vec![record(200_000); 11], false),
    ] {
        let result = client.append(StoreTopic::Streams, &records).await;
        match result {
            Ok(_) => expect_true!(is_accepted),
            Err(StoreError::Refused(status)) => expect_that!(status, eq(too_large)),
            Err(cause) => panic!("{cause}"),
        }
    }
}
