//! Conditional appends to the stand-in store.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::net::{IpAddr, Ipv4Addr};

use googletest::prelude::*;
use tokio::task::JoinSet;
use ward_adapter::{NewRecord, StoreClient, StoreTopic};
use ward_fleet::{StoreEra, StorePosition};
use ward_protocol::TimeSpan;
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
