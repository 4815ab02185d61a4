//! The whole path, every part a process of its own: an operator submits a
//! sheet, a caller asks for addresses, and a cold model answers.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::fs;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::Value;
use ward_protocol::OrderKind;
use ward_standin::ServiceHistory;
use ward_standin::engine::{EngineHistory, OrderEntry, answer_text};
use ward_test_support::process::{
    DaemonTimes, EngineChoice, FleetSettings, ProcessFleet, program_path,
};
use ward_test_support::{CallerClient, StreamText};

const SHEET: &str = "\
target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable
colours@1;;;1;0;;1;20GiB;yes
colours:wedding@1;;;1;0;;1;1GiB;yes
contracts@1;;;1;1;;5;40GiB;yes
services/booking;;;;;;0;;no
";
const PATIENCE: Duration = Duration::from_secs(20);

fn fleet() -> ProcessFleet {
    let engine = |zone: &str, checks_fencing| EngineChoice {
        zone: zone.to_owned(),
        checks_fencing,
        arguments: Vec::new(),
    };
    let settings = FleetSettings {
        daemons: ["bezigrad", "vic", "moste"].map(str::to_owned).to_vec(),
        engines: vec![
            engine("bezigrad", true),
            engine("vic", false),
            engine("moste", true),
        ],
        services: vec!["booking".to_owned()],
        times: DaemonTimes::default(),
    };
    ProcessFleet::start(&settings).unwrap()
}

fn operator(fleet: &ProcessFleet, arguments: &[&str]) -> Output {
    let daemon = fleet.daemons[0].operators.to_string();
    Command::new(program_path("persimmon").unwrap())
        .args(arguments)
        .args(["--daemon", &daemon])
        .output()
        .unwrap()
}

async fn until_ok(mut check: impl AsyncFnMut() -> bool) {
    let limit = Instant::now() + PATIENCE;
    while !check().await {
        assert!(Instant::now() < limit, "not seen in time");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn until_ready(fleet: &ProcessFleet) {
    for daemon in &fleet.daemons {
        let client = CallerClient::new(daemon.operators);
        until_ok(async || {
            let reply = client.get("/readyz").await;
            reply.is_ok_and(|reply| reply.status.is_success())
        })
        .await;
    }
}

fn submit(fleet: &ProcessFleet) {
    let path = fleet.folder().join("sheet.csv");
    fs::write(&path, SHEET).unwrap();
    let file = path.display().to_string();
    let arguments = [
        "plan", "submit", &file, "--base", "0", "--author", "planner", "--wait",
    ];
    let output = operator(fleet, &arguments);
    assert!(output.status.success(), "{output:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_path_cold_model() {
    let fleet = fleet();
    until_ready(&fleet).await;
    submit(&fleet);

    let entry = CallerClient::new(fleet.daemons[1].callers);
    let entries: Value = entry.get("/v1/entries").await.unwrap().json().unwrap();
    let addresses = entries["entries"].as_array().unwrap();
    assert_that!(addresses.len(), eq(3));
    let address = addresses[2]["address"].as_str().unwrap().parse().unwrap();

    let caller = CallerClient::new(address);
    let reply = caller
        .chat("colours", "ivory with sage", true)
        .await
        .unwrap();
    assert_that!(reply.status.as_u16(), eq(200), "{:?}", reply.body);
    let stream = StreamText::of_body(&reply.body);
    assert_that!(stream.whole, eq(true));
    let expected = answer_text("ivory with sage", 16);
    assert_that!(stream.text, eq(&expected));

    let reply = caller
        .chat("colours:wedding", "ivory", false)
        .await
        .unwrap();
    assert_that!(reply.status.as_u16(), eq(200));
    check_loads(&fleet).await;
}

async fn check_loads(fleet: &ProcessFleet) {
    let mut loads = Vec::new();
    for engine in &fleet.engines {
        let history: EngineHistory = engine.control().history().await.unwrap();
        assert_that!(history.overcommits, eq(0));
        loads.extend(history.orders.iter().filter_map(loaded_key));
    }
    loads.sort();
    assert_that!(
        loads,
        eq(&["colours:wedding@1", "colours@1", "contracts@1"])
    );
}

fn loaded_key(entry: &OrderEntry) -> Option<String> {
    match &entry.order.kind {
        OrderKind::Load { key, .. } => Some(key.to_string()),
        OrderKind::Touch | OrderKind::Unload { .. } | OrderKind::Role { .. } => None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_path_charge_once() {
    let fleet = fleet();
    until_ready(&fleet).await;
    submit(&fleet);

    let charge = async |daemon: usize| {
        let caller = CallerClient::new(fleet.daemons[daemon].callers);
        let path = "booking/deposits";
        caller
            .service(path, Some("deposit-7"), "{\"euro\":50}")
            .await
    };
    let replies = futures::future::join_all([0, 1, 2, 0, 1].map(charge)).await;
    for reply in replies {
        assert_that!(reply.unwrap().status.as_u16(), eq(200));
    }
    let history: ServiceHistory = fleet.services[0].control().history().await.unwrap();
    assert_that!(history.runs_by_key["deposit-7"], eq(1));
}
