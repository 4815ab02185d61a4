//! Which requests have crashed how many engines.

use indexmap::IndexMap;
use ward_protocol::{MonoTime, RequestFingerprint, TimeSpan};

use super::{CrashReport, EngineIncarnation};

/// Crashes after which a request is not sent any more.
const CRASHES_TO_BLOCK: usize = 2;
/// Time for which a crash counts; a blocked request stays so after its last one.
const MEMORY: TimeSpan = TimeSpan::from_secs(3_600);
const MOST_REQUESTS: usize = 4_096;
/// Blocked requests that are kept in the store, whose records have a limit.
const MOST_STORED: usize = 1_024;

#[derive(Debug, Clone)]
struct CountedCrash {
    life: EngineIncarnation,
    /// Until when it counts.
    until: MonoTime,
}

impl CountedCrash {
    fn left(&self, now: MonoTime) -> TimeSpan {
        self.until.since(now)
    }

    fn counts(&self, now: MonoTime) -> bool {
        self.left(now) > TimeSpan::ZERO
    }
}

/// What a mark changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEffect {
    /// Nothing: the crash was known, or the request is blocked already.
    Known,
    /// One more crash counts.
    Counted,
    /// One more crash counts, and the request is blocked from now on.
    Blocked,
}

/// Crashes by request. Marks may come in any order and more than once.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    requests: IndexMap<RequestFingerprint, Vec<CountedCrash>>,
    blocks: BlockRevision,
}

/// Number of changes to which requests are blocked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BlockRevision(u64);

impl CrashLedger {
    /// Counts a crash.
    pub fn record(&mut self, mark: &CrashReport, now: MonoTime) -> CrashEffect {
        if mark.age > MEMORY {
            return CrashEffect::Known;
        }
        if !self.requests.contains_key(&mark.fingerprint) {
            self.make_room(now);
        }
        let crashes = self.requests.entry(mark.fingerprint).or_default();
        crashes.retain(|crash| crash.counts(now));
        let is_known = crashes.iter().any(|crash| crash.life == mark.incarnation);
        if is_known || crashes.len() >= CRASHES_TO_BLOCK {
            return CrashEffect::Known;
        }
        crashes.push(CountedCrash {
            life: mark.incarnation.clone(),
            until: now + MEMORY.saturating_sub(mark.age),
        });
        if crashes.len() == CRASHES_TO_BLOCK {
            self.blocks.0 += 1;
            CrashEffect::Blocked
        } else {
            CrashEffect::Counted
        }
    }

    /// Forgets the crashes of a request that an engine has answered whole;
    /// returns whether there were any.
    pub fn clear(&mut self, fingerprint: &RequestFingerprint) -> bool {
        let Some(crashes) = self.requests.shift_remove(fingerprint) else {
            return false;
        };
        if crashes.len() >= CRASHES_TO_BLOCK {
            self.blocks.0 += 1;
        }
        true
    }

    /// Changes so far to which requests are blocked.
    #[must_use]
    pub const fn blocks(&self) -> BlockRevision {
        self.blocks
    }

    /// Time for which a request must not be sent to engines, if it is blocked.
    #[must_use]
    pub fn blocked_for(&self, fingerprint: &RequestFingerprint, now: MonoTime) -> Option<TimeSpan> {
        let crashes = self.requests.get(fingerprint)?;
        let last = crashes.iter().max_by_key(|crash| crash.until)?;
        (crashes.len() >= CRASHES_TO_BLOCK && last.counts(now)).then(|| last.left(now))
    }

    /// All crashes that count.
    #[must_use]
    pub fn reports(&self, now: MonoTime) -> Vec<CrashReport> {
        let requests = self.requests.iter();
        requests
            .flat_map(|(fingerprint, crashes)| marks_of(*fingerprint, crashes, now))
            .collect()
    }

    /// The crashes that count and that others have not told.
    #[must_use]
    pub fn reports_missing_from(&self, told: &[CrashReport], now: MonoTime) -> Vec<CrashReport> {
        let mut others = Self::default();
        for mark in told {
            others.record(mark, now);
        }
        let mut marks = self.reports(now);
        marks.retain(|mark| others.record(mark, now) != CrashEffect::Known);
        marks
    }

    /// The crashes of the requests blocked last.
    #[must_use]
    pub fn blocked_reports(&self, now: MonoTime) -> Vec<CrashReport> {
        let blocked = self.requests.iter().rev();
        let blocked = blocked.filter(|(_, crashes)| crashes.len() >= CRASHES_TO_BLOCK);
        blocked
            .take(MOST_STORED)
            .flat_map(|(fingerprint, crashes)| marks_of(*fingerprint, crashes, now))
            .collect()
    }

    /// Makes room for one more request; blocked ones are the last to be forgotten.
    fn make_room(&mut self, now: MonoTime) {
        if self.requests.len() < MOST_REQUESTS {
            return;
        }
        self.requests
            .retain(|_, crashes| crashes.iter().any(|crash| crash.counts(now)));
        if self.requests.len() < MOST_REQUESTS {
            return;
        }
        let mut crashes = self.requests.values();
        let index = crashes.position(|crashes| crashes.len() < CRASHES_TO_BLOCK);
        self.requests.shift_remove_index(index.unwrap_or(0));
    }
}

fn marks_of(
    fingerprint: RequestFingerprint,
    crashes: &[CountedCrash],
    now: MonoTime,
) -> impl Iterator<Item = CrashReport> {
    let counting = crashes.iter().filter(move |crash| crash.counts(now));
    counting.map(move |crash| CrashReport {
        fingerprint,
        incarnation: crash.life.clone(),
        age: MEMORY.saturating_sub(crash.left(now)),
    })
}
