//! Whether a request that has missed its target should go on waiting.
//!
//! Load pattern: more requests for a model than its engines can run, for
//! seconds. Requests that can still meet their target go first, so those that
//! have missed it are served only if places come free faster than new requests
//! arrive. Where they do not, a late request is refused at once with a time to
//! come back, instead of being held until its time is over.

use std::collections::VecDeque;

use ward_protocol::{MonoTime, TimeSpan};

use crate::number::{real, span};

/// Time over which arrivals and places are counted.
const FLOW_SPAN: TimeSpan = TimeSpan::from_secs(2);
/// Part of the time left that waiting may be expected to take, in percent.
const WORTH_PERCENT: u64 = 50;
/// Shortest and longest time after which a refused caller may come back.
const FIRST_RETURN: TimeSpan = TimeSpan::from_millis(500);
const LAST_RETURN: TimeSpan = TimeSpan::from_millis(2_500);

/// Requests for one model that arrived at, and got a place from, one daemon.
#[derive(Debug, Clone, Default)]
pub struct RequestFlow {
    arrivals: VecDeque<MonoTime>,
    grants: VecDeque<MonoTime>,
}

/// What a late request should do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateDecision {
    /// Its turn is likely to come in time.
    Wait,
    /// Its turn is not likely to come; come back after this time.
    Refuse(TimeSpan),
}

impl RequestFlow {
    /// Counts a request that arrived.
    pub fn record_arrival(&mut self, now: MonoTime) {
        forget(&mut self.arrivals, now);
        self.arrivals.push_back(now);
    }

    /// Counts a request that got a place.
    pub fn record_grant(&mut self, now: MonoTime) {
        forget(&mut self.grants, now);
        self.grants.push_back(now);
    }

    /// Whether nothing was counted of late.
    #[must_use]
    pub fn is_idle(&self, now: MonoTime) -> bool {
        let recent = |times: &VecDeque<MonoTime>| {
            times
                .back()
                .is_some_and(|time| now.since(*time) <= FLOW_SPAN)
        };
        !recent(&self.arrivals) && !recent(&self.grants)
    }

    /// What a late request with `ahead` others before it and `left` of its time
    /// should do.
    #[must_use]
    pub fn decide_late(&self, ahead: usize, left: TimeSpan, now: MonoTime) -> LateDecision {
        let spare = rate(&self.grants, now) - rate(&self.arrivals, now);
        if spare <= 0.0 {
            return LateDecision::Refuse(LAST_RETURN);
        }
        let wait = span(real(ahead + 1) / spare);
        if wait.millis() <= left.millis() * WORTH_PERCENT / 100 {
            return LateDecision::Wait;
        }
        LateDecision::Refuse(wait.clamp(FIRST_RETURN, LAST_RETURN))
    }
}

/// Events per second.
fn rate(times: &VecDeque<MonoTime>, now: MonoTime) -> f64 {
    let recent = times.iter().filter(|time| now.since(**time) <= FLOW_SPAN);
    real(recent.count()) / FLOW_SPAN.seconds()
}

fn forget(times: &mut VecDeque<MonoTime>, now: MonoTime) {
    while times
        .front()
        .is_some_and(|time| now.since(*time) > FLOW_SPAN)
    {
        times.pop_front();
    }
}
