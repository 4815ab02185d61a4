//! Placement of models and adapters under various loads.

#![allow(clippy::unwrap_used)]

mod support;

use googletest::prelude::*;
use support::{at, entry, held, id, manifest, name, report, running, service, waiting};
use ward_fleet::placement::{
    AuditState, LoadReason, LoadSource, MemberKey, ModelKey, ModelLoadTask, PlacementState,
    PlannedTask, plan_tasks, slow_models,
};
use ward_fleet::{
    EngineBirth, EngineEntry, EngineIncarnation, LoadReport, OrderSequence, ServingManifest,
};
use ward_protocol::{MonoTime, TimeSpan};

const WINDOW: TimeSpan = TimeSpan::from_secs(5);

fn state(entries: &[EngineEntry]) -> PlacementState {
    let mut state = PlacementState::default();
    for entry in entries {
        state.apply_entry(entry, at(0));
        let engine = state.engines.get_mut(&entry.id).unwrap();
        engine.apply_audit(OrderSequence(0), &entry.models);
    }
    state
}

fn plan(
    state: &mut PlacementState,
    manifest: &ServingManifest,
    load: LoadReport,
    now: MonoTime,
) -> Vec<PlannedTask> {
    state.apply_report(MemberKey(1), load);
    state.recompute(now);
    plan_tasks(state, manifest, WINDOW, now)
}

fn models(tasks: &[PlannedTask]) -> Vec<&ModelLoadTask> {
    let tasks = tasks.iter().filter_map(|task| match task {
        PlannedTask::Model(task) => Some(task),
        _ => None,
    });
    tasks.collect()
}

#[gtest]
fn plan_tasks_new_engine_is_audited_before_it_gets_orders() {
    let mut state = PlacementState::default();
    state.apply_entry(&entry("e1", &[], &["m1"]), at(0));
    let manifest = manifest(&["m1"]);
    let load = report(vec![], vec![waiting("m1", None, 1)]);
    let tasks = plan(&mut state, &manifest, load.clone(), at(2_000));
    expect_that!(
        tasks,
        elements_are![matches_pattern!(PlannedTask::Audit(_))]
    );
    expect_that!(plan(&mut state, &manifest, load, at(2_010)), is_empty());
}

#[gtest]
fn plan_tasks_missing_model_comes_from_the_engine_that_has_a_copy() {
    let entries = [
        entry("e1", &[], &[]),
        entry("e2", &["m2", "m3", "m4"], &["m1", "m2", "m3", "m4"]),
    ];
    let mut state = state(&entries);
    let manifest = manifest(&["m1", "m2", "m3", "m4"]);
    let load = report(vec![], vec![waiting("m1", None, 1)]);
    let tasks = plan(&mut state, &manifest, load, at(2_000));
    let tasks = models(&tasks);
    expect_that!(tasks.len(), eq(1));
    expect_that!(tasks[0].target.engine, eq(&id("e2")));
    expect_that!(tasks[0].source, eq(LoadSource::Disk));
    expect_that!(tasks[0].unload.len(), eq(1));
}

#[gtest]
fn plan_tasks_models_in_use_are_not_evicted() {
    let mut state = state(&[entry("e1", &["m2", "m3", "m4"], &["m1"])]);
    let manifest = manifest(&["m1", "m2", "m3", "m4"]);
    let busy = vec![
        running("e1", "m2", 1),
        running("e1", "m3", 1),
        running("e1", "m4", 1),
    ];
    let load = report(busy, vec![waiting("m1", None, 1)]);
    expect_that!(
        models(&plan(&mut state, &manifest, load, at(2_000))),
        is_empty()
    );
}

