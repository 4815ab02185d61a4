//! Peak replicas and run counts over the histories of several engines.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use http::Method;
use serde_json::json;
use ward_protocol::{MemorySize, RecordId, RequestId, ResidentPhase, TimeSpan};
use ward_standin::EngineHistory;
use ward_test_support::{
    SetSettings, StandinControl, StandinSet, engine_settings, replica_peaks, run_counts,
};

async fn order(engine: &StandinControl, kind: serde_json::Value) {
    let order = json!({ "order": RecordId::random(), "fence": 1, "kind": kind });
    engine.send(Method::POST, "/orders", &order).await.unwrap();
}

async fn load(engine: &StandinControl, key: &str) {
    order(engine, json!({ "load": { "key": key, "memory": "1GiB" } })).await;
    let ready = |history: &EngineHistory| {
        let replicas = &history.holdings.last().unwrap().replicas;
        replicas
            .iter()
            .all(|replica| replica.phase == ResidentPhase::Ready)
    };
    let limit = TimeSpan::from_secs(5);
    engine.history_until(limit, ready).await.unwrap();
}

#[googletest::test]
#[tokio::test]
async fn peaks_of_two_engines() {
    let engine = |id| engine_settings(id, "vic", MemorySize::from_gib(8)).unwrap();
    let settings = SetSettings {
        engines: vec![engine("engine-1"), engine("engine-2")],
        ..SetSettings::default()
    };
    let set = StandinSet::start(settings).await.unwrap();
    let first = StandinControl::new(set.engines[0].address);
    let second = StandinControl::new(set.engines[1].address);
    load(&first, "both@1").await;
    load(&first, "moved@1").await;
    load(&second, "both@1").await;
    order(&first, json!({ "unload": { "key": "moved@1" } })).await;
    load(&second, "moved@1").await;
    let request = json!({ "model": "both@1", "prompt": "p", "max_tokens": 1 });
    first
        .send(Method::POST, "/v1/completions", &request)
        .await
        .unwrap();
    let histories = set.engine_histories().await.unwrap();
    let peaks: Vec<_> = replica_peaks(&histories)
        .into_iter()
        .map(|peak| (peak.key.to_string(), peak.replicas))
        .collect();
    let expected = vec![("both@1".to_owned(), 2), ("moved@1".to_owned(), 1)];
    expect_that!(peaks, eq(&expected));
    let runs = run_counts(&histories);
    expect_that!(runs.len(), eq(1));
    expect_that!((runs[0].runs, runs[0].finished), eq((1, 1)));
    expect_that!(runs[0].request, not(eq(RequestId(0))));
}
