//! Trade-off curves between idle hours and waits, and interpolation on them.

use serde::Serialize;

use crate::replay::{PolicyFamily, ReplayRow};

/// One policy on a trade-off curve.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CurvePoint {
    /// The policy's name.
    pub policy: String,
    /// Hours of awake engines that run nothing.
    pub idle: f64,
    /// The wait in seconds, a percentile or the mean.
    pub wait: f64,
}

/// Points of one family, least idle first.
#[must_use]
pub fn family_curve<'a>(
    rows: impl Iterator<Item = &'a ReplayRow>,
    family: PolicyFamily,
    wait: impl Fn(&ReplayRow) -> f64,
) -> Vec<CurvePoint> {
    let mut points: Vec<CurvePoint> = rows
        .filter(|row| row.family == family)
        .map(|row| CurvePoint {
            policy: row.policy.clone(),
            idle: row.idle_hours,
            wait: wait(row),
        })
        .collect();
    points.sort_by(|left, right| left.idle.total_cmp(&right.idle));
    points
}

/// Shortest wait that a curve reaches with at most these idle hours, interpolated linearly
/// between points; `None` when every point needs more.
#[must_use]
pub fn wait_at_idle(curve: &[CurvePoint], idle: f64) -> Option<f64> {
    let reached = curve.iter().filter(|point| point.idle <= idle);
    let best = reached.map(|point| point.wait).min_by(f64::total_cmp);
    let crossing = segments(curve)
        .filter(|(left, right)| left.idle <= idle && idle < right.idle)
        .map(|(left, right)| {
            let part = (idle - left.idle) / (right.idle - left.idle);
            left.wait + part * (right.wait - left.wait)
        })
        .min_by(f64::total_cmp);
    match (best, crossing) {
        (Some(best), Some(crossing)) => Some(best.min(crossing)),
        (best, crossing) => best.or(crossing),
    }
}

/// Fewest idle hours with which a curve reaches at most this wait, interpolated linearly between
/// points; `None` when no point reaches it.
#[must_use]
pub fn idle_at_wait(curve: &[CurvePoint], wait: f64) -> Option<f64> {
    let reached = curve.iter().filter(|point| point.wait <= wait);
    let best = reached.map(|point| point.idle).min_by(f64::total_cmp);
    let crossing = segments(curve)
        .filter(|(left, right)| left.wait > wait && wait >= right.wait)
        .map(|(left, right)| {
            let part = (left.wait - wait) / (left.wait - right.wait);
            left.idle + part * (right.idle - left.idle)
        })
        .min_by(f64::total_cmp);
    match (best, crossing) {
        (Some(best), Some(crossing)) => Some(best.min(crossing)),
        (best, crossing) => best.or(crossing),
    }
}

fn segments(curve: &[CurvePoint]) -> impl Iterator<Item = (&CurvePoint, &CurvePoint)> {
    curve.iter().zip(curve.iter().skip(1))
}
