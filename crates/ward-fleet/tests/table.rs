//! What daemons know of engines, from the store and from the coordinator.

mod support;

use googletest::prelude::*;
use support::{at, empty_view, entry, info, name};
use ward_fleet::placement::PlacementState;
use ward_fleet::{EngineInfo, EngineTable, FleetView};

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
fn apply_engine_seen_to_go_does_not_return_as_lapsed() {
    let mut table = EngineTable::default();
    table.insert(info("e1", &["m1"]));
    table.insert(info("e2", &["m1"]));
    // This daemon reads the store, which is away for the coordinator only.
    table.remove(&name("e1"));
    let listed = vec![lapsed("e1"), info("e2", &["m1"])];
    table.apply(&view(true, listed), false);
    expect_that!(table.get(&name("e1")), none());
    expect_that!(table.get(&name("e2")), some(anything()));
    // It is back in the store.
    table.apply(&view(false, vec![info("e1", &["m1"])]), false);
    expect_that!(table.get(&name("e1")), some(anything()));
}

#[gtest]
fn apply_engine_that_lapsed_is_kept_where_it_is_known() {
    let mut table = EngineTable::default();
    table.insert(info("e1", &["m1"]));
    table.apply(&view(true, vec![lapsed("e1")]), false);
    expect_that!(table.get(&name("e1")), some(anything()));
}

#[gtest]
fn note_lapsed_engine_is_told_as_such_until_its_next_heartbeat() {
    let mut state = PlacementState::default();
    state.note_entry(&entry("e1", &["m1"], &[]), at(0));
    state.note_lapsed(&name("e1"));
    expect_true!(state.engine_infos()[0].lapsed);
    state.note_entry(&entry("e1", &["m1"], &[]), at(100));
    expect_false!(state.engine_infos()[0].lapsed);
}