#[gtest]
fn plan_tasks_model_in_use_elsewhere_is_evicted_for_a_missing_one() {
    let entries = [
        entry("e1", &["m2", "m3", "m4"], &["m1"]),
        entry("e2", &["m3"], &[]),
    ];
    let mut state = state(&entries);
    let manifest = manifest(&["m1", "m2", "m3", "m4"]);
    let busy = vec![
        running("e1", "m2", 1),
        running("e1", "m3", 1),
        running("e1", "m4", 1),
    ];
    let load = report(busy, vec![waiting("m1", None, 1)]);
    let tasks = plan(&mut state, &manifest, load, at(2_000));
    let tasks = models(&tasks);
    expect_that!(tasks.len(), eq(1));
    expect_that!(tasks[0].unload, elements_are![eq(&name("m3"))]);
}

#[gtest]
fn plan_tasks_one_load_for_all_waiting_requests() {
    let entries = [entry("e1", &[], &["m1"]), entry("e2", &[], &["m1"])];
    let mut state = state(&entries);
    let manifest = manifest(&["m1"]);
    let load = report(vec![], vec![waiting("m1", None, 1)]);
    expect_that!(
        models(&plan(&mut state, &manifest, load.clone(), at(2_000))).len(),
        eq(1)
    );
    expect_that!(
        models(&plan(&mut state, &manifest, load, at(2_050))),
        is_empty()
    );
}

#[gtest]
fn plan_tasks_memory_is_never_exceeded() {
    let names = ["m1", "m2", "m3", "m4", "m5", "m6"];
    let mut state = state(&[entry("e1", &[], &names)]);
    let manifest = manifest(&names);
    for step in 0..60 {
        let now = at(2_000 + step * 1_000);
        let wanted = names[(step % 6) as usize];
        let load = report(vec![], vec![waiting(wanted, None, 1)]);
        for task in plan(&mut state, &manifest, load, now) {
            let PlannedTask::Model(task) = task else {
                continue;
            };
            let engine = state.engine_mut(&task.target).unwrap();
            for victim in &task.unload {
                engine.record_model_unloaded(victim);
            }
            let class = manifest.engine_class(&service()).unwrap();
            expect_that!(engine.used_memory(class), le(class.weight_memory));
            engine.task = None;
            engine.record_model_loaded(&task.model, now);
        }
    }
}

#[gtest]
fn plan_tasks_busy_model_spreads_before_its_engine_is_full() {
    let entries = [
        entry("e1", &["m1"], &["m1"]),
        entry("e2", &["m2"], &["m1", "m2"]),
    ];
    let mut state = state(&entries);
    let manifest = manifest(&["m1", "m2"]);
    let mut spread = Vec::new();
    for step in 0..20 {
        let load = report(vec![running("e1", "m1", 8)], vec![]);
        let tasks = plan(&mut state, &manifest, load, at(2_000 + step * 100));
        spread.extend(models(&tasks).into_iter().cloned());
    }
    expect_that!(spread.len(), eq(1));
    expect_that!(spread[0].reason, eq(LoadReason::Busy));
    expect_that!(spread[0].target.engine, eq(&id("e2")));
}

#[gtest]
fn plan_tasks_idle_memory_gets_models_without_a_replica() {
    let entries = [
        entry("e1", &["m1"], &["m1", "m2"]),
        entry("e2", &["m2"], &["m1", "m3"]),
    ];
    let mut state = state(&entries);
    let manifest = manifest(&["m1", "m2", "m3"]);
    let tasks = plan(&mut state, &manifest, LoadReport::default(), at(2_000));
    let tasks = models(&tasks);
    expect_that!(tasks.len(), eq(1));
    expect_that!(tasks[0].model, eq(&name("m3")));
    expect_that!(tasks[0].reason, eq(LoadReason::Room));
}

