//! Counts the engine crashes of each request.

use indexmap::IndexMap;
use ward_protocol::{MonoTime, RequestFingerprint, TimeSpan};

use super::{CrashReport, EngineIncarnation};

/// Crashes after which a request is blocked.
const CRASHES_TO_BLOCK: usize = 2;
/// Time for which a crash counts. A blocked request stays blocked until its last
/// crash expires, or until that crash is reported again after the first one has
/// expired, since only one crash then remains.
const CRASH_RETENTION: TimeSpan = TimeSpan::from_secs(3_600);
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of blocked requests written to the store, whose records are
/// limited in size.
const MAX_STORED: usize = 1_024;

#[derive(Debug, Clone)]
struct CountedCrash {
    incarnation: EngineIncarnation,
    /// Time after which the crash no longer counts.
    expires: MonoTime,
}

impl CountedCrash {
    fn remaining(&self, now: MonoTime) -> TimeSpan {
        self.expires.since(now)
    }

    fn counts(&self, now: MonoTime) -> bool {
        self.remaining(now) > TimeSpan::ZERO
    }
}

/// What a crash report changed in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEffect {
    /// Nothing changed: the crash was known or too old, or the request is
    /// already blocked.
    Unchanged,
    /// One more crash counts, but the request is not blocked.
    Counted,
    /// One more crash counts, and it blocks the request.
    Blocked,
}

/// Crash counts by request. Reports may arrive in any order and more than once.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    requests: IndexMap<RequestFingerprint, Vec<CountedCrash>>,
    block_revision: BlockRevision,
}

/// Number of times so far that a request was blocked, or a blocked one was
/// answered completely. Expiry and eviction are not counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BlockRevision(u64);

impl CrashLedger {
    /// Counts a crash unless it is known or too old, or its request is already
    /// blocked.
    pub fn record(&mut self, report: &CrashReport, now: MonoTime) -> CrashEffect {
        if report.age > CRASH_RETENTION {
            return CrashEffect::Unchanged;
        }
        if !self.requests.contains_key(&report.fingerprint) {
            self.evict(now);
        }
        let crashes = self.requests.entry(report.fingerprint).or_default();
        crashes.retain(|crash| crash.counts(now));
        let is_known = crashes
            .iter()
            .any(|crash| crash.incarnation == report.incarnation);
        if is_known || crashes.len() >= CRASHES_TO_BLOCK {
            return CrashEffect::Unchanged;
        }
        crashes.push(CountedCrash {
            incarnation: report.incarnation.clone(),
            expires: now + CRASH_RETENTION.saturating_sub(report.age),
        });
        if crashes.len() == CRASHES_TO_BLOCK {
            self.block_revision.0 += 1;
            CrashEffect::Blocked
        } else {
            CrashEffect::Counted
        }
    }

    /// Drops the crashes of a request that was answered completely; returns
    /// whether there were any.
    pub fn clear(&mut self, fingerprint: &RequestFingerprint) -> bool {
        let Some(crashes) = self.requests.shift_remove(fingerprint) else {
            return false;
        };
        if crashes.len() >= CRASHES_TO_BLOCK {
            self.block_revision.0 += 1;
        }
        true
    }

    /// Current revision of the set of blocked requests.
    #[must_use]
    pub const fn block_revision(&self) -> BlockRevision {
        self.block_revision
    }

    /// Time for which a request stays blocked; `None` if it is not blocked.
    #[must_use]
    pub fn blocked_for(&self, fingerprint: &RequestFingerprint, now: MonoTime) -> Option<TimeSpan> {
        let crashes = self.requests.get(fingerprint)?;
        let last = crashes.iter().max_by_key(|crash| crash.expires)?;
        (crashes.len() >= CRASHES_TO_BLOCK && last.counts(now)).then(|| last.remaining(now))
    }

    /// Reports of all crashes that count.
    #[must_use]
    pub fn reports(&self, now: MonoTime) -> Vec<CrashReport> {
        let requests = self.requests.iter();
        requests
            .flat_map(|(fingerprint, crashes)| reports_of(*fingerprint, crashes, now))
            .collect()
    }

    /// Reports of crashes that count and are not among the `known` ones, except
    /// for requests that the known ones already block.
    #[must_use]
    pub fn reports_missing_from(&self, known: &[CrashReport], now: MonoTime) -> Vec<CrashReport> {
        let mut others = Self::default();
        for report in known {
            others.record(report, now);
        }
        let mut reports = self.reports(now);
        reports.retain(|report| others.record(report, now) != CrashEffect::Unchanged);
        reports
    }

    /// Reports of the most recently added blocked requests, up to the limit of
    /// a stored record.
    #[must_use]
    pub fn blocked_reports(&self, now: MonoTime) -> Vec<CrashReport> {
        let blocked = self.requests.iter().rev();
        let blocked = blocked.filter(|(_, crashes)| crashes.len() >= CRASHES_TO_BLOCK);
        blocked
            .take(MAX_STORED)
            .flat_map(|(fingerprint, crashes)| reports_of(*fingerprint, crashes, now))
            .collect()
    }

    /// Makes room for one more request. Requests that are not blocked are
    /// evicted first.
    fn evict(&mut self, now: MonoTime) {
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        self.requests
            .retain(|_, crashes| crashes.iter().any(|crash| crash.counts(now)));
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        let mut crashes = self.requests.values();
        let index = crashes.position(|crashes| crashes.len() < CRASHES_TO_BLOCK);
        self.requests.shift_remove_index(index.unwrap_or(0));
    }
}

fn reports_of(
    fingerprint: RequestFingerprint,
    crashes: &[CountedCrash],
    now: MonoTime,
) -> impl Iterator<Item = CrashReport> {
    let counting = crashes.iter().filter(move |crash| crash.counts(now));
    counting.map(move |crash| CrashReport {
        fingerprint,
        incarnation: crash.incarnation.clone(),
        age: CRASH_RETENTION.saturating_sub(crash.remaining(now)),
    })
}
