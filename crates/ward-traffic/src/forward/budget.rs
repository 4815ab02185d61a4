//! How many requests may be sent a second time.

use std::sync::atomic::{AtomicU64, Ordering};

/// Parts of one retry, so that a request earns a percentage of it.
const RETRY_COST: u64 = 100;
/// Most retries saved up.
const MOST_SAVED: u64 = 10 * RETRY_COST;

/// Token bucket that each request fills a little and each retry empties.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    saved: AtomicU64,
}

impl RetryBudget {
    /// A budget of `percent` retries per 100 requests, with ten saved up.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let saved = if percent == 0 { 0 } else { MOST_SAVED };
        Self {
            percent: percent.into(),
            saved: AtomicU64::new(saved),
        }
    }

    /// Counts a request.
    pub fn record_request(&self) {
        if self.saved.load(Ordering::Relaxed) >= MOST_SAVED {
            return;
        }
        // Never fails, since the change is never declined.
        let earn = |saved: u64| Some((saved + self.percent).min(MOST_SAVED));
        let _ = self
            .saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes one retry, if any is left.
    pub fn take_retry(&self) -> bool {
        let spend = |saved: u64| saved.checked_sub(RETRY_COST);
        self.saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok()
    }
}
