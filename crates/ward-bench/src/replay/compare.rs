//! Runs every policy of a comparison over the same traces.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use ward_protocol::TimeSpan;

use super::row::ReplayRow;
use super::rule::{KeepRule, ReplayPolicy, StoreOrder};
use super::run::{ReplayError, replay_trace};
use super::trace::draw_trace;
use super::trouble::ReplayTrouble;
use super::workload::WorkloadFile;

/// Weights of cold starts against idle time with which the project's policy is replayed.
pub const COLD_WEIGHTS: [f64; 8] = [0.02, 0.1, 0.25, 0.5, 0.75, 0.9, 0.97, 0.99];
/// Keep times of the fixed baselines in seconds.
pub const FIXED_SECONDS: [u64; 10] = [15, 60, 180, 600, 1_200, 1_800, 3_600, 7_200, 14_400, 43_200];
/// Keep time of the first-come baseline.
const FIRST_COME_KEEP: TimeSpan = TimeSpan::from_secs(600);

/// What a comparison replays: every policy with each workload, trouble and seed.
#[derive(Debug, Clone)]
pub struct ReplayTask {
    /// Workloads, in the order of the rows.
    pub files: Vec<WorkloadFile>,
    /// Faults to inject, one per replay.
    pub troubles: Vec<ReplayTrouble>,
    /// Seeds; each gives one trace of every workload.
    pub seeds: Vec<u64>,
    /// Number of threads; 0 counts as 1.
    pub threads: usize,
}

/// All settings of the project's policy, and the baselines.
#[must_use]
pub fn compared_policies() -> Vec<ReplayPolicy> {
    let fixed = FIXED_SECONDS.map(|seconds| KeepRule::Fixed(TimeSpan::from_secs(seconds)));
    let other_baselines = [
        KeepRule::Forever,
        KeepRule::UnloadAtOnce,
        KeepRule::ClairvoyantPreload,
    ];
    let first_come = ReplayPolicy {
        order: StoreOrder::FirstCome,
        ..ReplayPolicy::baseline(KeepRule::Fixed(FIRST_COME_KEEP))
    };
    let ours = COLD_WEIGHTS.map(ReplayPolicy::ours);
    let clairvoyant = COLD_WEIGHTS.map(|weight| ReplayPolicy {
        keep: KeepRule::Clairvoyant,
        urgency: false,
        ..ReplayPolicy::ours(weight)
    });
    ours.into_iter()
        .chain(fixed.map(ReplayPolicy::baseline))
        .chain(other_baselines.map(ReplayPolicy::baseline))
        .chain([first_come])
        .chain(clairvoyant)
        .collect()
}

/// Runs a comparison; rows are ordered by workload, as in the task, then by seed.
///
/// # Errors
///
/// When a trace or a replay cannot be made.
pub fn compare_policies(task: &ReplayTask) -> Result<Vec<ReplayRow>, ReplayError> {
    let jobs: Vec<(&WorkloadFile, u64)> = task
        .files
        .iter()
        .flat_map(|file| task.seeds.iter().map(move |seed| (file, *seed)))
        .collect();
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..task.threads.max(1) {
            scope.spawn(|| {
                while let Some((file, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let rows = compare_trace(file, &task.troubles, *seed);
                    if let Ok(mut done) = done.lock() {
                        done.push(rows);
                    }
                }
            });
        }
    });
    let parts = done.into_inner().unwrap_or_default();
    let parts: Result<Vec<Vec<ReplayRow>>, ReplayError> = parts.into_iter().collect();
    let mut rows: Vec<ReplayRow> = parts?.into_iter().flatten().collect();
    let position = |name: &str| task.files.iter().position(|file| file.name == name);
    rows.sort_by_key(|row| (position(&row.workload), row.seed));
    Ok(rows)
}

fn compare_trace(
    file: &WorkloadFile,
    troubles: &[ReplayTrouble],
    seed: u64,
) -> Result<Vec<ReplayRow>, ReplayError> {
    let trace = draw_trace(file, seed)?;
    let mut rows = Vec::new();
    for trouble in troubles {
        for policy in compared_policies() {
            let outcome = replay_trace(&trace, &file.fleet, &policy, *trouble)?;
            rows.push(ReplayRow::new(
                &file.name, *trouble, &policy, seed, &outcome,
            ));
        }
    }
    Ok(rows)
}
