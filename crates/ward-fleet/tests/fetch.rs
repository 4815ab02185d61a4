//! Loads from the weight store, including while engines are replaced by empty
//! ones.

#![allow(clippy::unwrap_used)]

mod support;

use googletest::prelude::*;
use support::{at, entry, id, manifest, name, report, running, waiting};
use ward_fleet::placement::{
    LoadLimiter, LoadReason, LoadSource, MemberKey, ModelLoadTask, PlacementState, PlannedTask,
    plan_tasks, slow_models,
};
use ward_fleet::{EngineEntry, LoadReport, OrderSequence, ServingManifest, WaitingCount};
use ward_protocol::TimeSpan;

const WINDOW: TimeSpan = TimeSpan::from_secs(5);
const LOAD: TimeSpan = TimeSpan::from_secs(6);

fn state(entries: &[EngineEntry]) -> PlacementState {
    let mut state = PlacementState::default();
    for entry in entries {
        state.apply_entry(entry, at(0));
        apply_engine_report(&mut state, entry);
    }
    state
}

fn apply_engine_report(state: &mut PlacementState, entry: &EngineEntry) {
    let engine = state.engines.get_mut(&entry.id).unwrap();
    engine.apply_audit(OrderSequence(0), &entry.models);
}

fn arrivals(model: &str, count: u32) -> LoadReport {
    LoadReport {
        arrivals: vec![waiting(model, None, count)],
        ..LoadReport::default()
    }
}

/// The engine `old` drains, and an engine without any copy has joined.
fn replace(state: &mut PlacementState, old: &EngineEntry, new: &str, time: u64) {
    let new = entry(new, &[], &[]);
    state.apply_entry(&new, at(time));
    apply_engine_report(state, &new);
    let mut old = old.clone();
    old.draining = true;
    state.apply_entry(&old, at(time));
}

fn plan(
    state: &mut PlacementState,
    manifest: &ServingManifest,
    load: LoadReport,
    time: u64,
) -> Vec<ModelLoadTask> {
    state.apply_report(MemberKey(1), load);
    state.recompute(at(time));
    let tasks = plan_tasks(state, manifest, WINDOW, at(time));
    let tasks = tasks.into_iter().filter_map(|task| match task {
        PlannedTask::Model(task) => Some(task),
        _ => None,
    });
    tasks.collect()
}

#[gtest]
fn plan_tasks_model_on_engines_that_are_replaced_is_fetched_before_they_are_gone() {
    let names = ["m1", "m2", "m3"];
    let entries: Vec<_> = (0..4)
        .map(|number| entry(&format!("e{number}"), &names, &names))
        .collect();
    let mut state = state(&entries);
    let manifest = manifest(&names);
    plan(&mut state, &manifest, arrivals("m1", 150), 1_000);
    let mut fetched = Vec::new();
    for step in 0..3 {
        let time = 2_000 + step * 1_000;
        let old = &entries[usize::try_from(step).unwrap()];
        replace(&mut state, old, &format!("new{step}"), time);
        fetched.extend(plan(&mut state, &manifest, LoadReport::default(), time));
    }
    let first = fetched.first().unwrap();
    expect_that!(first.model, eq(&name("m1")));
    expect_that!(first.source, eq(LoadSource::Store));
    expect_that!(first.reason, eq(LoadReason::Leaving));
    expect_that!(first.target.engine.as_str(), starts_with("new"));
}

#[gtest]
fn plan_tasks_model_whose_copies_stay_is_not_fetched() {
    let entries = [
        entry("e1", &["m1"], &["m1"]),
        entry("e2", &["m1"], &["m1"]),
        entry("e3", &[], &[]),
    ];
    let mut state = state(&entries);
    let manifest = manifest(&["m1"]);
    for step in 0..50 {
        let load = arrivals("m1", 1);
        expect_that!(
            plan(&mut state, &manifest, load, 1_000 + step * 200),
            is_empty()
        );
    }
}

