//! Fake host list that can lag behind.

use ward_protocol::HostEntry;

/// The current and all earlier versions of the host list.
#[derive(Debug, Default)]
pub struct FakeHosts {
    versions: Vec<(u64, Vec<HostEntry>)>,
    /// Delay until readers see a published version, in microseconds.
    pub lag: u64,
}

impl FakeHosts {
    /// Publishes a new version of the list at `now`.
    pub fn publish(&mut self, now: u64, entries: Vec<HostEntry>) {
        self.versions.push((now, entries));
    }

    /// The version that a reader sees at `now`.
    #[must_use]
    pub fn read(&self, now: u64) -> Vec<HostEntry> {
        let visible_at = now.saturating_sub(self.lag);
        let version = self
            .versions
            .iter()
            .rev()
            .find(|(published_at, _)| *published_at <= visible_at);
        version
            .map(|(_, entries)| entries.clone())
            .unwrap_or_default()
    }
}
