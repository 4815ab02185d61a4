//! Manifest versions that a daemon has heard of but not read yet.
//!
//! Daemons announce the version that they use, so a daemon knows that it is behind, and
//! since when, before it has read the manifest itself.

use ward_protocol::MonoTime;

use crate::manifest::ManifestVersion;

/// Maximum number of versions that are kept apart.
const MAX_HEARD_VERSIONS: usize = 64;

/// A version with the time when it became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeardVersion {
    version: ManifestVersion,
    heard_at: MonoTime,
}

/// The version in force at a daemon, and the newer ones that it has heard of.
#[derive(Debug, Clone, Default)]
pub struct VersionTracker {
    in_force: ManifestVersion,
    /// Versions newer than the one in force, in ascending order.
    heard: Vec<HeardVersion>,
}

impl VersionTracker {
    /// Records a version that another daemon has; returns whether it is newer than all
    /// known ones.
    ///
    /// ```
    /// # use ward_fleet::{ManifestVersion, VersionTracker};
    /// # use ward_protocol::MonoTime;
    /// let mut tracker = VersionTracker::default();
    /// tracker.adopt(ManifestVersion(3));
    /// assert!(tracker.record(ManifestVersion(5), MonoTime(70)));
    /// assert!(!tracker.record(ManifestVersion(4), MonoTime(80)));
    /// assert_eq!(tracker.behind_since(), Some(MonoTime(70)));
    /// tracker.adopt(ManifestVersion(5));
    /// assert_eq!(tracker.behind_since(), None);
    /// ```
    pub fn record(&mut self, version: ManifestVersion, now: MonoTime) -> bool {
        if version <= self.newest() {
            return false;
        }
        let heard_at = if self.heard.len() < MAX_HEARD_VERSIONS {
            now
        } else {
            // The earlier time holds for both versions: it is the stricter one.
            self.heard.pop().map_or(now, |last| last.heard_at)
        };
        self.heard.push(HeardVersion { version, heard_at });
        true
    }

    /// Records that a version is in force.
    pub fn adopt(&mut self, version: ManifestVersion) {
        self.in_force = self.in_force.max(version);
        self.heard.retain(|heard| heard.version > version);
    }

    /// The newest version that is known to exist.
    #[must_use]
    pub fn newest(&self) -> ManifestVersion {
        let heard = self.heard.last().map(|heard| heard.version);
        heard.map_or(self.in_force, |heard| heard.max(self.in_force))
    }

    /// When a version newer than the one in force became known; `None` if there is none.
    #[must_use]
    pub fn behind_since(&self) -> Option<MonoTime> {
        self.heard.first().map(|heard| heard.heard_at)
    }
}
