//! Measures how much work engines take from a queue.
//!
//! Load pattern: a queue forms within a fraction of a second and lasts for some seconds.
//! What was served before it formed says how much was asked for, not how much the engines
//! can do, so the measurement begins with the queue.

use std::collections::VecDeque;

use ward_protocol::{MonoTime, TimeSpan};

use super::work::RequestWork;
use crate::number::{secs_to_span, u64_to_f64};

/// Time over which granted work is counted.
const FLOW_WINDOW: TimeSpan = TimeSpan::from_secs(2);
/// Minimum number of grants for a rate.
const MIN_GRANTS: usize = 4;

/// Work per second that engines take from a queue; greater than zero.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct WorkRate(f64);

impl WorkRate {
    /// The rate at which engines take `work` in `span`; `None` if that is no time.
    #[must_use]
    pub fn new(work: RequestWork, span: TimeSpan) -> Option<Self> {
        let seconds = span.seconds();
        (seconds > 0.0).then(|| Self(u64_to_f64(work.tokens()) / seconds))
    }

    /// Time after which engines have taken the given work, in tokens.
    #[must_use]
    pub fn time_for(self, tokens: u64) -> TimeSpan {
        secs_to_span(u64_to_f64(tokens) / self.0)
    }
}

/// Work that engines have taken from one queue since it formed.
#[derive(Debug, Clone, Default)]
pub struct WorkFlow {
    waiting_since: Option<MonoTime>,
    grants: VecDeque<(MonoTime, RequestWork)>,
}

impl WorkFlow {
    /// Records that a request waits.
    pub fn record_waiting(&mut self, now: MonoTime) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that no request waits any longer.
    pub fn record_empty(&mut self) {
        self.waiting_since = None;
        self.grants.clear();
    }

    /// Records a request that an engine has taken.
    pub fn record_grant(&mut self, work: RequestWork, now: MonoTime) {
        if self.waiting_since.is_none() {
            return;
        }
        while self
            .grants
            .front()
            .is_some_and(|(time, _)| now.since(*time) > FLOW_WINDOW)
        {
            self.grants.pop_front();
        }
        self.grants.push_back((now, work));
    }

    /// The measured rate; `None` while too few requests were taken to tell.
    #[must_use]
    pub fn rate(&self, now: MonoTime) -> Option<WorkRate> {
        let waited = now.since(self.waiting_since?);
        let recent = self.grants.iter();
        let recent = recent.filter(|(time, _)| now.since(*time) <= FLOW_WINDOW);
        let works: Vec<_> = recent.map(|(_, work)| *work).collect();
        if works.len() < MIN_GRANTS {
            return None;
        }
        WorkRate::new(works.into_iter().sum(), waited.min(FLOW_WINDOW))
    }
}
