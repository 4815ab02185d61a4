//! Requests that were running when a backend server crashed, and may have caused it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::{BackendId, RequestFingerprint, TimeSpan, WallTime};

/// Maximum number of fingerprints; when full, the entry that expires first is evicted.
pub const MAX_SUSPECTS: usize = 4_096;

/// Reports about one backend server that are less than this apart count as the same
/// crash: several daemons may have sent it the same request.
const SAME_CRASH_WINDOW: TimeSpan = TimeSpan::from_millis(500);

/// A crash of a backend server while it ran the suspected request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCrash {
    /// The backend server that crashed.
    pub backend: BackendId,
    /// Time until which the crash counts: when it was seen plus the configured suspect
    /// time. Tells apart the crashes of one backend server.
    pub until: WallTime,
}

impl BackendCrash {
    fn is_same(&self, other: &Self) -> bool {
        let distance = self.until.since(other.until) + other.until.since(self.until);
        self.backend == other.backend && distance < SAME_CRASH_WINDOW
    }
}

/// Crashes of backend servers that were running one request, which is therefore suspected
/// of causing them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// Time until which the entry counts: the latest `until` of its crashes.
    pub until: WallTime,
    /// The crashes in the order of their records; one backend server may occur twice.
    pub crashes: Vec<BackendCrash>,
}

impl SuspectEntry {
    /// Whether the crash has already been counted, possibly from another daemon's report.
    #[must_use]
    pub fn contains(&self, crash: &BackendCrash) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }
}

/// Suspected requests by fingerprint, at most [`MAX_SUSPECTS`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectList {
    entries: IndexMap<RequestFingerprint, SuspectEntry>,
}

impl SuspectList {
    /// All entries, in no particular order; expired ones are included.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestFingerprint, &SuspectEntry)> {
        self.entries.iter()
    }

    /// The entry of a fingerprint, expired or not; `None` if no crash was reported.
    #[must_use]
    pub fn get(&self, fingerprint: RequestFingerprint) -> Option<&SuspectEntry> {
        self.entries.get(&fingerprint)
    }

    /// Adds a crash to the entry of a request; returns false if it is already counted.
    pub(crate) fn add(
        &mut self,
        fingerprint: RequestFingerprint,
        backend: BackendId,
        until: WallTime,
    ) -> bool {
        let crash = BackendCrash { backend, until };
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            if entry.crashes.iter().any(|known| known.is_same(&crash)) {
                return false;
            }
            entry.until = entry.until.max(until);
            entry.crashes.push(crash);
            return true;
        }
        if self.entries.len() >= MAX_SUSPECTS {
            self.evict_first_expiring();
        }
        let entry = SuspectEntry {
            until,
            crashes: vec![crash],
        };
        self.entries.insert(fingerprint, entry);
        true
    }

    fn evict_first_expiring(&mut self) {
        let first = self
            .entries
            .iter()
            .min_by_key(|(fingerprint, entry)| (entry.until, **fingerprint))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = first {
            self.entries.swap_remove(&fingerprint);
        }
    }
}
