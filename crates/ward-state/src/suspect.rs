//! Requests that were running when a backend server crashed.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::{BackendId, RequestFingerprint, TimeSpan, WallTime};

/// Most fingerprints kept; the one that ends first makes room.
pub const SUSPECT_LIMIT: usize = 4_096;

/// Reports of one backend server that lie closer together are of one crash:
/// several daemons may have sent it the same request.
const SAME_CRASH: TimeSpan = TimeSpan::from_millis(500);

/// One crash of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCrash {
    /// The backend server.
    pub backend: BackendId,
    /// Until when the crash counts; stands for when it was seen.
    pub until: WallTime,
}

impl BackendCrash {
    fn is_same(&self, other: &Self) -> bool {
        let apart = self.until.since(other.until) + other.until.since(self.until);
        self.backend == other.backend && apart < SAME_CRASH
    }
}

/// Crashes that one request was part of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// Until when the entry counts.
    pub until: WallTime,
    /// The crashes; one backend server may have crashed twice.
    pub crashes: Vec<BackendCrash>,
}

impl SuspectEntry {
    /// Whether a crash is among those counted.
    #[must_use]
    pub fn contains(&self, crash: &BackendCrash) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }
}

/// Fingerprints under suspicion.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectList {
    entries: IndexMap<RequestFingerprint, SuspectEntry>,
}

impl SuspectList {
    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestFingerprint, &SuspectEntry)> {
        self.entries.iter()
    }

    /// The entry of a fingerprint.
    #[must_use]
    pub fn get(&self, fingerprint: RequestFingerprint) -> Option<&SuspectEntry> {
        self.entries.get(&fingerprint)
    }

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
        if self.entries.len() >= SUSPECT_LIMIT {
            self.drop_first_ending();
        }
        let entry = SuspectEntry {
            until,
            crashes: vec![crash],
        };
        self.entries.insert(fingerprint, entry);
        true
    }

    fn drop_first_ending(&mut self) {
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
