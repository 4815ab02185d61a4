//! A host list that lags.

use ward_protocol::HostEntry;

/// The list and what it said before.
#[derive(Debug, Default)]
pub struct FakeHosts {
    versions: Vec<(u64, Vec<HostEntry>)>,
    /// How far the list is behind, in microseconds.
    pub lag: u64,
}

impl FakeHosts {
    /// The list is this from now on.
    pub fn publish(&mut self, now: u64, entries: Vec<HostEntry>) {
        self.versions.push((now, entries));
    }

    /// The list as a reader sees it now.
    #[must_use]
    pub fn read(&self, now: u64) -> Vec<HostEntry> {
        let seen = now.saturating_sub(self.lag);
        let version = self.versions.iter().rev().find(|(at, _)| *at <= seen);
        version
            .map(|(_, entries)| entries.clone())
            .unwrap_or_default()
    }
}
