//! Compares the project's policy with the baselines.

use indexmap::IndexSet;
use serde::Serialize;

use super::curve::{CurvePoint, family_curve, idle_at_wait, wait_at_idle};
use crate::replay::{PolicyFamily, ReplayRow, ReplayTrouble};

/// Median, minimum and maximum of a value over seeds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SeedSpread {
    /// Median over the seeds; the upper median when their number is even.
    pub median: f64,
    /// Minimum over the seeds.
    pub least: f64,
    /// Maximum over the seeds.
    pub greatest: f64,
    /// Number of seeds for which the value is defined.
    pub seeds: usize,
}

impl SeedSpread {
    /// The spread of some values, one per seed; `None` without values.
    #[must_use]
    pub fn from_values(figures: impl IntoIterator<Item = f64>) -> Option<Self> {
        let mut figures: Vec<f64> = figures.into_iter().collect();
        figures.sort_by(f64::total_cmp);
        Some(Self {
            median: *figures.get(figures.len() / 2)?,
            least: *figures.first()?,
            greatest: *figures.last()?,
            seeds: figures.len(),
        })
    }
}

/// One setting of the project's policy, compared with the curves of the baselines.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TargetRow {
    /// The workload's name.
    pub workload: String,
    /// Fault that was injected.
    pub trouble: ReplayTrouble,
    /// Name of the policy's setting.
    pub policy: String,
    /// Idle accelerator hours in the week.
    pub idle: SeedSpread,
    /// 99th percentile of the wait in seconds.
    pub p99: SeedSpread,
    /// Ratio of `p99` to that of the best fixed keep time with as many idle hours; `None` where
    /// no seed allows the comparison.
    pub p99_to_fixed: Option<SeedSpread>,
    /// Ratio of `p99` to that of the clairvoyant keep rule with as many idle hours.
    pub p99_to_clairvoyant: Option<SeedSpread>,
    /// Ratio of `idle` to the idle hours of the best fixed keep time with the same p99.
    pub idle_to_fixed: Option<SeedSpread>,
    /// Mean wait in seconds.
    pub mean: SeedSpread,
    /// Ratio of `mean` to that of the best fixed keep time with as many idle hours.
    pub mean_to_fixed: Option<SeedSpread>,
    /// Ratio of `idle` to the idle hours of the best fixed keep time with the same mean wait.
    pub idle_to_fixed_by_mean: Option<SeedSpread>,
}

/// Waits below this many seconds count as equal: no load is that short.
const NEGLIGIBLE_SECONDS: f64 = 0.05;

/// Compares every setting of the project's policy with the baselines, for each workload and
/// trouble.
#[must_use]
pub fn compare_targets(rows: &[ReplayRow]) -> Vec<TargetRow> {
    let ours = rows.iter().filter(|row| row.family == PolicyFamily::Ours);
    let groups: IndexSet<(&str, &str, &str)> = ours
        .map(|row| {
            (
                row.workload.as_str(),
                row.trouble.name(),
                row.policy.as_str(),
            )
        })
        .collect();
    groups
        .into_iter()
        .filter_map(|(workload, trouble, policy)| {
            let chosen: Vec<&ReplayRow> = rows
                .iter()
                .filter(|row| row.workload == workload && row.trouble.name() == trouble)
                .collect();
            compare_policy(&chosen, policy)
        })
        .collect()
}

fn compare_policy(rows: &[&ReplayRow], policy: &str) -> Option<TargetRow> {
    let ours: Vec<&ReplayRow> = rows
        .iter()
        .copied()
        .filter(|row| row.policy == policy)
        .collect();
    let first = ours.first()?;
    let ratio_to = |family, wait: fn(&ReplayRow) -> f64, ratio: RatioRule| {
        let ratios = ours.iter().filter_map(|row| {
            let same_seed = rows.iter().copied().filter(|other| other.seed == row.seed);
            let curve = family_curve(same_seed, family, wait);
            ratio(row.idle_hours, wait(row), &curve)
        });
        SeedSpread::from_values(ratios)
    };
    let p99 = |row: &ReplayRow| row.waits.p99;
    let mean = |row: &ReplayRow| row.waits.mean;
    Some(TargetRow {
        workload: first.workload.clone(),
        trouble: first.trouble,
        policy: policy.to_owned(),
        idle: SeedSpread::from_values(ours.iter().map(|row| row.idle_hours))?,
        p99: SeedSpread::from_values(ours.iter().map(|row| row.waits.p99))?,
        p99_to_fixed: ratio_to(PolicyFamily::Fixed, p99, wait_ratio),
        p99_to_clairvoyant: ratio_to(PolicyFamily::Clairvoyant, p99, wait_ratio),
        mean: SeedSpread::from_values(ours.iter().map(|row| row.waits.mean))?,
        mean_to_fixed: ratio_to(PolicyFamily::Fixed, mean, wait_ratio),
        idle_to_fixed_by_mean: ratio_to(PolicyFamily::Fixed, mean, idle_ratio),
        idle_to_fixed: ratio_to(PolicyFamily::Fixed, p99, idle_ratio),
    })
}

type RatioRule = fn(f64, f64, &[CurvePoint]) -> Option<f64>;

/// Ratio of waits at equal idle hours; `None` where both are negligible or every point of the
/// curve has more idle hours.
fn wait_ratio(idle: f64, wait: f64, curve: &[CurvePoint]) -> Option<f64> {
    let other = wait_at_idle(curve, idle)?;
    let negligible = wait < NEGLIGIBLE_SECONDS && other < NEGLIGIBLE_SECONDS;
    (!negligible).then(|| wait.max(NEGLIGIBLE_SECONDS) / other.max(NEGLIGIBLE_SECONDS))
}

/// Ratio of idle hours at equal waits; `None` where the curve never reaches the wait or reaches
/// it without idle hours.
fn idle_ratio(idle: f64, wait: f64, curve: &[CurvePoint]) -> Option<f64> {
    let other = idle_at_wait(curve, wait)?;
    (other > 0.0).then(|| idle / other)
}
