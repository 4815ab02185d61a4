//! How often requests may be sent to a second engine.
//!
//! Load pattern: engines that fail or refuse while traffic is high, when
//! retries by every daemon would double the load. All daemons share one budget
//! per service: a ratio of the requests in a window plus a fixed slack. A
//! daemon uses part of what its own requests earn and an equal part of the
//! slack, so that the sum holds even when daemons cannot hear each other.

use std::collections::VecDeque;

use ward_protocol::{MonoTime, TimeSpan};

use crate::number::real;
use crate::settings::ServingBounds;

/// Part of the budget that is used; the rest covers daemons that restarted and
/// forgot what they spent.
const USED_FRACTION: f64 = 0.6;

/// Time for which daemons count that are not heard any more.
const DAEMON_COUNT_RETENTION: TimeSpan = TimeSpan::from_secs(600);
/// Daemons assumed when none has been heard of.
const DEFAULT_DAEMONS: usize = 16;

/// Daemons that share the budgets: the highest that were known of late. Whoever cannot
/// hear the others must not take over their shares.
#[derive(Debug, Clone, Copy, Default)]
pub struct DaemonCount {
    highest: usize,
    observed: MonoTime,
}

impl DaemonCount {
    /// Notes how many daemons are known now.
    pub fn record(&mut self, known: usize, now: MonoTime) {
        if known >= self.highest || now.since(self.observed) > DAEMON_COUNT_RETENTION {
            self.highest = known;
            self.observed = now;
        }
    }

    /// Daemons that share the budgets.
    #[must_use]
    pub fn sharing(&self) -> usize {
        if self.highest == 0 {
            DEFAULT_DAEMONS
        } else {
            self.highest
        }
    }
}

/// One daemon's budget of retries for one service.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<MonoTime>,
    retries: VecDeque<MonoTime>,
}

impl RetryBudget {
    /// Counts a caller's request.
    pub fn record_request(&mut self, now: MonoTime, bounds: &ServingBounds) {
        drop_expired(&mut self.requests, now, bounds.retry_window);
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the budget, if there is one left.
    pub fn take_retry(&mut self, now: MonoTime, bounds: &ServingBounds, daemons: usize) -> bool {
        drop_expired(&mut self.requests, now, bounds.retry_window);
        drop_expired(&mut self.retries, now, bounds.retry_window);
        let slack = bounds.retry_slack / real(daemons.max(1));
        let earned = bounds.retry_ratio * real(self.requests.len());
        let allowed = USED_FRACTION * (slack + earned);
        if real(self.retries.len()) + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn drop_expired(times: &mut VecDeque<MonoTime>, now: MonoTime, window: TimeSpan) {
    while times.front().is_some_and(|time| now.since(*time) > window) {
        times.pop_front();
    }
}
