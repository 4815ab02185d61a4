//! API keys: which requests they let in, and when they are out of force.

use std::time::Duration;

use googletest::prelude::*;
use http::{HeaderMap, StatusCode};
use ward_fleet::{ManifestVersion, TenantClass};
use ward_protocol::TimeSpan;
use ward_stage::{
    CallerRequest, RunRecord, ServedTenant, Stage, StageCaller, StagePlan, key_headers,
};

use crate::support::{send, stage, wait_until, wait_until_all_joined};

const KEY: &str = "k-9f31c2-first";
const SECOND_KEY: &str = "k-77aa01-second";
/// Time within which a change of the manifest is in force everywhere.
const CHANGE_TIME: Duration = Duration::from_secs(2);

fn tenant(name: &str, keys: &[&str]) -> ServedTenant {
    ServedTenant {
        name: name.parse().unwrap(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        class: TenantClass::default(),
    }
}

fn plan() -> StagePlan {
    StagePlan {
        tenants: vec![tenant("acme", &[KEY, SECOND_KEY])],
        ..StagePlan::default()
    }
}

fn request(id: &str, path: &str, headers: HeaderMap) -> CallerRequest {
    CallerRequest {
        headers,
        ..CallerRequest::new(id, path, None)
    }
}

async fn status(stage: &Stage, daemon: usize, request: &CallerRequest) -> StatusCode {
    send(stage, daemon, request).await.unwrap().status
}

/// Puts the next version of the manifest into the store, with these keys of the tenant.
fn put_keys(stage: &mut Stage, keys: &[&str]) {
    stage.manifest.version = ManifestVersion(stage.manifest.version.0 + 1);
    let tenants = [tenant("acme", keys)];
    stage.store.put_manifest_of(&stage.manifest, &tenants);
}

fn run_of(stage: &Stage, id: &str) -> Option<RunRecord> {
    let mut runs = stage.ledger.runs().into_iter();
    runs.find(|run| run.request == id)
}

/// The logs of all daemons.
fn logs(stage: &Stage) -> String {
    let logs = stage.daemons.iter().map(|daemon| daemon.log().unwrap());
    logs.collect()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_unknown_ones_were_served() {
    let stage = stage("keys", &plan()).await;
    let unknown = [
        ("none", key_headers(&[], None)),
        ("empty", key_headers(&[""], None)),
        ("unknown", key_headers(&["k-000000"], None)),
        ("two", key_headers(&[KEY, SECOND_KEY], None)),
        ("same-twice", key_headers(&[KEY, KEY], None)),
        ("case", key_headers(&[&KEY.to_uppercase()], None)),
        ("list", key_headers(&[&format!("{KEY},{SECOND_KEY}")], None)),
        ("overlong", key_headers(&[&"k".repeat(4_000)], None)),
        ("only-tenant", key_headers(&[], Some("acme"))),
    ];
    for (id, headers) in unknown {
        let answer = send(&stage, 0, &request(id, "/stock/a", headers))
            .await
            .unwrap();
        expect_that!(answer.status, eq(StatusCode::UNAUTHORIZED), "{id}");
        expect_that!(run_of(&stage, id), none(), "{id}");
    }
    for key in [KEY, SECOND_KEY] {
        let known = request(key, "/stock/a", key_headers(&[key], None));
        expect_that!(status(&stage, 0, &known).await, eq(StatusCode::OK));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_were_passed_on_and_callers_named_their_tenant() {
    let stage = stage("keys-hidden", &plan()).await;
    let paths = [
        ("plain", "/stock/a", None),
        ("model", "/quick/a", Some("model0")),
    ];
    for (id, path, model) in paths {
        let request = CallerRequest {
            headers: key_headers(&[KEY], Some("rival")),
            ..CallerRequest::new(id, path, model)
        };
        expect_that!(status(&stage, 1, &request).await, eq(StatusCode::OK));
        let run = run_of(&stage, id).unwrap();
        expect_false!(run.has_key, "{id}");
        expect_that!(run.tenants, elements_are![eq("acme")], "{id}");
    }
    let unknown = request("unknown", "/stock/a", key_headers(&["k-000000"], None));
    expect_that!(
        status(&stage, 1, &unknown).await,
        eq(StatusCode::UNAUTHORIZED)
    );
    wait_until("the last line", || logs(&stage).contains("unknown_key")).await;
    let logs = logs(&stage);
    for key in [KEY, SECOND_KEY, "k-000000"] {
        expect_that!(logs, not(contains_substring(key)));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_public_route_needs_none() {
    let mut stage = stage("keys-public", &plan()).await;
    for route in &mut stage.manifest.routes {
        route.is_public = route.name == "stock";
    }
    put_keys(&mut stage, &[KEY]);
    tokio::time::sleep(CHANGE_TIME).await;
    let open = request("open", "/stock/a", key_headers(&[], Some("rival")));
    expect_that!(status(&stage, 0, &open).await, eq(StatusCode::OK));
    expect_that!(run_of(&stage, "open").unwrap().tenants, is_empty());
    let closed = request("closed", "/book/a", HeaderMap::new());
    expect_that!(
        status(&stage, 0, &closed).await,
        eq(StatusCode::UNAUTHORIZED)
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_withdrawn_one_served_a_kept_connection() {
    let mut stage = stage("keys-kept", &plan()).await;
    wait_until_all_joined(&stage).await;
    let mut callers = Vec::new();
    for daemon in &stage.daemons {
        callers.push(StageCaller::connect(daemon.callers()).await.unwrap());
    }
    let former = |id: &str| request(id, "/stock/a", key_headers(&[KEY], None));
    for caller in &mut callers {
        let answer = caller.send(&former("before")).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK));
    }
    put_keys(&mut stage, &[SECOND_KEY]);
    tokio::time::sleep(CHANGE_TIME).await;
    for caller in &mut callers {
        let answer = caller.send(&former("after")).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::UNAUTHORIZED));
    }
    expect_that!(run_of(&stage, "after"), none());
    // Neither does a restart bring it back.
    stage.daemons[0].restart().unwrap();
    stage.wait_ready().await.unwrap();
    expect_that!(
        status(&stage, 0, &former("again")).await,
        eq(StatusCode::UNAUTHORIZED)
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_withdrawn_one_served_a_waiting_request() {
    let plan = StagePlan {
        disk_copies: false,
        target_latency: TimeSpan::from_secs(2),
        ..plan()
    };
    let mut stage = stage("keys-waiting", &plan).await;
    wait_until_all_joined(&stage).await;
    // No engine holds the model yet, so its weights come from the weight store.
    let waiting = CallerRequest {
        headers: key_headers(&[KEY], None),
        timeout: Duration::from_secs(10),
        ..CallerRequest::new("waiting", "/quick/a", Some("model7"))
    };
    let mut caller = StageCaller::connect(stage.daemons[0].callers())
        .await
        .unwrap();
    let answer = tokio::spawn(async move { caller.send(&waiting).await });
    tokio::time::sleep(Duration::from_millis(150)).await;
    put_keys(&mut stage, &[SECOND_KEY]);
    let answer = answer.await.unwrap().unwrap();
    expect_that!(answer.status, eq(StatusCode::UNAUTHORIZED));
    expect_that!(run_of(&stage, "waiting"), none());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_withdrawn_one_was_in_force_without_a_coordinator() {
    let plan = StagePlan {
        lease: TimeSpan::from_secs(10),
        ..plan()
    };
    let mut stage = stage("keys-alone", &plan).await;
    let coordinator = wait_until_all_joined(&stage).await;
    stage.daemons[coordinator].kill();
    put_keys(&mut stage, &[SECOND_KEY]);
    tokio::time::sleep(CHANGE_TIME).await;
    let other = (coordinator + 1) % stage.daemons.len();
    let former = request("former", "/stock/a", key_headers(&[KEY], None));
    expect_that!(
        status(&stage, other, &former).await,
        eq(StatusCode::UNAUTHORIZED)
    );
    let current = request("current", "/stock/a", key_headers(&[SECOND_KEY], None));
    expect_that!(status(&stage, other, &current).await, eq(StatusCode::OK));
}
