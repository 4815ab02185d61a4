//! The host list with its past versions, which are served when the list lags.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;
use ward_protocol::{BackendId, HostEntry, HostState};

const MAX_LAG: Duration = Duration::from_secs(600);

#[derive(Debug)]
struct ListVersion {
    changed_at: Instant,
    entries: IndexMap<BackendId, HostEntry>,
}

/// Versions of the host list, oldest first; one is added at each change.
#[derive(Debug, Default)]
pub(super) struct HostList {
    versions: VecDeque<ListVersion>,
}

impl HostList {
    /// Returns the entries as they were `lag` ago; empty before the first version.
    pub(super) fn entries_after_lag(&self, lag: Duration) -> Vec<HostEntry> {
        let now = Instant::now();
        self.versions
            .iter()
            .rev()
            .find(|version| now - version.changed_at >= lag)
            .map(|version| version.entries.values().cloned().collect())
            .unwrap_or_default()
    }

    /// Adds or replaces an entry.
    pub(super) fn put(&mut self, entry: HostEntry) {
        self.change(|entries| {
            entries.insert(entry.info.backend.clone(), entry);
        });
    }

    /// Marks an entry as leaving; returns false if there is none.
    pub(super) fn leave(&mut self, backend: &BackendId) -> bool {
        self.change(|entries| {
            let Some(entry) = entries.get_mut(backend) else {
                return false;
            };
            entry.state = HostState::Leaving;
            true
        })
    }

    /// Removes an entry; returns false if there is none.
    pub(super) fn remove(&mut self, backend: &BackendId) -> bool {
        self.change(|entries| entries.shift_remove(backend).is_some())
    }

    fn change<T>(&mut self, edit: impl FnOnce(&mut IndexMap<BackendId, HostEntry>) -> T) -> T {
        let now = Instant::now();
        let mut entries = self
            .versions
            .back()
            .map(|version| version.entries.clone())
            .unwrap_or_default();
        let result = edit(&mut entries);
        self.versions.push_back(ListVersion {
            changed_at: now,
            entries,
        });
        while self
            .versions
            .get(1)
            .is_some_and(|second| now - second.changed_at > MAX_LAG)
        {
            self.versions.pop_front();
        }
        result
    }
}
