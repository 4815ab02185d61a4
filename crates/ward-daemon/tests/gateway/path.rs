//! Requests from caller to engine and back: routes, models, manifests and planned stops.

use std::time::Duration;

use googletest::prelude::*;
use http::{HeaderValue, StatusCode};
use ward_fleet::{EngineOrder, ManifestVersion};
use ward_stage::{CallerRequest, OrderRecord, Stage, StageCaller, StagePlan};

use crate::support::{
    COMPLETE_STREAM, expect_models_served, expect_valid_orders, send, stage, wait_until,
};

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn path_every_kind_of_route_is_served_by_every_daemon() {
    let stage = stage("kinds", &StagePlan::default()).await;
    for daemon in 0..stage.daemons.len() {
        let cases = [
            ("/quick/a", Some("model1")),
            ("/quote/a", Some("model7")),
            ("/book/a", None),
            ("/stock/a", None),
        ];
        for (path, model) in cases {
            let request = CallerRequest::new(format!("r{daemon}{path}"), path, model);
            let answer = send(&stage, daemon, &request).await.unwrap();
            assert_eq!(answer.status, StatusCode::OK, "{path}: {}", answer.text());
            if model.is_some() {
                assert_eq!(answer.text(), COMPLETE_STREAM);
            }
        }
    }
    expect_valid_orders(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn path_model_that_no_engine_holds_is_swapped_in() {
    let plan = StagePlan {
        models: 30,
        ..StagePlan::default()
    };
    let stage = stage("swap", &plan).await;
    let models: Vec<_> = (0..plan.models).map(Stage::model_name).collect();
    expect_models_served(&stage, "/quote/a", &models).await;
    expect_valid_orders(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn path_adapter_is_loaded_on_request() {
    let stage = stage("adapter", &StagePlan::default()).await;
    let models: Vec<_> = (0..12).map(|number| format!("model0/a{number}")).collect();
    expect_models_served(&stage, "/quick/a", &models).await;
    let orders = stage.ledger.orders();
    let is_refused =
        |load: &&OrderRecord| matches!(load.order, EngineOrder::LoadAdapter(..)) && !load.accepted;
    let refused: Vec<_> = orders.iter().filter(is_refused).collect();
    expect_that!(refused, is_empty());
    expect_valid_orders(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn path_invalid_model_name_is_refused_with_a_reason() {
    let stage = stage("bad-model", &StagePlan::default()).await;
    for (id, model) in [("r1", "mod el"), ("r2", "model1/a b"), ("r3", "")] {
        let request = CallerRequest::new(id, "/quote/a", Some(model));
        let answer = send(&stage, 0, &request).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::BAD_REQUEST), "{model}");
        let text = String::from_utf8_lossy(&answer.body);
        expect_that!(text, contains_substring("bad_model"), "{model}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn path_unknown_host_or_path_is_not_found() {
    let stage = stage("unknown", &StagePlan::default()).await;
    let answer = send(&stage, 0, &CallerRequest::new("r1", "/other/a", None))
        .await
        .unwrap();
    expect_that!(answer.status, eq(StatusCode::NOT_FOUND));
    let mut request = CallerRequest::new("r2", "/stock/a", None);
    request
        .headers
        .insert("host", HeaderValue::from_static("else.example"));
    let answer = send(&stage, 0, &request).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::NOT_FOUND));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn path_new_manifest_is_in_force_on_all_daemons() {
    let mut stage = stage("manifest", &StagePlan::default()).await;
    stage.manifest.version = ManifestVersion(5);
    let mut added = stage.manifest.routes[3].clone();
    added.prefix = "/added/".to_owned();
    stage.manifest.routes.push(added);
    stage.store.put_manifest(&stage.manifest);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for daemon in 0..stage.daemons.len() {
        let request = CallerRequest::new(format!("r{daemon}"), "/added/a", None);
        let answer = send(&stage, daemon, &request).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn path_older_manifest_is_ignored() {
    let mut stage = stage("backwards", &StagePlan::default()).await;
    let older = stage.manifest.clone();
    stage.manifest.version = ManifestVersion(5);
    stage
        .manifest
        .routes
        .retain(|route| route.prefix != "/stock/");
    stage.store.put_manifest(&stage.manifest);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    stage.store.put_manifest(&older);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let answer = send(&stage, 0, &CallerRequest::new("r1", "/stock/a", None))
        .await
        .unwrap();
    expect_that!(answer.status, eq(StatusCode::NOT_FOUND));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn path_open_connection_loses_no_request_in_a_planned_stop() {
    let mut stage = stage("stop", &StagePlan::default()).await;
    let address = stage.daemons[1].callers();
    let mut caller = StageCaller::connect(address).await.unwrap();
    let first = caller
        .send(&CallerRequest::new("r1", "/stock/a", None))
        .await
        .unwrap();
    expect_that!(first.status, eq(StatusCode::OK));
    stage.daemons[1]
        .signal(rustix::process::Signal::TERM)
        .unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let second = caller
        .send(&CallerRequest::new("r2", "/quick/a", Some("model1")))
        .await
        .unwrap();
    expect_that!(second.status, eq(StatusCode::OK));
    expect_that!(second.text(), eq(COMPLETE_STREAM));
    expect_that!(second.headers.get("connection"), some(eq("close")));
    let daemon = &mut stage.daemons[1];
    wait_until("the end of the daemon", || daemon.has_ended()).await;
}
