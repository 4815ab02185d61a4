//! Decides whether a request that has missed its target latency keeps waiting.
//!
//! Load pattern: for some seconds, more requests arrive for a model than its
//! engines can run. Requests that can still meet their target go first, so
//! those that have missed it are served only if slots become free faster than
//! new requests arrive. Otherwise a late request is refused immediately with a
//! retry delay, instead of being held until its deadline.

use std::collections::VecDeque;

use ward_protocol::{MonoTime, TimeSpan};

use crate::number::{secs_to_span, usize_to_f64};

/// Time over which arrivals and granted slots are counted.
const FLOW_WINDOW: TimeSpan = TimeSpan::from_secs(2);
/// Maximum expected wait, in percent of the remaining time.
const MAX_WAIT_PERCENT_OF_REMAINING: u64 = 50;
/// Bounds of the retry delay that a refused caller is given.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(2_500);

/// Arrivals and granted slots of the requests for one model and adapter at one
/// daemon.
#[derive(Debug, Clone, Default)]
pub struct RequestFlow {
    arrivals: VecDeque<MonoTime>,
    grants: VecDeque<MonoTime>,
}

/// What to do with a request that has missed its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateDecision {
    /// Keep waiting: a slot is expected in time.
    Wait,
    /// Refuse the request; the caller may retry after this delay.
    Refuse(TimeSpan),
}

impl RequestFlow {
    /// Records a request that arrived.
    pub fn record_arrival(&mut self, now: MonoTime) {
        drop_expired(&mut self.arrivals, now);
        self.arrivals.push_back(now);
    }

    /// Records a request that was granted a slot.
    pub fn record_grant(&mut self, now: MonoTime) {
        drop_expired(&mut self.grants, now);
        self.grants.push_back(now);
    }

    /// Whether no request arrived or was granted a slot within the window.
    #[must_use]
    pub fn is_idle(&self, now: MonoTime) -> bool {
        let recent = |times: &VecDeque<MonoTime>| {
            times
                .back()
                .is_some_and(|time| now.since(*time) <= FLOW_WINDOW)
        };
        !recent(&self.arrivals) && !recent(&self.grants)
    }

    /// Decides whether a late request with `ahead` requests before it in the
    /// queue keeps waiting. `remaining` is the time within which the request
    /// must get a slot for its answer to be of use.
    #[must_use]
    pub fn decide_late(&self, ahead: usize, remaining: TimeSpan, now: MonoTime) -> LateDecision {
        let spare = rate(&self.grants, now) - rate(&self.arrivals, now);
        if spare <= 0.0 {
            return LateDecision::Refuse(MAX_RETRY_AFTER);
        }
        let wait = secs_to_span(usize_to_f64(ahead + 1) / spare);
        if wait.millis() <= remaining.millis() * MAX_WAIT_PERCENT_OF_REMAINING / 100 {
            return LateDecision::Wait;
        }
        LateDecision::Refuse(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }
}

/// Events per second within the window.
fn rate(times: &VecDeque<MonoTime>, now: MonoTime) -> f64 {
    let recent = times.iter().filter(|time| now.since(**time) <= FLOW_WINDOW);
    usize_to_f64(recent.count()) / FLOW_WINDOW.seconds()
}

fn drop_expired(times: &mut VecDeque<MonoTime>, now: MonoTime) {
    while times
        .front()
        .is_some_and(|time| now.since(*time) > FLOW_WINDOW)
    {
        times.pop_front();
    }
}
