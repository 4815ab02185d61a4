//! Faults against daemon processes; the checks read the histories of the stand-ins.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};
use ward_http::HttpReply;
use ward_protocol::{ReplicaKey, TimeSpan};
use ward_standin::service::ServiceHistory;
use ward_test_support::process::{
    FleetHistory, FleetSettings, ListeningProcess, ProcessFleet, wait_until,
};

const SHEET: &str = "\
target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable
colours@1;;;1;1;;1;20GiB;yes
contracts@1;;;1;0;;5;40GiB;yes
quotes@1;;;1;0;;0;60GiB;yes
services/booking;;;;;;0;;no
";
/// Maximum time to refuse a request that cannot be served during an outage of the log.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(50);
/// Maximum time until a leaving backend server gets no new request.
const MAX_LEAVE_DELAY: Duration = Duration::from_secs(3);

async fn fleet() -> ProcessFleet {
    let fleet = ProcessFleet::start(&FleetSettings::small()).unwrap();
    fleet.wait_until_full().await;
    let output = fleet.submit(0, SHEET, 0).unwrap();
    assert!(output.status.success(), "{output:?}");
    fleet
}

fn key(text: &str) -> ReplicaKey {
    text.parse().unwrap()
}

async fn replace_faults(standin: &ListeningProcess, faults: &Value) {
    standin.control().set_faults(faults).await.unwrap();
}

fn problem(reply: &HttpReply) -> Value {
    serde_json::from_slice(&reply.body).unwrap()
}

async fn check_guarantees(fleet: &ProcessFleet) {
    let history = FleetHistory::read(fleet).await.unwrap();
    expect_that!(history.overcommits(), eq(0));
    for model in ["colours@1", "contracts@1", "quotes@1"] {
        expect_that!(history.peak_replicas(&key(model)), le(1), "{model}");
    }
}

async fn charges(fleet: &ProcessFleet, key: &str) -> u32 {
    let history: ServiceHistory = fleet.services[0].control().history().await.unwrap();
    history.runs_by_key.get(key).copied().unwrap_or(0)
}

