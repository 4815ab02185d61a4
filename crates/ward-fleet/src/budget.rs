//! How often requests may be sent to a second engine.
//!
//! Load pattern: engines that fail or refuse while traffic is high, when
//! repeats by every daemon would double the load. All daemons share one budget
//! per service: a ratio of the requests in a window plus a fixed slack. A
//! daemon uses part of what its own requests earn and an equal part of the
//! slack, so that the sum holds even when daemons cannot hear each other.

use std::collections::VecDeque;

use ward_protocol::{MonoTime, TimeSpan};

use crate::number::real;
use crate::settings::ServingBounds;

/// Part of the budget that is used; the rest covers daemons that restarted and
/// forgot what they spent.
const USED_PART: f64 = 0.6;

/// Time for which daemons count that are not heard any more.
const DAEMON_MEMORY: TimeSpan = TimeSpan::from_secs(600);
/// Daemons assumed when none has been heard of.
const UNKNOWN_DAEMONS: usize = 16;

/// Daemons that share the budgets: the most that were known of late. Whoever cannot
/// hear the others must not take over their shares.
#[derive(Debug, Clone, Copy, Default)]
pub struct DaemonCount {
    most: usize,
    seen: MonoTime,
}

impl DaemonCount {
    /// Notes how many daemons are known now.
    pub fn record(&mut self, known: usize, now: MonoTime) {
        if known >= self.most || now.since(self.seen) > DAEMON_MEMORY {
            self.most = known;
            self.seen = now;
        }
    }

    /// Daemons that share the budgets.
    #[must_use]
    pub fn sharing(&self) -> usize {
        if self.most == 0 {
            UNKNOWN_DAEMONS
        } else {
            self.most
        }
    }
}

/// One daemon's budget of repeats for one service.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<MonoTime>,
    repeats: VecDeque<MonoTime>,
}

impl RetryBudget {
    /// Counts a caller's request.
    pub fn record_request(&mut self, now: MonoTime, bounds: &ServingBounds) {
        forget(&mut self.requests, now, bounds.retry_window);
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the budget, if there is one left.
    pub fn take_retry(&mut self, now: MonoTime, bounds: &ServingBounds, daemons: usize) -> bool {
        forget(&mut self.requests, now, bounds.retry_window);
        forget(&mut self.repeats, now, bounds.retry_window);
        let slack = bounds.retry_slack / real(daemons.max(1));
        let earned = bounds.retry_ratio * real(self.requests.len());
        let allowed = USED_PART * (slack + earned);
        if real(self.repeats.len()) + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

fn forget(times: &mut VecDeque<MonoTime>, now: MonoTime, window: TimeSpan) {
    while times.front().is_some_and(|time| now.since(*time) > window) {
        times.pop_front();
    }
}
