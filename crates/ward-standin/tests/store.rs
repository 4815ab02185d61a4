//! Load times and faults of the weight store.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use http::Method;
use serde_json::json;
use tokio::time::Instant;
use ward_protocol::{MemorySize, RecordId, TimeSpan};
use ward_standin::{
    HostsFaults, HostsHistory, HostsSettings, HostsStandin, RunningStandin, StoreSettings,
};
use ward_test_support::{SetSettings, StandinControl, StandinSet, engine_settings};

const MODEL_TIME: Duration = Duration::from_millis(100);

const FAST_STORE: StoreSettings = StoreSettings {
    time_per_gib: TimeSpan::from_millis(100),
    full_speed_models: 4,
    start_interval: TimeSpan::ZERO,
    adapter_time: TimeSpan::from_millis(8),
    full_speed_adapters: 30,
};

/// A weight store that runs until dropped.
struct Fixture {
    _standin: RunningStandin,
    control: StandinControl,
}

impl Fixture {
    async fn start(store: StoreSettings, faults: HostsFaults) -> Self {
        let settings = HostsSettings {
            listen: "127.0.0.1:0".parse().unwrap(),
            store,
            faults,
        };
        let standin = HostsStandin::start(settings).await.unwrap();
        Self {
            control: StandinControl::new(standin.address),
            _standin: standin,
        }
    }

    /// Loads a key; returns the duration, or `None` if the load was cut.
    async fn load(&self, key: &str) -> Option<Duration> {
        let begun = Instant::now();
        let request = json!({ "key": key, "engine": "engine-1", "memory": "1GiB" });
        let answer = self.control.send(Method::POST, "/loads", &request).await;
        answer.ok().map(|_| begun.elapsed())
    }

    async fn load_all(&self, keys: impl Iterator<Item = String>) -> Vec<Duration> {
        let keys: Vec<_> = keys.collect();
        let times = join_all(keys.iter().map(|key| self.load(key))).await;
        times.into_iter().map(Option::unwrap).collect()
    }

    async fn history(&self) -> HostsHistory {
        self.control.history().await.unwrap()
    }
}

fn models(count: u32) -> impl Iterator<Item = String> {
    (0..count).map(|number| format!("m{number}@1"))
}

fn adapters(count: u32) -> impl Iterator<Item = String> {
    (0..count).map(|number| format!("m:a{number}@1"))
}

#[googletest::test]
#[tokio::test]
async fn model_full_speed_and_beyond() {
    let fixture = Fixture::start(FAST_STORE, HostsFaults::default()).await;
    let full_speed = fixture.load_all(models(4)).await.into_iter().max().unwrap();
    let crowded = fixture.load_all(models(8)).await.into_iter().min().unwrap();
    expect_that!(full_speed, ge(MODEL_TIME));
    expect_that!(crowded, all!(ge(MODEL_TIME * 3 / 2), gt(full_speed)));
    expect_that!(fixture.history().await.peak_models, eq(8));
}

#[googletest::test]
#[tokio::test]
async fn model_start_rate() {
    let store = StoreSettings {
        start_interval: TimeSpan::from_millis(50),
        ..FAST_STORE
    };
    let fixture = Fixture::start(store, HostsFaults::default()).await;
    let times = fixture.load_all(models(4)).await;
    let slowest = times.into_iter().max().unwrap();
    expect_that!(slowest, ge(MODEL_TIME + Duration::from_millis(150)));
}

#[googletest::test]
#[tokio::test]
async fn adapter_beyond_full_speed() {
    let fixture = Fixture::start(FAST_STORE, HostsFaults::default()).await;
    let alone = fixture.load("m:a@1").await.unwrap();
    expect_that!(alone, ge(Duration::from_millis(8)));
    let times = fixture.load_all(adapters(120)).await;
    let slowest = times.into_iter().max().unwrap();
    expect_that!(slowest, ge(Duration::from_millis(24)));
    expect_that!(fixture.history().await.peak_adapters, gt(30));
}

#[googletest::test]
#[tokio::test]
async fn store_slow() {
    let faults = HostsFaults {
        store_slow: 3.0,
        ..HostsFaults::default()
    };
    let fixture = Fixture::start(FAST_STORE, faults).await;
    expect_that!(fixture.load("m@1").await, some(ge(MODEL_TIME * 3)));
}

#[googletest::test]
#[tokio::test]
async fn store_down_during_load() {
    let fixture = Fixture::start(FAST_STORE, HostsFaults::default()).await;
    let faults = HostsFaults {
        store_down: true,
        ..HostsFaults::default()
    };
    let (load, ()) = tokio::join!(fixture.load("m@1"), async {
        tokio::time::sleep(MODEL_TIME / 2).await;
        fixture.control.set_faults(&faults).await.unwrap();
    });
    expect_that!(load, none());
    let history = fixture.history().await;
    expect_that!(history.loads[0].arrived, none());
    expect_that!(history.levels.last().unwrap().models, eq(0));
}

#[googletest::test]
#[tokio::test]
async fn engine_load_from_store() {
    let engine = engine_settings("engine-1", "vic", MemorySize::from_gib(24)).unwrap();
    let settings = SetSettings {
        store: FAST_STORE,
        engines: vec![engine],
        ..SetSettings::default()
    };
    let set = StandinSet::start(settings).await.unwrap();
    let engine = StandinControl::new(set.engines[0].address);
    let order = json!({
        "order": RecordId::random(),
        "fence": 1,
        "kind": { "load": { "key": "m@1", "memory": "1GiB" } },
    });
    engine.send(Method::POST, "/orders", &order).await.unwrap();
    let hosts = StandinControl::new(set.hosts.address);
    let arrived = |history: &HostsHistory| {
        history
            .loads
            .first()
            .is_some_and(|load| load.arrived.is_some())
    };
    let wait_timeout = TimeSpan::from_secs(5);
    let history = hosts.history_until(wait_timeout, arrived).await.unwrap();
    expect_that!(history.loads[0].engine.as_str(), eq("engine-1"));
}
