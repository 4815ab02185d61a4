//! How long requests of a target hold their slots.

use std::time::Duration;

/// Samples before the mean is trusted.
const MIN_SAMPLES: u32 = 8;
/// Weight of a new sample: one in this many.
const SAMPLE_DIVISOR: u32 = 8;

/// Moving mean of the times that slots were held.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HoldTime {
    mean: Duration,
    samples: u32,
}

impl HoldTime {
    /// Counts a slot that was held for `time`.
    pub(super) fn add(&mut self, time: Duration) {
        self.mean = match self.samples {
            0 => time,
            _ => (self.mean * (SAMPLE_DIVISOR - 1) + time) / SAMPLE_DIVISOR,
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Expected wait with `ahead` requests before this one and `slots` in all;
    /// nothing while too little is known.
    pub(super) fn expected_wait(&self, ahead: usize, slots: u32) -> Option<Duration> {
        if self.samples < MIN_SAMPLES || slots == 0 {
            return None;
        }
        let requests = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        Some(self.mean.saturating_mul(requests) / slots)
    }
}
