//! Requests of an emulated day.
//!
//! Load pattern: a few models take most requests, by Zipf's law, and which ones
//! they are may move; rare models are asked for all alike.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ward_protocol::{MonoTime, TimeSpan};

use super::day::{DayPlan, SiteConfig};

/// Models that take the busy requests.
const BUSY_MODELS: usize = 8;
/// Part of the busy models that move with demand.
const SHIFTED_MODELS: usize = 2;
/// How many times more often rare models are asked for in a rush.
const PEAK_FACTOR: f64 = 5.0;

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// For a busy model, wanted at once.
    Busy,
    /// For any model, worth more.
    Rare,
}

impl RequestKind {
    /// Time within which an answer is on time.
    #[must_use]
    pub const fn target(self) -> TimeSpan {
        match self {
            Self::Busy => TimeSpan::from_millis(500),
            Self::Rare => TimeSpan::from_millis(2_500),
        }
    }

    /// Time that the caller waits for the first part.
    #[must_use]
    pub const fn timeout(self) -> TimeSpan {
        match self {
            Self::Busy => TimeSpan::from_millis(4_800),
            Self::Rare => TimeSpan::from_secs(10),
        }
    }

    /// Worth of an answer that is on time, and of a late one.
    #[must_use]
    pub const fn worth(self) -> (f64, f64) {
        match self {
            Self::Busy => (2.0, 0.6),
            Self::Rare => (28.0, 4.2),
        }
    }
}

/// One request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerRequest {
    /// Its kind.
    pub kind: RequestKind,
    /// Number of its model.
    pub model: usize,
    /// When it arrives.
    pub arrives_at: MonoTime,
}

/// The day's requests in order of arrival.
#[must_use]
pub fn draw_requests(config: &SiteConfig, plan: &DayPlan, seed: u64) -> Vec<CallerRequest> {
    let mut draw = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for kind in [RequestKind::Busy, RequestKind::Rare] {
        let mut at = TimeSpan::ZERO;
        while at < config.length {
            let rate = request_rate(config, plan, kind, at);
            let gap = -(1.0 - draw.random::<f64>()).ln() / rate;
            at = at + ward_fleet::number::span(gap.max(0.001));
            requests.push(CallerRequest {
                kind,
                model: draw_model(config, plan, kind, at, &mut draw),
                arrives_at: MonoTime::default() + at,
            });
        }
    }
    requests.sort_by_key(|request| request.arrives_at);
    requests
}

fn request_rate(config: &SiteConfig, plan: &DayPlan, kind: RequestKind, at: TimeSpan) -> f64 {
    let in_peak = plan
        .rare_peak
        .is_some_and(|(from, to)| from <= at && at < to);
    match kind {
        RequestKind::Busy => config.busy_rate,
        RequestKind::Rare if in_peak => config.rare_rate * PEAK_FACTOR,
        RequestKind::Rare => config.rare_rate,
    }
}

fn draw_model(
    config: &SiteConfig,
    plan: &DayPlan,
    kind: RequestKind,
    at: TimeSpan,
    draw: &mut ChaCha8Rng,
) -> usize {
    if kind == RequestKind::Rare {
        return draw.random_range(0..config.models);
    }
    let weight = |rank: usize| 1.0 / ward_fleet::number::real(rank + 1);
    let total: f64 = (0..BUSY_MODELS).map(weight).sum();
    let mut remaining = draw.random::<f64>() * total;
    let mut rank = 0;
    while rank + 1 < BUSY_MODELS && remaining >= weight(rank) {
        remaining -= weight(rank);
        rank += 1;
    }
    let shifts = plan.shifts.iter().filter(|shift| **shift <= at).count();
    if rank < SHIFTED_MODELS {
        (rank + shifts * BUSY_MODELS) % config.models
    } else {
        rank
    }
}
