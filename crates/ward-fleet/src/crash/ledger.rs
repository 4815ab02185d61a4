//! Which requests have crashed how many engines.

use indexmap::IndexMap;
use ward_protocol::{MonoTime, RequestFingerprint, TimeSpan};

use super::{CrashMark, EngineLife};

/// Crashes after which a request is not sent any more.
const CRASHES_TO_BLOCK: usize = 2;
/// Time for which a crash counts; a blocked request stays so after its last one.
const MEMORY: TimeSpan = TimeSpan::from_secs(3_600);
const MOST_REQUESTS: usize = 4_096;

#[derive(Debug, Clone)]
struct CountedCrash {
    life: EngineLife,
    at: MonoTime,
}

/// What a mark changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashNews {
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
}

impl CrashLedger {
    /// Counts a crash.
    pub fn note(&mut self, mark: &CrashMark, now: MonoTime) -> CrashNews {
        self.forget(now);
        if mark.age > MEMORY {
            return CrashNews::Known;
        }
        if !self.requests.contains_key(&mark.fingerprint) {
            self.make_room();
        }
        let crashes = self.requests.entry(mark.fingerprint).or_default();
        let is_known = crashes.iter().any(|crash| crash.life == mark.life);
        if is_known || crashes.len() >= CRASHES_TO_BLOCK {
            return CrashNews::Known;
        }
        crashes.push(CountedCrash {
            life: mark.life.clone(),
            at: now - mark.age,
        });
        if crashes.len() == CRASHES_TO_BLOCK {
            CrashNews::Blocked
        } else {
            CrashNews::Counted
        }
    }

    /// Forgets the crashes of a request that an engine has answered whole;
    /// returns whether there were any.
    pub fn clear(&mut self, fingerprint: &RequestFingerprint) -> bool {
        self.requests.shift_remove(fingerprint).is_some()
    }

    /// Time for which a request must not be sent to engines, if it is blocked.
    #[must_use]
    pub fn blocked_for(&self, fingerprint: &RequestFingerprint, now: MonoTime) -> Option<TimeSpan> {
        let crashes = self.requests.get(fingerprint)?;
        let last = crashes.iter().map(|crash| crash.at).max()?;
        let left = MEMORY.saturating_sub(now.since(last));
        (crashes.len() >= CRASHES_TO_BLOCK && left > TimeSpan::ZERO).then_some(left)
    }

    /// All crashes that count.
    #[must_use]
    pub fn marks(&self, now: MonoTime) -> Vec<CrashMark> {
        let requests = self.requests.iter();
        let marks = requests.flat_map(|(fingerprint, crashes)| {
            crashes.iter().map(move |crash| CrashMark {
                fingerprint: *fingerprint,
                life: crash.life.clone(),
                age: now.since(crash.at),
            })
        });
        marks.collect()
    }

    fn forget(&mut self, now: MonoTime) {
        self.requests.retain(|_, crashes| {
            crashes.retain(|crash| now.since(crash.at) <= MEMORY);
            !crashes.is_empty()
        });
    }

    /// Makes room for one more request; blocked ones are the last to be forgotten.
    fn make_room(&mut self) {
        if self.requests.len() < MOST_REQUESTS {
            return;
        }
        let mut crashes = self.requests.values();
        let index = crashes.position(|crashes| crashes.len() < CRASHES_TO_BLOCK);
        self.requests.shift_remove_index(index.unwrap_or(0));
    }
}
