//! Placement of models while engines limit their requests.

#![allow(clippy::unwrap_used)]

mod support;

use googletest::prelude::*;
use support::{at, entry, id, manifest, name, report, service, waiting};
use ward_fleet::placement::{
    MemberKey, ModelKey, ModelLoadTask, PlacementState, PlannedTask, plan_tasks,
};
use ward_fleet::{
    EngineEntry, EngineIncarnation, LimitEvidence, OrderSequence, RequestRate, ServingManifest,
};
use ward_protocol::{MonoTime, TimeSpan};

const WINDOW: TimeSpan = TimeSpan::from_secs(5);

/// Audited engines, of which those with these ids limit their requests.
fn state(entries: &[EngineEntry], limited: &[&str]) -> PlacementState {
    let mut state = PlacementState::default();
    for entry in entries {
        state.apply_entry(entry, at(0));
        let engine = state.engines.get_mut(&entry.id).unwrap();
        engine.apply_audit(OrderSequence(0), &entry.models);
        if limited.contains(&entry.id.as_str()) {
            state.limits.record(&LimitEvidence {
                incarnation: EngineIncarnation::from(&engine.info),
                rate: Some(RequestRate(1_000)),
                sent_at: at(0),
                answered_at: at(0),
            });
        }
    }
    state
}

/// Plans loads while a request waits for the model `m1`.
fn plan_waiting(
    state: &mut PlacementState,
    manifest: &ServingManifest,
    now: MonoTime,
) -> Vec<ModelLoadTask> {
    let load = report(vec![], vec![waiting("m1", None, 1)]);
    state.apply_report(MemberKey(1), load);
    state.recompute(now);
    let tasks = plan_tasks(state, manifest, WINDOW, now).into_iter();
    let loads = tasks.filter_map(|task| match task {
        PlannedTask::Model(task) => Some(task),
        _ => None,
    });
    loads.collect()
}

#[gtest]
fn plan_tasks_model_that_waits_for_a_limited_engine_gets_another_replica() {
    let entries = [entry("e1", &["m1"], &["m1"]), entry("e2", &[], &["m1"])];
    let manifest = manifest(&["m1"]);
    let mut unlimited = state(&entries, &[]);
    for millis in [2_000, 2_400] {
        expect_that!(
            plan_waiting(&mut unlimited, &manifest, at(millis)),
            is_empty()
        );
    }
    let mut limited = state(&entries, &["e1"]);
    // A permit is on its way.
    expect_that!(plan_waiting(&mut limited, &manifest, at(2_000)), is_empty());
    let loads = plan_waiting(&mut limited, &manifest, at(2_400));
    expect_that!(loads.len(), eq(1));
    expect_that!(loads[0].target.engine, eq(&id("e2")));
}

#[gtest]
fn plan_tasks_busy_model_of_a_limited_engine_gets_another_replica_at_once() {
    let entries = [entry("e1", &["m1"], &["m1"]), entry("e2", &[], &["m1"])];
    let manifest = manifest(&["m1"]);
    let mut state = state(&entries, &["e1"]);
    // 20 requests in 15 s, at a limit of one a second.
    state.demand.record_arrivals(
        ModelKey {
            service: service(),
            model: name("m1"),
        },
        20,
    );
    expect_that!(plan_waiting(&mut state, &manifest, at(100)).len(), eq(1));
}

#[gtest]
fn plan_tasks_rare_models_of_a_limited_engine_evicted_others() {
    let entries = [
        entry("e1", &["m1", "m2", "m3"], &["m1", "m2", "m3"]),
        entry("e2", &["m4", "m5", "m6"], &["m1", "m4", "m5", "m6"]),
    ];
    let manifest = manifest(&["m1", "m2", "m3", "m4", "m5", "m6"]);
    let mut state = state(&entries, &["e1"]);
    for millis in [2_000, 2_100, 2_200] {
        expect_that!(plan_waiting(&mut state, &manifest, at(millis)), is_empty());
    }
}

#[gtest]
fn plan_tasks_limited_engines_do_not_all_load_the_same_model() {
    let entries = [
        entry("e1", &["m1"], &["m1"]),
        entry("e2", &["m2"], &["m1", "m2"]),
        entry("e3", &["m2"], &["m1", "m2"]),
    ];
    let manifest = manifest(&["m1", "m2"]);
    let mut state = state(&entries, &["e1", "e2", "e3"]);
    for millis in [2_000, 2_400, 2_800] {
        expect_that!(plan_waiting(&mut state, &manifest, at(millis)), is_empty());
    }
}

#[gtest]
fn plan_tasks_limited_engine_loads_what_no_other_can() {
    let entries = [entry("e1", &[], &["m1"]), entry("e2", &["m2"], &["m2"])];
    let manifest = manifest(&["m1", "m2"]);
    let mut state = state(&entries, &["e1", "e2"]);
    let loads = plan_waiting(&mut state, &manifest, at(2_000));
    expect_that!(loads.len(), eq(1));
    expect_that!(loads[0].target.engine, eq(&id("e1")));
}
