//! Engine state from the store and the coordinator's view.

#![allow(clippy::unwrap_used)]

mod support;

use googletest::prelude::*;
use support::{at, empty_view, entry, info, name, service};
use ward_fleet::placement::PlacementState;
use ward_fleet::{EngineBirth, EngineIncarnation, EngineInfo, EngineTable, FleetView};

fn view(complete: bool, engines: Vec<EngineInfo>) -> FleetView {
    FleetView {
        complete,
        engines,
        ..empty_view()
    }
}

fn lapsed(id: &str) -> EngineInfo {
    EngineInfo {
        lapsed: true,
        ..info(id, &["m1"])
    }
}

#[gtest]
fn apply_removed_engine_does_not_return_as_lapsed() {
    let mut table = EngineTable::default();
    table.insert(info("e1", &["m1"]));
    table.insert(info("e2", &["m1"]));
    // This daemon can read the store; only the coordinator cannot.
    table.remove(&name("e1"));
    let listed = vec![lapsed("e1"), info("e2", &["m1"])];
    table.apply(&view(true, listed), false);
    expect_that!(table.get(&name("e1")), none());
    expect_that!(table.get(&name("e2")), some(anything()));
    // The engine's entry is in the store again.
    table.apply(&view(false, vec![info("e1", &["m1"])]), false);
    expect_that!(table.get(&name("e1")), some(anything()));
}

#[gtest]
fn apply_lapsed_engine_is_kept_where_it_is_known() {
    let mut table = EngineTable::default();
    table.insert(info("e1", &["m1"]));
    table.apply(&view(true, vec![lapsed("e1")]), false);
    expect_that!(table.get(&name("e1")), some(anything()));
}

#[gtest]
fn mark_lapsed_lasts_until_the_next_heartbeat() {
    let mut state = PlacementState::default();
    state.apply_entry(&entry("e1", &["m1"], &[]), at(0));
    state.mark_lapsed(&name("e1"));
    expect_true!(state.engines[0].public_info().lapsed);
    state.apply_entry(&entry("e1", &["m1"], &[]), at(100));
    expect_false!(state.engines[0].public_info().lapsed);
}

fn incarnation(id: &str) -> EngineIncarnation {
    EngineIncarnation::from(&info(id, &[]))
}

#[gtest]
fn mark_leaving_stale_info_of_the_same_incarnation_does_not_end_it() {
    let mut table = EngineTable::default();
    table.insert(info("e1", &["m1"]));
    expect_true!(table.mark_leaving(&incarnation("e1")));
    expect_false!(table.mark_leaving(&incarnation("e1")), "already marked");
    table.apply(&view(true, vec![info("e1", &["m1"])]), false);
    expect_true!(table.get(&name("e1")).unwrap().info.draining);
    // It also stays draining after its entry was missing for a while.
    table.remove(&name("e1"));
    table.insert_entry(info("e1", &["m1"]), true);
    expect_true!(table.get(&name("e1")).unwrap().info.draining);
}

#[gtest]
fn mark_leaving_next_incarnation_under_the_same_id_serves() {
    let mut table = EngineTable::default();
    table.insert(info("e1", &["m1"]));
    table.mark_leaving(&incarnation("e1"));
    let next = EngineInfo {
        birth: Some(EngineBirth(i64::MAX)),
        ..info("e1", &["m1"])
    };
    table.insert(next);
    expect_false!(table.get(&name("e1")).unwrap().info.draining);
}

#[gtest]
fn mark_leaving_lasts_beyond_the_next_heartbeat() {
    let mut state = PlacementState::default();
    state.apply_entry(&entry("e1", &["m1"], &[]), at(0));
    state.mark_leaving(&incarnation("e1"), at(10));
    expect_true!(state.engines[0].public_info().draining);
    // The engine's entry in the store is not draining yet.
    state.apply_entry(&entry("e1", &["m1"], &[]), at(100));
    expect_true!(state.engines[0].public_info().draining);
}

#[gtest]
fn insert_entry_engine_that_ended_stays_ended() {
    let mut table = EngineTable::default();
    let ended = EngineInfo {
        ended: true,
        ..info("e1", &["m1"])
    };
    table.insert(ended);
    let is_used = |table: &EngineTable| table.of_service(&service()).next().is_some();
    // Its last heartbeat may be read after its end was noticed.
    table.insert_entry(info("e1", &["m1"]), false);
    expect_false!(is_used(&table));
    table.insert_entry(info("e1", &["m1"]), true);
    expect_true!(is_used(&table), "no coordinator knows better");
}

#[gtest]
fn has_departed_until_the_engine_is_inserted_again() {
    let mut table = EngineTable::default();
    let engine = info("e1", &["m1"]);
    let incarnation = EngineIncarnation::from(&engine);
    table.insert(engine.clone());
    expect_false!(table.has_departed(&incarnation));
    table.apply(&view(true, vec![]), false);
    expect_true!(table.has_departed(&incarnation));
    let restarted = EngineIncarnation {
        birth: Some(EngineBirth(2)),
        ..incarnation.clone()
    };
    expect_false!(table.has_departed(&restarted));
    table.insert(engine);
    expect_false!(table.has_departed(&incarnation));
}
