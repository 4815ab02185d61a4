//! A rolling restart of all daemons under load, in which no request may fail.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::Value;
use ward_standin::engine::answer_text;
use ward_test_support::process::{FleetHistory, FleetSettings, ProcessFleet};
use ward_test_support::{CallerClient, StreamText};

const SHEET: &str = "\
target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable
colours@1;;;2;2;;1;20GiB;yes
contracts@1;;;1;1;;5;40GiB;yes
services/booking;;;;;;0;;no
";
const CALLERS: usize = 8;
const TOKENS: u64 = 16;
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
const RESTART_INTERVAL: Duration = Duration::from_millis(500);

/// State shared by the callers: how many requests were served, and when to stop.
#[derive(Default)]
struct LoadTally {
    stop: AtomicBool,
    served: AtomicUsize,
}

/// Addresses that the daemons list for callers, refreshed after their time to live.
struct AddressBook {
    known: Vec<SocketAddr>,
    expires_at: Instant,
}

impl AddressBook {
    async fn pick(&mut self, number: usize) -> SocketAddr {
        if Instant::now() >= self.expires_at {
            self.refresh().await;
        }
        self.known[number % self.known.len()]
    }

    async fn refresh(&mut self) {
        for address in self.known.clone() {
            let Ok(reply) = CallerClient::new(address).get("/v1/entries").await else {
                continue;
            };
            let Ok(answer) = reply.json::<Value>() else {
                continue;
            };
            let entries = answer["entries"].as_array().unwrap().iter();
            let known: Vec<SocketAddr> = entries
                .map(|entry| entry["address"].as_str().unwrap().parse().unwrap())
                .collect();
            if known.is_empty() {
                continue;
            }
            let ttl = answer["ttl_seconds"].as_u64().unwrap();
            self.known = known;
            self.expires_at = Instant::now() + Duration::from_secs(ttl);
            return;
        }
        panic!("no known address answers");
    }
}

async fn call_until_stopped(addresses: Vec<SocketAddr>, number: usize, tally: Arc<LoadTally>) {
    let mut book = AddressBook {
        known: addresses,
        expires_at: Instant::now(),
    };
    let mut round = number;
    while !tally.stop.load(Ordering::SeqCst) {
        let address = book.pick(round).await;
        let prompt = format!("caller {number} round {round}");
        let reply = CallerClient::new(address)
            .chat("colours", &prompt, true)
            .await;
        let reply = reply.unwrap_or_else(|cause| panic!("{address}: {cause}"));
        assert_eq!(reply.status.as_u16(), 200, "{address}: {:?}", reply.body);
        let stream = StreamText::from_body(&reply.body);
        assert!(stream.complete, "{address} sent an incomplete stream");
        assert_eq!(stream.text, answer_text(&prompt, TOKENS));
        tally.served.fetch_add(1, Ordering::SeqCst);
        round += CALLERS + 1;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_under_load() {
    let mut fleet = ProcessFleet::start(&FleetSettings::small()).unwrap();
    fleet.wait_until_full().await;
    let output = fleet.submit(0, SHEET, 0).unwrap();
    assert!(output.status.success(), "{output:?}");
    let addresses: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    let tally = Arc::new(LoadTally::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let load = call_until_stopped(addresses.clone(), number, Arc::clone(&tally));
            tokio::spawn(load)
        })
        .collect();
    for daemon in 0..fleet.daemons.len() {
        fleet.daemons[daemon].program.terminate().unwrap();
        let ended =
            tokio::task::block_in_place(|| fleet.daemons[daemon].program.wait(STOP_TIMEOUT));
        assert!(ended.unwrap().success());
        fleet.daemons[daemon].restart().unwrap();
        fleet.wait_until_full().await;
        tokio::time::sleep(RESTART_INTERVAL).await;
    }
    tally.stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.unwrap();
    }
    assert_that!(tally.served.load(Ordering::SeqCst), gt(CALLERS));
    let history = FleetHistory::read(&fleet).await.unwrap();
    assert_that!(history.overcommits(), eq(0));
    assert_that!(history.peak_replicas(&"colours@1".parse().unwrap()), le(2));
}