async fn charge(fleet: &ProcessFleet, daemon: usize, key: &str) -> HttpReply {
    let caller = fleet.caller(daemon);
    let reply = caller
        .call_service("booking/deposits", Some(key), "{}")
        .await;
    reply.unwrap()
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_mid_load() {
    let mut fleet = fleet().await;
    let slow = json!({ "store_slow": 3.0 });
    replace_faults(&fleet.hosts, &slow).await;
    let caller = fleet.caller(0);
    let waiting = tokio::spawn(async move { caller.chat("contracts", "whole file", true).await });
    let mut owner = None;
    wait_until("the load's owner", async || {
        owner = fleet.engine_owner(0, "contracts@1").await;
        owner.is_some()
    })
    .await;
    // Any daemon may own the load; the caller's own daemon must not be killed.
    let owner = owner.unwrap();
    if owner == 0 {
        let reply = waiting.await.unwrap().unwrap();
        expect_that!(reply.status.as_u16(), eq(200));
    } else {
        fleet.daemons[owner].program.kill().unwrap();
        let reply = waiting.await.unwrap().unwrap();
        expect_that!(reply.status.as_u16(), eq(200), "{:?}", reply.body);
    }
    check_guarantees(&fleet).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn owner_frozen_past_lease() {
    let fleet = fleet().await;
    let owner = fleet.engine_owner(0, "colours@1").await.unwrap();
    let other = (owner + 1) % fleet.daemons.len();
    fleet.daemons[owner].program.freeze().unwrap();
    let two_members = |dump: &Value| dump["control"]["members"].as_array().map_or(0, Vec::len) == 2;
    fleet
        .wait_until_dump(other, "the frozen daemon's expiry", two_members)
        .await;
    let caller = fleet.caller(other);
    for model in ["contracts", "quotes"] {
        let reply = caller.chat(model, "while one sleeps", false).await.unwrap();
        expect_that!(reply.status.as_u16(), eq(200), "{:?}", reply.body);
    }
    fleet.daemons[owner].program.thaw().unwrap();
    fleet.wait_until_full().await;
    let reply = fleet
        .caller(owner)
        .chat("colours", "awake", false)
        .await
        .unwrap();
    expect_that!(reply.status.as_u16(), eq(200), "{:?}", reply.body);
    check_guarantees(&fleet).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn log_down() {
    let fleet = fleet().await;
    replace_faults(&fleet.log, &json!({ "down": true })).await;
    let routing = |dump: &Value| dump["view"]["mode"] == "routing_only";
    for daemon in 0..fleet.daemons.len() {
        fleet.wait_until_dump(daemon, "routing only", routing).await;
    }
    let caller = fleet.caller(1);
    let warm = caller.chat("colours", "still here", true).await.unwrap();
    expect_that!(warm.status.as_u16(), eq(200));
    let started = Instant::now();
    let cold = caller.chat("quotes", "not now", false).await.unwrap();
    expect_that!(started.elapsed(), lt(MAX_REFUSAL_TIME));
    expect_that!(cold.status.as_u16(), eq(503));
    expect_that!(problem(&cold)["outcome"], eq("not_run"));
    expect_that!(cold.headers.contains_key("retry-after"), eq(true));
    let refused = charge(&fleet, 0, "deposit-1").await;
    expect_that!(refused.status.as_u16(), eq(503));
    expect_that!(problem(&refused)["outcome"], eq("not_run"));
    expect_that!(charges(&fleet, "deposit-1").await, eq(0));

    replace_faults(&fleet.log, &json!({})).await;
    fleet.wait_until_full().await;
    let cold = caller.chat("quotes", "now", false).await.unwrap();
    expect_that!(cold.status.as_u16(), eq(200), "{:?}", cold.body);
    let charged = charge(&fleet, 0, "deposit-1").await;
    expect_that!(charged.status.as_u16(), eq(200));
    expect_that!(charges(&fleet, "deposit-1").await, eq(1));
    check_guarantees(&fleet).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn log_answers_lost() {
    let fleet = fleet().await;
    for round in 0..4 {
        let faults = json!({ "lose_answers": 3, "slow_ms": 20 });
        replace_faults(&fleet.log, &faults).await;
        let key = format!("deposit-{round}");
        let replies = [0, 1, 2].map(|daemon| charge(&fleet, daemon, &key));
        for reply in futures::future::join_all(replies).await {
            // The request is refused or answered, but never run twice.
            expect_that!(reply.status.as_u16(), any![eq(200), eq(409), eq(503)]);
        }
        expect_that!(charges(&fleet, &key).await, le(1));
    }
    replace_faults(&fleet.log, &json!({})).await;
    let reply = charge(&fleet, 0, "deposit-last").await;
    expect_that!(reply.status.as_u16(), eq(200), "{:?}", reply.body);
    check_guarantees(&fleet).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn charge_answer_lost() {
    let fleet = fleet().await;
    let service = &fleet.services[0];
    replace_faults(service, &json!({ "lose_answers": 1 })).await;
    let first = charge(&fleet, 0, "deposit-1").await;
    expect_that!(problem(&first)["outcome"], eq("in_doubt"));
    for daemon in 0..3 {
        let again = charge(&fleet, daemon, "deposit-1").await;
        expect_that!(problem(&again)["outcome"], eq("in_doubt"));
    }
    expect_that!(charges(&fleet, "deposit-1").await, eq(1));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn charge_daemon_killed() {
    let mut fleet = fleet().await;
    let service = &fleet.services[0];
    replace_faults(service, &json!({ "slow_ms": 3_000 })).await;
    let caller = fleet.caller(0);
    let lost = tokio::spawn(async move {
        caller
            .call_service("booking/deposits", Some("deposit-1"), "{}")
            .await
    });
    wait_until("the charge", async || {
        charges(&fleet, "deposit-1").await == 1
    })
    .await;
    fleet.daemons[0].program.kill().unwrap();
    expect_that!(lost.await.unwrap().is_err(), eq(true));
    replace_faults(service, &json!({})).await;
    for daemon in [1, 2] {
        let again = charge(&fleet, daemon, "deposit-1").await;
        expect_that!(problem(&again)["outcome"], eq("in_doubt"));
    }
    expect_that!(charges(&fleet, "deposit-1").await, eq(1));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_refused() {
    let fleet = fleet().await;
    for engine in &fleet.engines {
        let faults = json!({ "crash_marker": "poison", "downtime_ms": 300 });
        replace_faults(engine, &faults).await;
    }
    let mut statuses = Vec::new();
    for _ in 0..8 {
        let reply = fleet
            .caller(1)
            .chat("colours", "poison", false)
            .await
            .unwrap();
        statuses.push(reply.status.as_u16());
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let history = FleetHistory::read(&fleet).await.unwrap();
    let crashes: usize = history
        .engines
        .iter()
        .map(|engine| engine.crashes.len())
        .sum();
    let times: Vec<_> = history
        .engines
        .iter()
        .flat_map(|engine| &engine.crashes)
        .collect();
    expect_that!(crashes, le(2), "{times:?}");
    expect_that!(statuses.last().unwrap(), eq(&422), "{statuses:?}");
    let fine = fleet
        .caller(2)
        .chat("colours", "harmless", false)
        .await
        .unwrap();
    expect_that!(fine.status.as_u16(), eq(200), "{:?}", fine.body);
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_no_new_request() {
    let fleet = fleet().await;
    let holder = holder(&fleet).await;
    let path = format!("/hosts/engine-{}/leave", holder + 1);
    let control = fleet.hosts.control();
    control
        .send(http::Method::POST, &path, &json!({}))
        .await
        .unwrap();
    check_no_new_requests(&fleet, holder).await;
}

/// Index of the first engine that has held a replica: its peak memory is above zero.
async fn holder(fleet: &ProcessFleet) -> usize {
    let history = FleetHistory::read(fleet).await.unwrap();
    let held = |engine: &ward_standin::EngineHistory| engine.peak_memory.bytes() > 0;
    history.engines.iter().position(held).unwrap()
}

/// Checks that a leaving engine gets no new request and others serve its model.
async fn check_no_new_requests(fleet: &ProcessFleet, holder: usize) {
    tokio::time::sleep(MAX_LEAVE_DELAY).await;
    let before = request_count(fleet, holder).await;
    for daemon in 0..3 {
        let caller = fleet.caller(daemon);
        let reply = caller.chat("colours", "elsewhere", false).await.unwrap();
        expect_that!(reply.status.as_u16(), eq(200), "{:?}", reply.body);
    }
    expect_that!(request_count(fleet, holder).await, eq(before));
    check_guarantees(fleet).await;
}

async fn request_count(fleet: &ProcessFleet, engine: usize) -> usize {
    let history = FleetHistory::read(fleet).await.unwrap();
    history.engines[engine].requests.len()
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_submits_accept_one() {
    let fleet = fleet().await;
    let row = "colours@1;;;2;1;;1;20GiB;yes\n";
    let header = SHEET.lines().next().unwrap();
    let sheet = format!("{header}\n{row}");
    let base = fleet.dump(0).await["control"]["newest_plan"]
        .as_u64()
        .unwrap();
    let accepted = std::thread::scope(|scope| {
        let submits = [0, 1, 2].map(|daemon| {
            let (fleet, sheet) = (&fleet, &sheet);
            scope.spawn(move || fleet.submit(daemon, sheet, base).unwrap())
        });
        let outputs = submits.map(|submit| submit.join().unwrap());
        outputs
            .iter()
            .filter(|output| output.status.success())
            .count()
    });
    expect_that!(accepted, eq(1));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn retreat_during_load() {
    let fleet = fleet().await;
    let first = fleet.dump(0).await["control"]["newest_plan"]
        .as_u64()
        .unwrap();
    replace_faults(&fleet.hosts, &json!({ "store_slow": 5.0 })).await;
    let newer = SHEET.replace("quotes@1;;;1;0;", "quotes@2;;;1;1;");
    let output = fleet.submit_without_wait(1, &newer, first).unwrap();
    assert!(output.status.success(), "{output:?}");
    let loading = |dump: &Value| {
        let reservations = dump["control"]["reservations"].as_array();
        reservations.is_some_and(|items| items.iter().any(|item| item["key"] == "quotes@2"))
    };
    fleet
        .wait_until_dump(0, "the newer version's load", loading)
        .await;
    let newest = fleet.dump(0).await["control"]["newest_plan"].to_string();
    let first = first.to_string();
    let arguments = [
        "plan", "retreat", &first, "--base", &newest, "--author", "planner", "--wait",
    ];
    let output = fleet.run_client(2, &arguments).unwrap();
    assert!(output.status.success(), "{output:?}");
    let gone = |dump: &Value| !loading(dump);
    fleet
        .wait_until_dump(0, "the end of the newer version", gone)
        .await;
    let reply = fleet
        .caller(0)
        .chat("quotes", "the old one", false)
        .await
        .unwrap();
    expect_that!(reply.status.as_u16(), eq(200), "{:?}", reply.body);
    check_guarantees(&fleet).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn frozen_daemon_sends_no_expired_request() {
    let fleet = fleet().await;
    let slow = json!({ "store_slow": 3.0 });
    replace_faults(&fleet.hosts, &slow).await;
    let caller = fleet.caller(0);
    let limit = TimeSpan::from_secs(6);
    let waiting = tokio::spawn(async move { caller.chat_within("contracts", "late", limit).await });
    let loading = |dump: &Value| {
        let reservations = dump["control"]["reservations"].as_array();
        reservations.is_some_and(|items| items.iter().any(|item| item["key"] == "contracts@1"))
    };
    fleet.wait_until_dump(1, "the load", loading).await;
    fleet.daemons[0].program.freeze().unwrap();
    tokio::time::sleep(limit.duration()).await;
    fleet.daemons[0].program.thaw().unwrap();
    let reply = waiting.await.unwrap().unwrap();
    expect_that!(reply.status.is_success(), eq(false), "{:?}", reply.body);
    expect_that!(problem(&reply)["outcome"], eq("not_run"));
    let history = FleetHistory::read(&fleet).await.unwrap();
    let runs = history
        .engines
        .iter()
        .flat_map(|engine| engine.requests.values());
    let runs = runs.filter(|run| run.key == key("contracts@1"));
    expect_that!(runs.count(), eq(0));
    fleet.wait_until_full().await;
    check_guarantees(&fleet).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_with_host_list_down() {
    let fleet = fleet().await;
    replace_faults(&fleet.hosts, &json!({ "down": true })).await;
    let holder = holder(&fleet).await;
    // Only the status of the engine itself can announce that it is leaving.
    let leaving = json!({ "leaving": true });
    replace_faults(&fleet.engines[holder], &leaving).await;
    check_no_new_requests(&fleet, holder).await;
}
