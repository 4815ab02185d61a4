//! Requests of an emulated day.
//!
//! Load pattern: a few models get most requests, by Zipf's law, and some of them
//! change when demand shifts; rare requests are spread evenly over all models.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ward_protocol::{MonoTime, TimeSpan};

use super::day::{DayPlan, SiteConfig};

/// Number of models that get the busy requests.
const BUSY_MODELS: usize = 8;
/// Number of busy models, the most popular ones, that change with each shift of demand.
const SHIFTED_MODELS: usize = 2;
/// Factor on the rate of rare requests while their peak lasts.
const PEAK_FACTOR: f64 = 5.0;

/// Kind of a request, which sets its target, timeout and worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// For a busy model, with a short target.
    Busy,
    /// For any model, with a longer target and a higher worth.
    Rare,
}

impl RequestKind {
    /// Time after arrival within which the first part of an answer is on time.
    #[must_use]
    pub const fn target(self) -> TimeSpan {
        match self {
            Self::Busy => TimeSpan::from_millis(500),
            Self::Rare => TimeSpan::from_millis(2_500),
        }
    }

    /// Time that the caller waits for the first part of the answer before it leaves.
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

/// A request of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerRequest {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Number of the requested model.
    pub model: usize,
    /// Arrival time, counted from the start of the day.
    pub arrives_at: MonoTime,
}

/// The day's requests in order of arrival.
#[must_use]
pub fn draw_requests(config: &SiteConfig, plan: &DayPlan, seed: u64) -> Vec<CallerRequest> {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for kind in [RequestKind::Busy, RequestKind::Rare] {
        let mut elapsed = TimeSpan::ZERO;
        while elapsed < config.length {
            let rate = request_rate(config, plan, kind, elapsed);
            let gap = -(1.0 - generator.random::<f64>()).ln() / rate;
            elapsed = elapsed + ward_fleet::number::secs_to_span(gap.max(0.001));
            requests.push(CallerRequest {
                kind,
                model: draw_model(config, plan, kind, elapsed, &mut generator),
                arrives_at: MonoTime::default() + elapsed,
            });
        }
    }
    requests.sort_by_key(|request| request.arrives_at);
    requests
}

fn request_rate(config: &SiteConfig, plan: &DayPlan, kind: RequestKind, elapsed: TimeSpan) -> f64 {
    let in_peak = plan
        .rare_peak
        .is_some_and(|(from, to)| from <= elapsed && elapsed < to);
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
    elapsed: TimeSpan,
    generator: &mut ChaCha8Rng,
) -> usize {
    if kind == RequestKind::Rare {
        return generator.random_range(0..config.models);
    }
    let weight = |rank: usize| 1.0 / ward_fleet::number::usize_to_f64(rank + 1);
    let total: f64 = (0..BUSY_MODELS).map(weight).sum();
    let mut remaining = generator.random::<f64>() * total;
    let mut rank = 0;
    while rank + 1 < BUSY_MODELS && remaining >= weight(rank) {
        remaining -= weight(rank);
        rank += 1;
    }
    let shifts = plan
        .shifts
        .iter()
        .filter(|shift| **shift <= elapsed)
        .count();
    if rank < SHIFTED_MODELS {
        (rank + shifts * BUSY_MODELS) % config.models
    } else {
        rank
    }
}
