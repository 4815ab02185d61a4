//! Distribution of a model's requests over the hours of the day.
//!
//! Hours are counted by the monotonic clock of the process. Only their phase
//! matters, which is constant for the lifetime of the history.

use ward_protocol::MonoTime;

const HOURS: usize = 24;
const HOUR_MICROS: u64 = 3_600_000_000;
/// Fixed-point weight of one request.
const REQUEST_WEIGHT: u32 = 1 << 10;
/// Requests that are added to each hour, so that a profile of few requests stays close to a
/// uniform one.
const UNIFORM_PRIOR: f64 = 4.0;
/// Weight of one hour at which the weights of all hours are halved: 1,024 requests.
const HALVING_THRESHOLD: u32 = REQUEST_WEIGHT * 1_024;

/// Weights of requests by hour of the day.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DayProfile {
    hours: [u32; HOURS],
}

impl DayProfile {
    /// Counts a request that arrived at `now`.
    pub fn add(&mut self, now: MonoTime) {
        let hour = &mut self.hours[hour_of(now)];
        *hour += REQUEST_WEIGHT;
        if *hour >= HALVING_THRESHOLD {
            for weight in &mut self.hours {
                *weight /= 2;
            }
        }
    }

    /// Request rate in the hour of `now` as a multiple of the day's mean; 1 without requests.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn rate_factor(&self, now: MonoTime) -> f64 {
        let count = |weight: u32| f64::from(weight) / f64::from(REQUEST_WEIGHT);
        let total: f64 = self.hours.iter().copied().map(count).sum();
        let mean = total / HOURS as f64;
        (count(self.hours[hour_of(now)]) + UNIFORM_PRIOR) / (mean + UNIFORM_PRIOR)
    }
}

#[allow(clippy::cast_possible_truncation)]
fn hour_of(now: MonoTime) -> usize {
    (now.0 / HOUR_MICROS) as usize % HOURS
}
