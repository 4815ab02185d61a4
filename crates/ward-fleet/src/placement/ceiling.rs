//! The weight store's limits.
//!
//! Load pattern: many models wanted that no engine has a copy of. The store
//! allows a rate of loads, and slows them down in proportion when more run at
//! once than it was built for. How many that is is learned: the number grows
//! while loads take their time, and a load that took longer among others tells
//! it exactly.

use std::collections::VecDeque;

use ward_protocol::{MonoTime, TimeSpan};

use crate::number::{real, whole};

/// Loads at once while nothing is known of the store. Loads that begin together
/// before a store that serves fewer end when they would one after the other, so a
/// number too high costs less than one too low.
const FIRST_AT_ONCE: u32 = 4;
/// Most loads that are ever run at the same time.
const MOST_AT_ONCE: u32 = 16;
/// Loads that may begin in the first window of a term, beside those that an
/// earlier coordinator began and the new one does not know of.
const FIRST_WINDOW_LOADS: usize = 3;
/// A load is on time up to this part of its stated time, in percent.
const ON_TIME_PERCENT: u64 = 120;
/// Loads on time, with the store in full use, after which a number that a late
/// load told is tried again with one more.
const RETRY_AFTER: u32 = 12;

/// Loads from the weight store.
#[derive(Debug, Clone)]
pub struct StoreCeiling {
    begun: VecDeque<MonoTime>,
    /// When the coordinator's term began.
    term_begun: Option<MonoTime>,
    at_once: u32,
    /// Whether a late load has told the number of loads at once.
    told: bool,
    /// Loads on time with the store in full use since the number changed.
    on_time: u32,
}

impl Default for StoreCeiling {
    fn default() -> Self {
        Self {
            begun: VecDeque::new(),
            term_begun: None,
            at_once: FIRST_AT_ONCE,
            told: false,
            on_time: 0,
        }
    }
}

impl StoreCeiling {
    /// Loads that may run at once.
    #[must_use]
    pub const fn concurrency_limit(&self) -> u32 {
        self.at_once
    }

    /// Notes that a term begins: an earlier coordinator may have begun loads.
    pub fn begin_term(&mut self, now: MonoTime) {
        self.term_begun = Some(now);
    }

    /// Takes over the number that an earlier coordinator learned.
    pub fn inherit(&mut self, at_once: u32) {
        self.at_once = at_once.clamp(1, MOST_AT_ONCE);
    }

    /// Whether one more load may begin while some run.
    #[must_use]
    pub fn allows(&self, running: u32, per_second: f64, window: TimeSpan, now: MonoTime) -> bool {
        let recent = self
            .begun
            .iter()
            .filter(|begun| now.since(**begun) <= window);
        let most = (per_second * window.seconds()).floor();
        let first_window = self
            .term_begun
            .is_some_and(|begun| now.since(begun) <= window);
        let count = recent.count();
        let known = !first_window || count < FIRST_WINDOW_LOADS;
        running < self.at_once && real(count) < most && known
    }

    /// Counts a load that begins.
    pub fn record_start(&mut self, now: MonoTime, window: TimeSpan) {
        while self
            .begun
            .front()
            .is_some_and(|begun| now.since(*begun) > window)
        {
            self.begun.pop_front();
        }
        self.begun.push_back(now);
    }

    /// Learns from a load that took `taken`, and began as one of `together`.
    pub fn record_done(&mut self, stated: TimeSpan, taken: TimeSpan, together: u32) {
        if taken.millis() * 100 <= stated.millis() * ON_TIME_PERCENT {
            self.note_on_time(together);
            return;
        }
        let served = f64::from(together) * stated.seconds() / taken.seconds().max(f64::EPSILON);
        let served = u32::try_from(whole(served.round())).unwrap_or(MOST_AT_ONCE);
        self.at_once = served.clamp(1, self.at_once);
        self.told = true;
        self.on_time = 0;
    }

    fn note_on_time(&mut self, together: u32) {
        if together < self.at_once {
            return;
        }
        self.on_time += 1;
        let needed = if self.told { RETRY_AFTER } else { self.at_once };
        if self.on_time >= needed {
            self.at_once = (self.at_once + 1).min(MOST_AT_ONCE);
            self.on_time = 0;
        }
    }
}