#[gtest]
fn plan_tasks_loads_from_the_store_stay_below_the_allowed_rate() {
    let entries: Vec<_> = (0..20)
        .map(|number| entry(&format!("e{number}"), &[], &[]))
        .collect();
    let mut state = state(&entries);
    let names: Vec<String> = (0..20).map(|number| format!("m{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let manifest = manifest(&names);
    let mut started = 0;
    for step in 0..50 {
        let waiting = names.iter().map(|model| waiting(model, None, 1)).collect();
        let now = at(2_000 + step * 100);
        let tasks = plan(&mut state, &manifest, report(vec![], waiting), now);
        for task in models(&tasks) {
            expect_that!(task.source, eq(LoadSource::Store));
            started += 1;
            state.engine_mut(&task.target).unwrap().task = None;
        }
    }
    expect_that!(started, all!(gt(0), le(17)));
}

#[gtest]
fn plan_tasks_adapter_replaces_the_least_recently_used_one() {
    let mut entry = entry("e1", &[], &["m1"]);
    entry.models = vec![held("m1", &["a1", "a2"])];
    let mut state = state(&[entry]);
    let manifest = manifest(&["m1"]);
    let mut used = running("e1", "m1", 1);
    used.adapter = Some(name("a1"));
    let tasks = plan(&mut state, &manifest, report(vec![used], vec![]), at(2_000));
    expect_that!(tasks, is_empty());
    let load = report(vec![], vec![waiting("m1", Some("a3"), 1)]);
    let tasks = plan(&mut state, &manifest, load, at(3_000));
    let PlannedTask::Adapter(task) = &tasks[0] else {
        panic!("no adapter load is planned");
    };
    expect_that!(task.adapter, eq(&name("a3")));
    expect_that!(task.unload, some(eq(&(name("m1"), name("a2")))));
}

#[gtest]
fn apply_entry_differing_heartbeat_only_causes_an_audit() {
    let mut state = state(&[entry("e1", &["m1"], &["m1"])]);
    state.apply_entry(&entry("e1", &["m2", "m3"], &["m1"]), at(5_000));
    let engine = &state.engines[&id("e1")];
    expect_true!(
        engine
            .held
            .contains_key(&name::<ward_protocol::ModelName>("m1"))
    );
    expect_that!(engine.held.len(), eq(1));
    expect_that!(engine.audit, eq(AuditState::Needed));
}

#[gtest]
fn record_task_failure_engine_is_audited_before_more_tasks() {
    let mut state = state(&[entry("e1", &[], &["m1"])]);
    let manifest = manifest(&["m1"]);
    let load = report(vec![], vec![waiting("m1", None, 1)]);
    let tasks = plan(&mut state, &manifest, load.clone(), at(2_000));
    expect_that!(models(&tasks).len(), eq(1));
    let engine = &mut state.engines[&id("e1")];
    engine.task = None;
    engine.record_task_failure(at(2_500), TimeSpan::from_millis(300));
    expect_that!(
        plan(&mut state, &manifest, load.clone(), at(2_900)),
        is_empty()
    );
    let tasks = plan(&mut state, &manifest, load, at(6_000));
    expect_that!(
        tasks,
        elements_are![matches_pattern!(PlannedTask::Audit(_))]
    );
}

#[gtest]
fn demand_falls_slowly_and_rises_fast() {
    let mut state = state(&[entry("e1", &["m1"], &["m1"])]);
    let key = ModelKey {
        service: service(),
        model: name("m1"),
    };
    let load = report(vec![running("e1", "m1", 10)], vec![]);
    state.apply_report(MemberKey(1), load);
    state.recompute(at(1_000));
    state.recompute(at(3_000));
    let high = state.demand.get(&key).unwrap().concurrency;
    state.apply_report(MemberKey(1), LoadReport::default());
    state.recompute(at(5_000));
    let low = state.demand.get(&key).unwrap().concurrency;
    expect_that!(high, gt(9.0));
    expect_that!(low, gt(0.5 * high));
}

#[gtest]
fn plan_tasks_model_without_any_copy_is_fetched_while_the_store_is_idle() {
    let mut state = state(&[entry("e1", &["m1"], &["m1"])]);
    let manifest = manifest(&["m1", "m2", "m3"]);
    let tasks = plan(&mut state, &manifest, LoadReport::default(), at(2_000));
    let tasks = models(&tasks);
    expect_that!(tasks.len(), eq(1));
    expect_that!(tasks[0].reason, eq(LoadReason::Absent));
    let tasks = plan(&mut state, &manifest, LoadReport::default(), at(2_100));
    expect_that!(models(&tasks), is_empty());
}

#[gtest]
fn slow_models_ready_times_follow_the_order_of_loads() {
    let mut state = state(&[entry("e1", &[], &[]), entry("e2", &[], &[])]);
    state.load_limiter.set_concurrency_limit(1);
    let manifest = manifest(&["m1", "m2"]);
    let wanted = vec![waiting("m1", None, 1), waiting("m2", None, 1)];
    plan(&mut state, &manifest, report(vec![], wanted), at(2_000));
    let slow = slow_models(&state, &manifest, at(4_000));
    let spans: Vec<_> = slow.iter().map(|slow| slow.ready_in).collect();
    expect_that!(
        spans,
        elements_are![eq(&TimeSpan::from_secs(4)), eq(&TimeSpan::from_secs(10))]
    );
}

#[gtest]
fn plan_tasks_idle_memory_waits_while_an_adapter_is_loaded() {
    // When a term begins, a request for an adapter waits, and the engine has memory to
    // spare for a model on its disk. A busy engine refuses the second order.
    let manifest = manifest(&["m1", "m2"]);
    let mut state = state(&[entry("e1", &["m1"], &["m1", "m2"])]);
    let waits = report(vec![], vec![waiting("m1", Some("a1"), 1)]);
    let tasks = plan(&mut state, &manifest, waits, at(2_000));
    expect_that!(
        tasks,
        elements_are![matches_pattern!(PlannedTask::Adapter(_))]
    );
}

#[gtest]
fn plan_tasks_model_of_an_engine_that_ended_is_loaded_elsewhere() {
    let manifest = manifest(&["m1", "m2"]);
    let entries = [
        entry("e1", &["m1"], &["m1", "m2"]),
        entry("e2", &["m2"], &["m1", "m2"]),
    ];
    let mut state = state(&entries);
    let ended = EngineIncarnation {
        engine: name("e1"),
        birth: Some(EngineBirth(1)),
    };
    state.mark_ended(&ended, at(2_000));
    expect_false!(state.engines[&id("e1")].public_info().takes_requests());
    let waits = report(vec![], vec![waiting("m1", None, 1)]);
    let tasks = plan(&mut state, &manifest, waits, at(2_100));
    let models = models(&tasks);
    expect_that!(models.len(), eq(1));
    expect_that!(models[0].target.engine, eq(&id("e2")));
}

#[gtest]
fn plan_tasks_stream_gets_its_model_at_its_software_version() {
    let engine = |id: &str, software: &str, models: &[&str]| EngineEntry {
        software: name(software),
        ..entry(id, models, &["m1", "m2"])
    };
    let entries = [
        engine("e1", "v1", &["m2"]),
        engine("e2", "v1", &["m2"]),
        engine("e3", "v2", &["m1"]),
    ];
    let mut state = state(&entries);
    let manifest = manifest(&["m1", "m2"]);
    let mut stream = waiting("m1", None, 1);
    stream.software = Some(name("v1"));
    let load = report(vec![], vec![stream]);
    let tasks = plan(&mut state, &manifest, load.clone(), at(2_000));
    let tasks = models(&tasks);
    expect_that!(tasks.len(), eq(1));
    expect_that!(tasks[0].model, eq(&name("m1")));
    expect_that!(tasks[0].reason, eq(LoadReason::Missing));
    expect_that!(tasks[0].target.engine, not(eq(&id("e3"))));
    // One load serves all streams of the version.
    let again = plan(&mut state, &manifest, load, at(2_010));
    expect_that!(models(&again), is_empty());
}
