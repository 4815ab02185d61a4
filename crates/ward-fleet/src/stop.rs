//! Decides which requests a daemon still takes while it shuts down.
//!
//! Load pattern: callers go on using a daemon's address for some seconds after it has left
//! the directory. Most requests end quickly, so turning all of them away would cost each a
//! retry; but a few streams last longer than what is left, and would be cut off. At first,
//! requests are taken that are likely to end in time, later only those that are sure to.
//! Those that have no answer shortly before the exit are told so, while there is time.

use ward_protocol::{MonoTime, TimeSpan};

/// Percentage of the grace period in which requests are taken that are likely to end in
/// time.
const LIKELY_PERCENT_OF_GRACE: u64 = 35;
/// Percentage of the grace period in which any requests are taken.
const ACCEPT_PERCENT_OF_GRACE: u64 = 45;
/// Time before the end of the grace period at which the process exits.
const SHUTDOWN_MARGIN: TimeSpan = TimeSpan::from_millis(300);
/// Time before the exit at which requests that have no answer get one, so that it still
/// reaches their callers.
const FINAL_ANSWER_MARGIN: TimeSpan = TimeSpan::from_millis(200);

/// A shutdown that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// When the daemon was told to stop.
    pub begun: MonoTime,
    /// Time from then until the process is killed.
    pub grace: TimeSpan,
}

impl StopPlan {
    /// When the daemon stops taking requests.
    #[must_use]
    pub fn accept_end(&self) -> MonoTime {
        self.begun + self.part_of_grace(ACCEPT_PERCENT_OF_GRACE)
    }

    /// When the process exits at the latest.
    #[must_use]
    pub fn exit_time(&self) -> MonoTime {
        self.begun + self.grace.saturating_sub(SHUTDOWN_MARGIN)
    }

    /// When requests that have no answer get one of the daemon's own.
    #[must_use]
    pub fn final_answer_time(&self) -> MonoTime {
        self.exit_time() - FINAL_ANSWER_MARGIN
    }

    /// Whether to take a request at `now`. `answer_bound` is a time that few answers of its
    /// kind exceed, `timeout` the time after which the request ends in any case.
    #[must_use]
    pub fn may_take(&self, answer_bound: TimeSpan, timeout: TimeSpan, now: MonoTime) -> bool {
        let is_likely = now + answer_bound.min(timeout) < self.exit_time();
        let is_sure = now + timeout < self.final_answer_time();
        let likely_end = self.begun + self.part_of_grace(LIKELY_PERCENT_OF_GRACE);
        is_sure || (is_likely && now < likely_end)
    }

    fn part_of_grace(&self, percent: u64) -> TimeSpan {
        TimeSpan::from_millis(self.grace.millis() * percent / 100)
    }
}
