//! How long requests of a target hold their slots.

use std::time::Duration;

/// Number of samples from which on the mean is used.
const MIN_SAMPLES: u32 = 8;
/// A new sample has a weight of one divided by this.
const SAMPLE_DIVISOR: u32 = 8;

/// Exponential moving average of the time that requests hold a slot.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HoldTime {
    mean: Duration,
    samples: u32,
}

impl HoldTime {
    /// Adds the sample of a slot that was held for `time`.
    pub(super) fn add(&mut self, time: Duration) {
        self.mean = match self.samples {
            0 => time,
            _ => (self.mean * (SAMPLE_DIVISOR - 1) + time) / SAMPLE_DIVISOR,
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Expected wait behind `ahead` requests, with `slots` in total; `None` while there
    /// are too few samples, or if there are no slots.
    pub(super) fn expected_wait(&self, ahead: usize, slots: u32) -> Option<Duration> {
        if self.samples < MIN_SAMPLES || slots == 0 {
            return None;
        }
        let requests = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        Some(self.mean.saturating_mul(requests) / slots)
    }
}
