//! Replays of small traces.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_bench::replay::{
    FleetShape, KeepRule, ReplayPolicy, ReplayTrouble, RequestTrace, TraceModel, TraceRequest,
    WaitRecorder, WorkloadFile, draw_trace, replay_trace,
};
use ward_protocol::{CacheTier, MemorySize, MonoTime, PriorityLevel, TimeSpan};

const fn at(seconds: u64) -> MonoTime {
    MonoTime(seconds * 1_000_000)
}

fn trace(times: &[u64]) -> RequestTrace {
    let request = |seconds: &u64| TraceRequest {
        arrives_at: at(*seconds),
        model: 0,
        service: TimeSpan::from_secs(10),
        deadline: TimeSpan::from_secs(120),
        priority: PriorityLevel::FIRST,
        prefix: 0,
    };
    RequestTrace {
        models: vec![TraceModel {
            key: "m@1".parse().unwrap(),
            memory: MemorySize::from_gib(40),
            replicas: 1,
            priority: PriorityLevel::FIRST,
            ready: 0,
            ready_from: None,
            service: TimeSpan::from_secs(10),
            base: None,
            tiers: vec![CacheTier::Remote],
        }],
        requests: times.iter().map(request).collect(),
    }
}

fn fleet() -> FleetShape {
    FleetShape {
        engines: 1,
        zones: vec!["a".parse().unwrap()],
        memory: MemorySize::from_gib(80),
        disk_checkpoints: 4,
    }
}

#[googletest::test]
fn wait_recorder_long_wait() {
    let mut recorder = WaitRecorder::new().unwrap();
    recorder.record(TimeSpan::from_secs(120));
    expect_that!(recorder.quantiles().p50, near(120.0, 0.2));
}

#[googletest::test]
fn replay_fixed_idle_time() {
    let policy = ReplayPolicy::baseline(KeepRule::Fixed(TimeSpan::from_secs(60)));
    let requests = trace(&[1_000]);
    let outcome = replay_trace(&requests, &fleet(), &policy, ReplayTrouble::None).unwrap();
    // 50 s to wake and load, 60 s kept, 30 s empty; the replica takes half of the engine's memory.
    expect_that!(outcome.idle_seconds, near(140.0, 0.01));
    expect_that!(outcome.held_seconds, near(55.0, 0.01));
    expect_that!(outcome.waits.quantiles().p50, near(50.0, 0.1));
    expect_that!(outcome.loads, eq(1));
}

#[googletest::test]
fn replay_clairvoyant_preload_loads_before_request() {
    let policy = ReplayPolicy::baseline(KeepRule::ClairvoyantPreload);
    let requests = trace(&[1_000, 9_000, 18_000]);
    let outcome = replay_trace(&requests, &fleet(), &policy, ReplayTrouble::None).unwrap();
    expect_that!(outcome.preloads, eq(2));
}

#[googletest::test]
fn replay_adapter_keeps_base() {
    let mut requests = trace(&[1_000, 9_000]);
    let mut adapter = requests.models[0].clone();
    adapter.key = "m:fine@1".parse().unwrap();
    adapter.memory = MemorySize::from_mib(256);
    adapter.base = Some(0);
    requests.models.push(adapter);
    for request in &mut requests.requests {
        request.model = 1;
    }
    let policy = ReplayPolicy::baseline(KeepRule::UnloadAtOnce);
    let mut outcome = replay_trace(&requests, &fleet(), &policy, ReplayTrouble::None).unwrap();
    expect_that!(outcome.counts_of(PriorityLevel::FIRST).served, eq(2));
}

#[googletest::test]
fn replay_log_down_refuses() {
    let policy = ReplayPolicy::ours(0.5);
    let saturday_morning = 5 * 86_400 + 9 * 3_600 + 60;
    let requests = trace(&[saturday_morning]);
    let mut outcome = replay_trace(&requests, &fleet(), &policy, ReplayTrouble::LogDown).unwrap();
    expect_that!(outcome.counts_of(PriorityLevel::FIRST).refused, eq(1));
}

#[googletest::test]
fn draw_trace_same_seed_is_deterministic() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/workloads");
    for entry in std::fs::read_dir(folder).unwrap() {
        let file = WorkloadFile::read(&entry.unwrap().path()).unwrap();
        let first = draw_trace(&file, 1).unwrap();
        let again = draw_trace(&file, 1).unwrap();
        let times = |trace: &RequestTrace| -> Vec<MonoTime> {
            trace
                .requests
                .iter()
                .map(|request| request.arrives_at)
                .collect()
        };
        expect_that!(times(&first), eq(&times(&again)));
        expect_that!(first.requests.is_empty(), eq(false));
    }
}
