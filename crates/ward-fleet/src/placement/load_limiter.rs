//! Rate and concurrency limits of the weight store.
//!
//! Load pattern: many models are requested that no engine has a copy of. The
//! store allows a certain rate of loads, and slows all of them down in
//! proportion when more run concurrently than it was built for. That number is
//! not configured but learned: the limit is raised while loads take their
//! stated time, and a load that took longer among others reveals the store's
//! capacity.

use std::collections::VecDeque;

use ward_protocol::{MonoTime, TimeSpan};

use crate::number::{floor_to_u64, usize_to_f64};

/// Concurrent loads before anything is known about the store. If the store
/// serves fewer, loads that start together take as long in total as if they ran
/// one after the other, so a limit that is too high costs less than one that is
/// too low.
const INITIAL_CONCURRENT_LOADS: u32 = 4;
/// Maximum number of concurrent loads, whatever has been learned.
const MAX_CONCURRENT_LOADS: u32 = 16;
/// Loads that may start in the first window of a term, in addition to those
/// that an earlier coordinator started and the new one does not know.
const FIRST_WINDOW_LOADS: usize = 3;
/// A load is on time if it takes at most this percentage of its stated time,
/// the load time in the manifest.
const MAX_ON_TIME_PERCENT_OF_STATED: u64 = 120;
/// Loads on time, with the limit fully used, after which a limit that a late
/// load revealed is raised by one.
const LOADS_BEFORE_RAISE: u32 = 12;

/// Limits the rate and the number of concurrent loads from the weight store.
#[derive(Debug, Clone)]
pub struct LoadLimiter {
    load_starts: VecDeque<MonoTime>,
    /// Start of the coordinator's term.
    term_start: Option<MonoTime>,
    limit: u32,
    /// Whether a late load has revealed the store's capacity.
    capacity_known: bool,
    /// Loads on time, with the limit fully used, since the limit last changed.
    loads_on_time: u32,
}

impl Default for LoadLimiter {
    fn default() -> Self {
        Self {
            load_starts: VecDeque::new(),
            term_start: None,
            limit: INITIAL_CONCURRENT_LOADS,
            capacity_known: false,
            loads_on_time: 0,
        }
    }
}

impl LoadLimiter {
    /// Maximum number of concurrent loads.
    #[must_use]
    pub const fn concurrency_limit(&self) -> u32 {
        self.limit
    }

    /// Records the start of a term. An earlier coordinator may have started
    /// loads that this one does not know.
    pub fn begin_term(&mut self, now: MonoTime) {
        self.term_start = Some(now);
    }

    /// Sets the maximum number of concurrent loads, for example to the one that
    /// an earlier coordinator learned.
    pub fn set_concurrency_limit(&mut self, limit: u32) {
        self.limit = limit.clamp(1, MAX_CONCURRENT_LOADS);
    }

    /// Whether another load may start while `running` loads run. The store
    /// allows `per_second` loads a second, counted over `window`.
    #[must_use]
    pub fn allows(&self, running: u32, per_second: f64, window: TimeSpan, now: MonoTime) -> bool {
        let recent = self
            .load_starts
            .iter()
            .filter(|start| now.since(**start) <= window);
        let max_starts = (per_second * window.seconds()).floor();
        let first_window = self
            .term_start
            .is_some_and(|start| now.since(start) <= window);
        let count = recent.count();
        let term_allows = !first_window || count < FIRST_WINDOW_LOADS;
        running < self.limit && usize_to_f64(count) < max_starts && term_allows
    }

    /// Records the start of a load.
    pub fn record_load_start(&mut self, now: MonoTime, window: TimeSpan) {
        while self
            .load_starts
            .front()
            .is_some_and(|start| now.since(*start) > window)
        {
            self.load_starts.pop_front();
        }
        self.load_starts.push_back(now);
    }

    /// Adjusts the limit after a load that took `actual_time` and started as
    /// one of `concurrent_loads`; `stated_time` is the duration that was
    /// expected.
    pub fn record_load_end(
        &mut self,
        stated_time: TimeSpan,
        actual_time: TimeSpan,
        concurrent_loads: u32,
    ) {
        if actual_time.millis() * 100 <= stated_time.millis() * MAX_ON_TIME_PERCENT_OF_STATED {
            self.record_load_on_time(concurrent_loads);
            return;
        }
        let served = f64::from(concurrent_loads) * stated_time.seconds()
            / actual_time.seconds().max(f64::EPSILON);
        let served = u32::try_from(floor_to_u64(served.round())).unwrap_or(MAX_CONCURRENT_LOADS);
        self.limit = served.clamp(1, self.limit);
        self.capacity_known = true;
        self.loads_on_time = 0;
    }

    fn record_load_on_time(&mut self, concurrent_loads: u32) {
        if concurrent_loads < self.limit {
            return;
        }
        self.loads_on_time += 1;
        let needed = if self.capacity_known {
            LOADS_BEFORE_RAISE
        } else {
            self.limit
        };
        if self.loads_on_time >= needed {
            self.limit = (self.limit + 1).min(MAX_CONCURRENT_LOADS);
            self.loads_on_time = 0;
        }
    }
}
