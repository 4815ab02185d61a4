//! Incarnations of engines that have ended, and heartbeats that come after that.

mod support;

use googletest::prelude::*;
use support::{at, entry, id};
use ward_fleet::placement::PlacementState;
use ward_fleet::{EngineBirth, EngineEntry, EngineIncarnation};

fn takes_requests(state: &PlacementState) -> bool {
    state.engines[&id("e1")].public_info().takes_requests()
}

#[gtest]
fn mark_ended_engine_with_a_later_heartbeat_takes_requests() {
    let first = entry("e1", &["m1"], &["m1"]);
    let mut state = PlacementState::default();
    state.apply_entry(&first, at(0));
    let ended = EngineIncarnation::from(&first);
    state.mark_ended(&ended, at(2_000));
    // Written before the engine ended.
    state.apply_entry(&first, at(2_100));
    expect_false!(takes_requests(&state));
    state.apply_entry(&first, at(3_200));
    expect_true!(takes_requests(&state));
    // Told again, or of another incarnation.
    state.mark_ended(&ended, at(2_000));
    expect_true!(takes_requests(&state));
    let other = EngineIncarnation {
        birth: Some(EngineBirth(9)),
        ..ended
    };
    state.mark_ended(&other, at(4_000));
    expect_true!(takes_requests(&state));
}

/// Guards against a heartbeat that was read late, after the engine's report had told that
/// another incarnation, maybe of another software version, runs under its id.
#[gtest]
fn mark_restarted_engine_with_a_later_heartbeat_of_the_former_one_took_requests() {
    let first = entry("e1", &["m1"], &["m1"]);
    let mut state = PlacementState::default();
    state.apply_entry(&first, at(0));
    let former = EngineIncarnation::from(&first);
    expect_true!(state.mark_restarted(&former));
    expect_false!(state.mark_restarted(&former));
    state.mark_ended(&former, at(2_000));
    state.apply_entry(&first, at(9_000));
    expect_false!(takes_requests(&state));
    let second = EngineEntry {
        birth: Some(EngineBirth(2)),
        ..first
    };
    state.apply_entry(&second, at(9_100));
    expect_true!(takes_requests(&state));
}
