//! The weight store's limits.
//!
//! Load pattern: many models wanted that no engine has a copy of. The store
//! allows a rate of loads and slows all of them down when many run at once, so
//! few are started and the rest wait for their turn.

use std::collections::VecDeque;

use ward_protocol::{MonoTime, TimeSpan};

/// Loads from the store that may run at the same time.
const MOST_AT_ONCE: usize = 2;

/// Loads from the weight store.
#[derive(Debug, Clone, Default)]
pub struct StoreCeiling {
    begun: VecDeque<MonoTime>,
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
        running < MOST_AT_ONCE && (recent.count() as f64) < most
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
}
