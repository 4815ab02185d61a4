//! Limits the number of retries.

use std::sync::atomic::{AtomicU64, Ordering};

/// Cost of one retry in hundredths, so that each request can earn a percentage of
/// a retry.
const RETRY_COST: u64 = 100;
/// Capacity of the bucket: ten retries.
const MAX_SAVED: u64 = 10 * RETRY_COST;

/// Token bucket that each request fills by a fraction of a retry and each retry
/// draws from.
#[derive(Debug)]
pub struct RetryBudget {
    /// What each request adds to `saved`.
    percent: u64,
    /// Budget left, in hundredths of a retry.
    saved: AtomicU64,
}

impl RetryBudget {
    /// A budget of `percent` retries per 100 requests that starts with ten retries; a
    /// `percent` of 0 allows none.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let saved = if percent == 0 { 0 } else { MAX_SAVED };
        Self {
            percent: percent.into(),
            saved: AtomicU64::new(saved),
        }
    }

    /// Records a first attempt, which earns budget.
    pub fn record_request(&self) {
        if self.saved.load(Ordering::Relaxed) >= MAX_SAVED {
            return;
        }
        // The closure always returns `Some`, so the update cannot fail.
        let earn = |saved: u64| Some((saved + self.percent).min(MAX_SAVED));
        let _ = self
            .saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes one retry out of the budget; returns false if none is left.
    pub fn take_retry(&self) -> bool {
        let spend = |saved: u64| saved.checked_sub(RETRY_COST);
        self.saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok()
    }
}
