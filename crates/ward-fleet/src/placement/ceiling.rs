//! The weight store's limits.
//!
//! Load pattern: many models wanted that no engine has a copy of. The store
//! allows a rate of loads, and slows all of them down when more run at once than
//! it was built for. How many that is is learned: one load at first, one more
//! after loads that took their time, one less after loads that took longer.

use std::collections::VecDeque;

use ward_protocol::{MonoTime, TimeSpan};

use crate::number::real;

/// Most loads that are ever run at the same time.
const MOST_AT_ONCE: usize = 8;
/// A load is on time up to this part of its stated time, in percent.
const ON_TIME_PERCENT: u64 = 125;

/// Loads from the weight store.
#[derive(Debug, Clone)]
pub struct StoreCeiling {
    begun: VecDeque<MonoTime>,
    at_once: usize,
}

impl Default for StoreCeiling {
    fn default() -> Self {
        Self {
            begun: VecDeque::new(),
            at_once: 1,
        }
    }
}

impl StoreCeiling {
    /// Whether one more load may begin while some run.
    #[must_use]
    pub fn allows(&self, running: usize, per_second: f64, window: TimeSpan, now: MonoTime) -> bool {
        let recent = self
            .begun
            .iter()
            .filter(|begun| now.since(**begun) <= window);
        let most = (per_second * window.seconds()).floor();
        running < self.at_once && real(recent.count()) < most
    }

    /// Counts a load that begins.
    pub fn note(&mut self, now: MonoTime, window: TimeSpan) {
        while self
            .begun
            .front()
            .is_some_and(|begun| now.since(*begun) > window)
        {
            self.begun.pop_front();
        }
        self.begun.push_back(now);
    }

    /// Learns from a load that took `taken` while `running` ran at its end, with
    /// itself.
    pub fn note_done(&mut self, stated: TimeSpan, taken: TimeSpan, running: usize) {
        let on_time = taken.millis() * 100 <= stated.millis() * ON_TIME_PERCENT;
        if !on_time {
            self.at_once = self.at_once.saturating_sub(1).max(1);
        } else if running >= self.at_once {
            self.at_once = (self.at_once + 1).min(MOST_AT_ONCE);
        }
    }
}
