//! Counts the engine crashes of each request, and keeps those of parts of prompts.

use indexmap::IndexMap;
use ward_protocol::{MonoTime, PartId, RequestFingerprint, TimeSpan};

use super::parts::{BlockChange, PartCrashes};
use super::{CrashNews, CrashReport, EngineIncarnation};

/// Crashes after which a request is blocked.
const CRASHES_TO_BLOCK: usize = 2;
/// Time for which a crash counts. A blocked request stays blocked until its last
/// crash expires.
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
    /// Nothing changed: the crash was known or too old, or what it may have been
    /// caused by is already blocked.
    Unchanged,
    /// One more crash counts, but the request is not blocked for it.
    Counted,
    /// One more crash counts, and it blocks the request.
    Blocked,
}

/// Crashes by request and by part of a prompt. Reports may arrive in any order and
/// more than once.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    requests: IndexMap<RequestFingerprint, Vec<CountedCrash>>,
    /// Number of times that a request was blocked, or a blocked one was answered
    /// completely.
    request_changes: u64,
    parts: PartCrashes,
}

/// Number of times so far that the blocks changed. Expiry and eviction of requests
/// are not counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BlockRevision(u64);

impl CrashLedger {
    /// Counts a crash unless it is known or too old, or what it may have been caused
    /// by is already blocked.
    pub fn record(&mut self, report: &CrashReport, now: MonoTime) -> CrashEffect {
        let is_new_for_parts = self.parts.record(report, now);
        let effect = if report.blames_request {
            self.record_request(report, now)
        } else {
            CrashEffect::Unchanged
        };
        match effect {
            CrashEffect::Unchanged if is_new_for_parts => CrashEffect::Counted,
            effect => effect,
        }
    }

    fn record_request(&mut self, report: &CrashReport, now: MonoTime) -> CrashEffect {
        if report.age > CRASH_RETENTION {
            return CrashEffect::Unchanged;
        }
        if !self.requests.contains_key(&report.fingerprint) {
            self.evict(now);
        }
        let crashes = self.requests.entry(report.fingerprint).or_default();
        let is_blocked =
            crashes.len() >= CRASHES_TO_BLOCK && crashes.iter().any(|crash| crash.counts(now));
        if !is_blocked {
            crashes.retain(|crash| crash.counts(now));
        }
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
            self.request_changes += 1;
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
            self.request_changes += 1;
        }
        true
    }

    /// Crashes by part of a prompt.
    #[must_use]
    pub const fn parts(&self) -> &PartCrashes {
        &self.parts
    }

    /// Records that an engine answered on a part of prompts from a time on; returns
    /// whether this is news.
    pub fn clear_part(&mut self, part: &PartId, began_at: MonoTime, now: MonoTime) -> bool {
        self.parts.clear_part(part, began_at, now)
    }

    /// Decides again which parts of prompts are blocked.
    pub fn refresh_parts(&mut self, now: MonoTime) -> BlockChange {
        self.parts.refresh(now)
    }

    /// Current revision of the set of blocked requests and parts.
    #[must_use]
    pub const fn block_revision(&self) -> BlockRevision {
        BlockRevision(self.request_changes + self.parts.changes())
    }

    /// Time for which a request stays blocked; `None` if it is not blocked.
    #[must_use]
    pub fn blocked_for(&self, fingerprint: &RequestFingerprint, now: MonoTime) -> Option<TimeSpan> {
        let crashes = self.requests.get(fingerprint)?;
        let last = crashes.iter().max_by_key(|crash| crash.expires)?;
        (crashes.len() >= CRASHES_TO_BLOCK && last.counts(now)).then(|| last.remaining(now))
    }

    /// Reports of all crashes that count, each with the parts that are suspect.
    #[must_use]
    pub fn reports(&self, now: MonoTime) -> Vec<CrashReport> {
        let requests = self.requests.iter();
        let mut reports: IndexMap<_, CrashReport> = requests
            .flat_map(|(fingerprint, crashes)| reports_of(*fingerprint, crashes, now))
            .map(|report| ((report.fingerprint, report.incarnation.clone()), report))
            .collect();
        for report in self.parts.reports(now) {
            let key = (report.fingerprint, report.incarnation.clone());
            let blames_request = reports.contains_key(&key);
            let report = CrashReport {
                blames_request,
                ..report
            };
            reports.insert(key, report);
        }
        reports.into_values().collect()
    }

    /// All crashes that count, and the suspect parts that were cleared.
    #[must_use]
    pub fn news(&self, now: MonoTime) -> CrashNews {
        CrashNews {
            crashes: self.reports(now),
            cleared_parts: self.parts.cleared_parts(now),
        }
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

    /// Reports that block the same parts, and the most recently added blocked
    /// requests, up to the limit of a stored record.
    #[must_use]
    pub fn blocked_reports(&self, now: MonoTime) -> Vec<CrashReport> {
        let mut reports = self.parts.blocked_reports(now);
        reports.truncate(MAX_STORED);
        reports.extend(self.blocked_request_reports(now));
        reports
    }

    fn blocked_request_reports(&self, now: MonoTime) -> Vec<CrashReport> {
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
        parts: Vec::new(),
        answered_for: None,
        blames_request: true,
    })
}