#[gtest]
fn plan_tasks_busy_model_goes_before_one_that_a_single_request_waits_for() {
    let entries = [entry("e1", &[], &[]), entry("e2", &[], &[])];
    let mut state = state(&entries);
    state.load_limiter.set_concurrency_limit(1);
    let manifest = manifest(&["busy", "rare"]);
    let load = LoadReport {
        waiting: vec![waiting("rare", None, 1), waiting("busy", None, 9)],
        arrivals: vec![waiting("busy", None, 30), waiting("rare", None, 1)],
        ..LoadReport::default()
    };
    let tasks = plan(&mut state, &manifest, load, 1_000);
    expect_that!(tasks.len(), eq(1));
    expect_that!(tasks[0].model, eq(&name("busy")));
}

#[gtest]
fn plan_tasks_draining_engine_gets_no_load() {
    let mut leaving = entry("e1", &[], &[]);
    leaving.leaves_in = Some(TimeSpan::from_secs(2));
    let mut state = state(&[leaving, entry("e2", &[], &[])]);
    let manifest = manifest(&["m1"]);
    let load = report(vec![], vec![waiting("m1", None, 1)]);
    let tasks = plan(&mut state, &manifest, load, 1_000);
    expect_that!(tasks.len(), eq(1));
    expect_that!(tasks[0].target.engine, eq(&id("e2")));
}

#[gtest]
fn plan_tasks_empty_engine_takes_a_share_of_the_busiest_model() {
    let entries = [entry("e1", &["m1"], &["m1"]), entry("e2", &[], &[])];
    let mut state = state(&entries);
    let manifest = manifest(&["m1"]);
    let mut tasks = Vec::new();
    for step in 0..20 {
        let load = report(vec![running("e1", "m1", 4)], vec![]);
        tasks.extend(plan(&mut state, &manifest, load, 1_000 + step * 100));
    }
    expect_that!(tasks.len(), eq(1));
    expect_that!(tasks[0].target.engine, eq(&id("e2")));
}

#[gtest]
fn record_load_end_limit_grows_while_loads_are_on_time() {
    let mut load_limiter = LoadLimiter::default();
    let first = load_limiter.concurrency_limit();
    for _ in 0..first {
        load_limiter.record_load_end(LOAD, LOAD, first);
    }
    expect_that!(load_limiter.concurrency_limit(), gt(first));
    let alone = load_limiter.concurrency_limit();
    load_limiter.record_load_end(LOAD, LOAD, 1);
    expect_that!(
        load_limiter.concurrency_limit(),
        eq(alone),
        "a load without others reveals nothing"
    );
}

#[gtest]
fn record_load_end_late_load_sets_the_limit() {
    for (served, concurrent_loads) in [(1, 2), (4, 5), (4, 8), (3, 4)] {
        let mut load_limiter = LoadLimiter::default();
        load_limiter.set_concurrency_limit(concurrent_loads);
        let taken = TimeSpan::from_millis(LOAD.millis() * u64::from(concurrent_loads) / served);
        load_limiter.record_load_end(LOAD, taken + TimeSpan::from_millis(500), concurrent_loads);
        expect_that!(u64::from(load_limiter.concurrency_limit()), eq(served));
        for _ in 0..served {
            load_limiter.record_load_end(LOAD, LOAD, load_limiter.concurrency_limit());
        }
        expect_that!(u64::from(load_limiter.concurrency_limit()), eq(served));
    }
}

/// Runs the planned loads in virtual time; returns when a model is ready.
fn ready_time(
    state: &mut PlacementState,
    manifest: &ServingManifest,
    waits: &[WaitingCount],
    model: &str,
    from: u64,
) -> u64 {
    let mut running: Vec<(u64, ModelLoadTask)> = Vec::new();
    for time in (from..from + 90_000).step_by(100) {
        running.retain(|(end, task)| {
            if *end > time {
                return true;
            }
            let engine = state.engine_mut(&task.target).unwrap();
            engine.task = None;
            engine.record_model_loaded(&task.model, at(time));
            false
        });
        let held = |engine: &ward_fleet::placement::PlacedEngine| {
            engine
                .held
                .contains_key::<ward_protocol::ModelName>(&name(model))
        };
        if state.engines.values().any(held) {
            return time;
        }
        let tasks = plan(state, manifest, report(vec![], waits.to_vec()), time);
        running.extend(tasks.into_iter().map(|task| (time + LOAD.millis(), task)));
    }
    panic!("{model} is never ready");
}

