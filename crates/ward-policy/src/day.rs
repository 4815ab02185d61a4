//! How a model's requests spread over the hours of the day.
//!
//! Hours are counted on the process's own clock: only their phase matters, and
//! that stays the same for as long as the history lives.

use ward_protocol::MonoTime;

const HOURS: usize = 24;
const HOUR_MICROS: u64 = 3_600_000_000;
/// Weight of one request.
const REQUEST_WEIGHT: u32 = 1 << 10;
/// Requests per hour of the day that the even spread counts for.
const UNIFORM_PRIOR: f64 = 4.0;
/// Requests after which all weights are halved.
const HALVING_THRESHOLD: u32 = REQUEST_WEIGHT * 1_024;

/// Requests by hour of the day.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DayProfile {
    hours: [u32; HOURS],
}

impl DayProfile {
    /// Counts a request.
    pub fn add(&mut self, now: MonoTime) {
        let hour = &mut self.hours[hour_of(now)];
        *hour += REQUEST_WEIGHT;
        if *hour >= HALVING_THRESHOLD {
            for weight in &mut self.hours {
                *weight /= 2;
            }
        }
    }

    /// Rate at a time against the mean of the day.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn factor(&self, now: MonoTime) -> f64 {
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
