//! How long an idle replica is kept loaded.
//!
//! The keep time minimises the expected cost over the observed gaps between the
//! model's requests: the idle accelerator seconds while the replica is kept,
//! plus the price of a cold start for every gap that is longer. While few gaps
//! are known, the ski-rental rule (keep the replica until its idle time has cost
//! as much as a cold start) counts with the weight of `known_gaps` gaps.

use std::time::Duration;

use ward_protocol::{MonoTime, PolicyValues, TimeSpan};

use crate::day::DayProfile;
use crate::gaps::{GAP_BUCKETS, GapBuckets, bucket_start};
use crate::schedule::WarmSchedule;

/// Upper limit of `cold_weight`, at which the price of a cold start is still finite.
const MAX_COLD_WEIGHT: f64 = 0.999;

/// The properties of a replica on which its keep time depends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeepTerms {
    /// Duration of a cold load.
    pub load_time: TimeSpan,
    /// Share of an accelerator's memory that the replica takes, from 0 to 1.
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

/// The observed gaps between a model's requests and their distribution over the day.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GapHistory {
    last: Option<MonoTime>,
    gaps: GapBuckets,
    day: DayProfile,
}

impl GapHistory {
    /// Records a request that arrived at `now`; the weight of earlier gaps is multiplied by
    /// `decay`, from 0 to 1.
    pub fn observe(&mut self, now: MonoTime, decay: f64) {
        if let Some(last) = self.last {
            self.gaps.add(now.since(last), decay);
        }
        self.last = Some(now);
        self.day.add(now);
    }

    /// Arrival time of the last request; `None` before the first one.
    #[must_use]
    pub const fn last_request(&self) -> Option<MonoTime> {
        self.last
    }

    /// How long to keep a replica that takes a whole accelerator, counted from its last request.
    #[must_use]
    pub fn keep_time(&self, values: &PolicyValues, load: TimeSpan) -> TimeSpan {
        self.keep_time_for(
            values,
            &KeepTerms {
                load_time: load,
                share: 1.0,
            },
        )
    }

    /// Expected number of requests per second when the last one is `age` ago.
    #[must_use]
    pub fn hazard(&self, values: &PolicyValues, age: TimeSpan) -> f64 {
        let hazard = self.gaps.hazard(age, f64::from(values.known_gaps));
        self.last
            .map_or(hazard, |last| hazard * self.day.rate_factor(last + age))
    }

    /// The ages since the last request at which a replica should be loaded.
    #[must_use]
    pub fn schedule(&self, values: &PolicyValues, terms: &KeepTerms) -> WarmSchedule {
        WarmSchedule::keep(self.keep_time_for(values, terms))
    }

    /// How long to keep a replica, counted from its last request.
    #[must_use]
    pub fn keep_time_for(&self, values: &PolicyValues, terms: &KeepTerms) -> TimeSpan {
        let break_even = terms.break_even(values);
        let seconds = self.cheapest_keep(values, break_even);
        span_from_secs(seconds).clamp(values.keep_shortest, values.keep_longest)
    }

    /// The keep time in seconds with the lowest expected cost, where costs are seconds of idle
    /// accelerator.
    fn cheapest_keep(&self, values: &PolicyValues, cold_cost: f64) -> f64 {
        let edges = (0..GAP_BUCKETS).map(bucket_start);
        edges
            .chain(std::iter::once(cold_cost))
            .map(|keep| (self.expected_cost(values, cold_cost, keep), keep))
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map_or(cold_cost, |(_, keep)| keep)
    }

    /// Cost of a keep time over all observed gaps, plus its distance from the ski-rental rule
    /// with the weight of `known_gaps` gaps.
    fn expected_cost(&self, values: &PolicyValues, cold_cost: f64, keep: f64) -> f64 {
        let observed: f64 = (0..GAP_BUCKETS)
            .map(|bucket| self.gaps.weight(bucket) * gap_cost(bucket, cold_cost, keep))
            .sum();
        // The fallback is the ski-rental rule, because it never costs more than twice the
        // best choice.
        let regret = (keep - cold_cost).abs();
        observed + f64::from(values.known_gaps) * regret
    }
}

/// Cost of a gap in this bucket: the idle time up to the bucket's end if the replica is kept
/// that long, else the keep time and a cold start.
fn gap_cost(bucket: usize, cold_cost: f64, keep: f64) -> f64 {
    let end = bucket_start(bucket + 1);
    if end <= keep { end } else { keep + cold_cost }
}

/// Converts seconds to a span, clamped to the range that a span can represent.
#[must_use]
pub fn span_from_secs(seconds: f64) -> TimeSpan {
    let duration = Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX);
    TimeSpan::from(duration)
}