#[gtest]
fn slow_models_ready_time_is_accurate() {
    let names: Vec<String> = (0..12).map(|number| format!("m{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let manifest = manifest(&names);
    for limit in [1, 2, 4] {
        for wanted in ["m0", "m5", "m11"] {
            let entries: Vec<_> = (0..6)
                .map(|number| entry(&format!("e{number}"), &[], &[]))
                .collect();
            let mut state = state(&entries);
            state.load_limiter.set_concurrency_limit(limit);
            let counts = names.iter().zip(1..);
            let waits: Vec<_> = counts
                .map(|(model, number)| waiting(model, None, 13 - number))
                .collect();
            state.apply_report(MemberKey(1), report(vec![], waits.clone()));
            state.recompute(at(1_000));
            let mut planned = state.clone();
            plan_tasks(&mut planned, &manifest, WINDOW, at(1_000));
            let slow = slow_models(&planned, &manifest, at(1_000));
            let estimate = slow.iter().find(|slow| slow.model == name(wanted)).unwrap();
            let ready = ready_time(&mut state, &manifest, &waits, wanted, 1_000);
            let taken = ready - 1_000;
            expect_that!(
                taken,
                le(estimate.ready_in.millis() + 1_000),
                "{wanted}, {limit} concurrent loads"
            );
            expect_that!(
                taken + 1_000,
                ge(estimate.ready_in.millis()),
                "{wanted}, {limit} concurrent loads"
            );
        }
    }
}

#[gtest]
fn plan_tasks_busy_model_on_many_engines_is_fetched_while_all_are_replaced() {
    let names = ["m1", "m2", "m3"];
    let entries: Vec<_> = (0..9)
        .map(|number| entry(&format!("e{number}"), &names, &names))
        .collect();
    let mut state = state(&entries);
    let manifest = manifest(&names);
    plan(&mut state, &manifest, arrivals("m1", 30), 1_000);
    let mut fetched = Vec::new();
    for step in 0..2 {
        let time = 2_000 + step * 300;
        let old = &entries[usize::try_from(step).unwrap()];
        replace(&mut state, old, &format!("new{step}"), time);
        fetched.extend(plan(&mut state, &manifest, LoadReport::default(), time));
        fetched.extend(plan(
            &mut state,
            &manifest,
            LoadReport::default(),
            time + 150,
        ));
    }
    let models: Vec<_> = fetched.iter().map(|task| task.model.as_str()).collect();
    expect_that!(models, contains(eq(&"m1")));
}

#[gtest]
fn plan_tasks_load_of_a_removed_engine_still_counts_at_the_store() {
    let entries = [entry("e1", &[], &[]), entry("e2", &[], &[])];
    let mut state = state(&entries);
    state.load_limiter.set_concurrency_limit(1);
    let manifest = manifest(&["m1", "m2"]);
    let load = report(vec![], vec![waiting("m1", None, 1), waiting("m2", None, 1)]);
    let tasks = plan(&mut state, &manifest, load.clone(), 1_000);
    expect_that!(tasks.len(), eq(1));
    state.remove_engine(&tasks[0].target.engine, at(2_000));
    expect_that!(plan(&mut state, &manifest, load.clone(), 3_000), is_empty());
    expect_that!(plan(&mut state, &manifest, load, 7_100).len(), eq(1));
}

#[gtest]
fn allows_first_window_of_a_term_leaves_room_for_earlier_loads() {
    let mut load_limiter = LoadLimiter::default();
    load_limiter.begin_term(at(10_000));
    let mut started = 0;
    for step in 0..100 {
        let now = at(10_000 + step * 50);
        if load_limiter.allows(0, 3.5, WINDOW, now) {
            load_limiter.record_load_start(now, WINDOW);
            started += 1;
        }
    }
    // Number of loads that the platform allows above the rate in one window.
    expect_that!(started, eq(3));
    expect_true!(load_limiter.allows(0, 3.5, WINDOW, at(15_100)));
}

#[gtest]
fn slow_models_long_overdue_load_is_not_expected_soon() {
    let mut state = state(&[entry("e1", &[], &[])]);
    let manifest = manifest(&["m1"]);
    let load = report(vec![], vec![waiting("m1", None, 1)]);
    expect_that!(plan(&mut state, &manifest, load, 1_000).len(), eq(1));
    let late = 1_000 + 4 * LOAD.millis();
    let slow = slow_models(&state, &manifest, at(late));
    expect_that!(slow[0].ready_in, ge(LOAD));
}
