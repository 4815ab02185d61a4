//! Requests that crash the engines that run them.
//!
//! Load pattern: one request crashes each engine that begins it, and its caller
//! sends it again, to any daemon. Daemons report the fingerprint of each
//! request whose engine broke off without an answer; a request that this
//! happened to on several attempts is not sent to engines for a while.

use indexmap::IndexMap;
use ward_protocol::{MonoTime, RequestFingerprint, TimeSpan};

/// Crashes after which a request is not sent any more.
const CRASHES_TO_BLOCK: u32 = 2;
const MEMORY: TimeSpan = TimeSpan::from_secs(60);
const MOST_ENTRIES: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct CrashCount {
    crashes: u32,
    last: MonoTime,
}

/// Crashes by request.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    counts: IndexMap<RequestFingerprint, CrashCount>,
}

impl CrashLedger {
    /// Counts a crash; returns whether the request is blocked from now on.
    pub fn note(&mut self, fingerprint: RequestFingerprint, now: MonoTime) -> bool {
        self.forget(now);
        let count = self.counts.entry(fingerprint).or_insert(CrashCount {
            crashes: 0,
            last: now,
        });
        count.crashes += 1;
        count.last = now;
        count.crashes >= CRASHES_TO_BLOCK
    }

    /// Blocks a request that others saw crash engines.
    pub fn block(&mut self, fingerprint: RequestFingerprint, now: MonoTime) {
        let count = CrashCount {
            crashes: CRASHES_TO_BLOCK,
            last: now,
        };
        self.counts.insert(fingerprint, count);
    }

    /// Whether a request must not be sent to engines.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: &RequestFingerprint) -> bool {
        let count = self.counts.get(fingerprint);
        count.is_some_and(|count| count.crashes >= CRASHES_TO_BLOCK)
    }

    /// All blocked requests.
    #[must_use]
    pub fn blocked(&self) -> Vec<RequestFingerprint> {
        let blocked = self.counts.keys().filter(|key| self.is_blocked(key));
        blocked.copied().collect()
    }

    fn forget(&mut self, now: MonoTime) {
        self.counts
            .retain(|_, count| now.since(count.last) <= MEMORY);
        while self.counts.len() >= MOST_ENTRIES {
            self.counts.shift_remove_index(0);
        }
    }
}
