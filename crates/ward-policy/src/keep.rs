//! How long an idle replica is kept.
//!
//! The keep time minimises the expected cost over a model's own gaps: idle
//! accelerator seconds while kept, plus the priced cold start of every gap
//! that is longer. While few gaps are known the ski-rental rule (keep for as
//! long as a cold start is worth) counts as a gap of its own.

use std::time::Duration;

use ward_protocol::{MonoTime, PolicyValues, TimeSpan};

use crate::day::DayProfile;
use crate::gaps::{GAP_BUCKETS, GapBuckets, bucket_start};
use crate::schedule::WarmSchedule;

/// Weights beyond this are cut, so that a price stays finite.
const MAX_COLD_WEIGHT: f64 = 0.999;

/// A replica whose keep time is asked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeepTerms {
    /// Time of a cold load.
    pub load_time: TimeSpan,
    /// Part of an accelerator's memory that the replica takes, 0 to 1.
    pub share: f64,
}

impl KeepTerms {
    /// Idle time in seconds that costs as much as one cold start.
    #[must_use]
    pub fn break_even(&self, values: &PolicyValues) -> f64 {
        let weight = values.cold_weight.clamp(0.0, MAX_COLD_WEIGHT);
        let price = values.cold_exchange * weight / (1.0 - weight);
        price * self.load_time.seconds() / self.share.max(f64::EPSILON)
    }
}

/// What is known of the gaps between a model's requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GapHistory {
    last: Option<MonoTime>,
    gaps: GapBuckets,
    day: DayProfile,
}

impl GapHistory {
    /// Notes that a request came; past gaps keep `decay` of their weight, 0 to 1.
    pub fn observe(&mut self, now: MonoTime, decay: f64) {
        if let Some(last) = self.last {
            self.gaps.add(now.since(last), decay);
        }
        self.last = Some(now);
        self.day.add(now);
    }

    /// When the last request came.
    #[must_use]
    pub const fn last(&self) -> Option<MonoTime> {
        self.last
    }

    /// How long to keep a replica that takes a whole accelerator after its last request.
    #[must_use]
    pub fn keep_time(&self, values: &PolicyValues, load: TimeSpan) -> TimeSpan {
        self.keep_time_of(
            values,
            &KeepTerms {
                load_time: load,
                share: 1.0,
            },
        )
    }

    /// Expected requests per second at an age since the last request.
    #[must_use]
    pub fn hazard(&self, values: &PolicyValues, age: TimeSpan) -> f64 {
        let hazard = self.gaps.hazard(age, f64::from(values.known_gaps));
        self.last
            .map_or(hazard, |last| hazard * self.day.factor(last + age))
    }

    /// When a replica should be loaded after its last request.
    #[must_use]
    pub fn schedule(&self, values: &PolicyValues, terms: &KeepTerms) -> WarmSchedule {
        WarmSchedule::keep(self.keep_time_of(values, terms))
    }

    /// How long to keep a replica after its last request.
    #[must_use]
    pub fn keep_time_of(&self, values: &PolicyValues, terms: &KeepTerms) -> TimeSpan {
        let break_even = terms.break_even(values);
        let seconds = self.cheapest_keep(values, break_even);
        span_of(seconds).clamp(values.keep_shortest, values.keep_longest)
    }

    /// Keep time with the least expected cost, costs counted in idle seconds.
    fn cheapest_keep(&self, values: &PolicyValues, cold_cost: f64) -> f64 {
        let edges = (0..GAP_BUCKETS).map(bucket_start);
        edges
            .chain(std::iter::once(cold_cost))
            .map(|keep| (self.expected_cost(values, cold_cost, keep), keep))
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map_or(cold_cost, |(_, keep)| keep)
    }

    fn expected_cost(&self, values: &PolicyValues, cold_cost: f64, keep: f64) -> f64 {
        let observed: f64 = (0..GAP_BUCKETS)
            .map(|bucket| self.gaps.weight(bucket) * gap_cost(bucket, cold_cost, keep))
            .sum();
        // The ski-rental rule never costs more than twice the best choice.
        let regret = (keep - cold_cost).abs();
        observed + f64::from(values.known_gaps) * regret
    }
}

fn gap_cost(bucket: usize, cold_cost: f64, keep: f64) -> f64 {
    let end = bucket_start(bucket + 1);
    if end <= keep { end } else { keep + cold_cost }
}

/// A span of seconds, zero when negative and at most the longest representable.
#[must_use]
pub fn span_of(seconds: f64) -> TimeSpan {
    let duration = Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX);
    TimeSpan::from(duration)
}
