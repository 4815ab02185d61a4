//! The path from operator to caller with every part as a separate process: an operator
//! submits a sheet, a caller gets the addresses of the daemons, and a cold model answers.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use googletest::prelude::*;
use serde_json::Value;
use ward_protocol::OrderKind;
use ward_standin::engine::{EngineHistory, OrderEntry, answer_text};
use ward_standin::service::ServiceHistory;
use ward_test_support::process::{FleetSettings, ProcessFleet};
use ward_test_support::{CallerClient, StreamText};

const SHEET: &str = "\
target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable
colours@1;;;1;0;;1;20GiB;yes
colours:wedding@1;;;1;0;;1;1GiB;yes
contracts@1;;;1;1;;5;40GiB;yes
services/booking;;;;;;0;;no
";

async fn fleet() -> ProcessFleet {
    let fleet = ProcessFleet::start(&FleetSettings::small()).unwrap();
    fleet.wait_until_full().await;
    let output = fleet.submit(0, SHEET, 0).unwrap();
    assert!(output.status.success(), "{output:?}");
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_path_cold_model() {
    let fleet = fleet().await;
    let entries: Value = fleet
        .caller(1)
        .get("/v1/entries")
        .await
        .unwrap()
        .json()
        .unwrap();
    let addresses = entries["entries"].as_array().unwrap();
    assert_that!(addresses.len(), eq(3));
    let address = addresses[2]["address"].as_str().unwrap().parse().unwrap();

    let caller = CallerClient::new(address);
    let reply = caller
        .chat("colours", "ivory with sage", true)
        .await
        .unwrap();
    assert_that!(reply.status.as_u16(), eq(200), "{:?}", reply.body);
    let stream = StreamText::from_body(&reply.body);
    assert_that!(stream.complete, eq(true));
    assert_that!(stream.text, eq(&answer_text("ivory with sage", 16)));

    let reply = caller
        .chat("colours:wedding", "ivory", false)
        .await
        .unwrap();
    assert_that!(reply.status.as_u16(), eq(200), "{:?}", reply.body);
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
    let fleet = fleet().await;
    let charge = async |daemon: usize| {
        let caller = fleet.caller(daemon);
        let path = "booking/deposits";
        caller
            .call_service(path, Some("deposit-7"), "{\"euro\":50}")
            .await
    };
    let replies = futures::future::join_all([0, 1, 2, 0, 1].map(charge)).await;
    for reply in replies {
        assert_that!(reply.unwrap().status.as_u16(), eq(200));
    }
    let history: ServiceHistory = fleet.services[0].control().history().await.unwrap();
    assert_that!(history.runs_by_key["deposit-7"], eq(1));
}
