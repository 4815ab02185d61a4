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

/// Loads at once while nothing is known of the store. Loads that begin concurrent
/// before a store that serves fewer end when they would one after the other, so a
/// number too high costs less than one too low.
const INITIAL_CONCURRENT_LOADS: u32 = 4;
/// Most loads that are ever run at the same time.
const MAX_CONCURRENT_LOADS: u32 = 16;
/// Loads that may begin in the first window of a term, beside those that an
/// earlier coordinator began and the new one does not know of.
const FIRST_WINDOW_LOADS: usize = 3;
/// A load is on time up to this part of its stated time, in percent.
const ON_TIME_PERCENT: u64 = 120;
/// Loads on time, with the store in full use, after which a number that a late
/// load measured is tried again with one more.
const RAISE_AFTER: u32 = 12;

/// Loads from the weight store.
#[derive(Debug, Clone)]
pub struct StoreCeiling {
    starts: VecDeque<MonoTime>,
    /// When the coordinator's term began.
    term_start: Option<MonoTime>,
    limit: u32,
    /// Whether a late load has measured the number of loads at once.
    measured: bool,
    /// Loads on time with the store in full use since the number changed.
    on_time: u32,
}

impl Default for StoreCeiling {
    fn default() -> Self {
        Self {
            starts: VecDeque::new(),
            term_start: None,
            limit: INITIAL_CONCURRENT_LOADS,
            measured: false,
            on_time: 0,
        }
    }
}

impl StoreCeiling {
    /// Loads that may run at once.
    #[must_use]
    pub const fn concurrency_limit(&self) -> u32 {
        self.limit
    }

    /// Notes that a term begins: an earlier coordinator may have starts loads.
    pub fn begin_term(&mut self, now: MonoTime) {
        self.term_start = Some(now);
    }

    /// Takes over the number that an earlier coordinator learned.
    pub fn inherit(&mut self, limit: u32) {
        self.limit = limit.clamp(1, MAX_CONCURRENT_LOADS);
    }

    /// Whether one more load may begin while some run.
    #[must_use]
    pub fn allows(&self, running: u32, per_second: f64, window: TimeSpan, now: MonoTime) -> bool {
        let recent = self
            .starts
            .iter()
            .filter(|starts| now.since(**starts) <= window);
        let most = (per_second * window.seconds()).floor();
        let first_window = self
            .term_start
            .is_some_and(|starts| now.since(starts) <= window);
        let count = recent.count();
        let known = !first_window || count < FIRST_WINDOW_LOADS;
        running < self.limit && real(count) < most && known
    }

    /// Counts a load that begins.
    pub fn record_start(&mut self, now: MonoTime, window: TimeSpan) {
        while self
            .starts
            .front()
            .is_some_and(|starts| now.since(*starts) > window)
        {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Learns from a load that took `taken`, and began as one of `concurrent`.
    pub fn record_done(&mut self, stated: TimeSpan, taken: TimeSpan, concurrent: u32) {
        if taken.millis() * 100 <= stated.millis() * ON_TIME_PERCENT {
            self.record_on_time(concurrent);
            return;
        }
        let served = f64::from(concurrent) * stated.seconds() / taken.seconds().max(f64::EPSILON);
        let served = u32::try_from(whole(served.round())).unwrap_or(MAX_CONCURRENT_LOADS);
        self.limit = served.clamp(1, self.limit);
        self.measured = true;
        self.on_time = 0;
    }

    fn record_on_time(&mut self, concurrent: u32) {
        if concurrent < self.limit {
            return;
        }
        self.on_time += 1;
        let needed = if self.measured {
            RAISE_AFTER
        } else {
            self.limit
        };
        if self.on_time >= needed {
            self.limit = (self.limit + 1).min(MAX_CONCURRENT_LOADS);
            self.on_time = 0;
        }
    }
}
