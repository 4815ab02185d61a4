//! Requests that were running when a backend server crashed.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::{BackendId, RequestFingerprint, WallTime};

/// Most fingerprints kept; the one that ends first makes room.
pub const SUSPECT_LIMIT: usize = 4_096;

/// Crashes that one request was part of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// Until when the entry counts.
    pub until: WallTime,
    /// Distinct backend servers that crashed.
    pub backends: Vec<BackendId>,
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
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            let known = entry.backends.contains(&backend);
            let later = until > entry.until;
            if !known {
                entry.backends.push(backend);
            }
            entry.until = entry.until.max(until);
            return !known || later;
        }
        if self.entries.len() >= SUSPECT_LIMIT {
            self.drop_first_ending();
        }
        let entry = SuspectEntry {
            until,
            backends: vec![backend],
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
