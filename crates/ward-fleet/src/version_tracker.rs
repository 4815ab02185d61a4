//! Manifest versions that a daemon has heard of but not read yet.
//!
//! Daemons announce the version that they use, so a daemon knows that it is behind, and
//! since when, before it has read the manifest itself. What it may still decide by the
//! manifest in force depends on that time.
//!
//! A version that nobody can give may have been lost: the store came back from an older copy,
//! and the only daemon that had read it is gone. It lapses once the store has answered with
//! an older one for some time.

use ward_protocol::{MonoTime, TimeSpan};

use crate::manifest::ManifestVersion;

/// Maximum number of versions that are kept apart.
const MAX_HEARD_VERSIONS: usize = 64;

/// A version with the time when it became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeardVersion {
    version: ManifestVersion,
    heard_at: MonoTime,
}

/// How the manifest in force at a daemon relates to the newest known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ManifestStanding {
    /// No newer one is known.
    Newest,
    /// A newer one became known a short time ago, so requests may be decided by either.
    Outdated,
    /// A newer one should be in force by now.
    Replaced,
}

/// The version in force at a daemon, and the newer ones that it has heard of.
#[derive(Debug, Clone, Default)]
pub struct VersionTracker {
    in_force: ManifestVersion,
    /// Versions newer than the one in force, in ascending order.
    heard: Vec<HeardVersion>,
    /// The newest version that has lapsed.
    lapsed: ManifestVersion,
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
        if version <= self.newest().max(self.lapsed) {
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

    /// How the manifest in force relates to the newest known one, if a newer one must be in
    /// force `bound` after it became known.
    ///
    /// ```
    /// # use ward_fleet::{ManifestStanding, ManifestVersion, VersionTracker};
    /// # use ward_protocol::{MonoTime, TimeSpan};
    /// let mut tracker = VersionTracker::default();
    /// tracker.record(ManifestVersion(2), MonoTime(0));
    /// let standing = |millis: u64| tracker.standing(MonoTime(millis * 1_000), TimeSpan::from_secs(1));
    /// assert_eq!(standing(900), ManifestStanding::Outdated);
    /// assert_eq!(standing(1_000), ManifestStanding::Replaced);
    /// ```
    #[must_use]
    pub fn standing(&self, now: MonoTime, bound: TimeSpan) -> ManifestStanding {
        match self.behind_since() {
            None => ManifestStanding::Newest,
            Some(since) if now.since(since) < bound => ManifestStanding::Outdated,
            Some(_) => ManifestStanding::Replaced,
        }
    }

    /// Forgets the versions that became known by a time and are not in force; returns the
    /// newest of them. They don't count when they are announced again.
    pub fn lapse(&mut self, until: MonoTime) -> Option<ManifestVersion> {
        let kept = self.heard.iter().position(|heard| heard.heard_at > until);
        let count = kept.unwrap_or(self.heard.len());
        let newest = self.heard.drain(..count).next_back()?.version;
        self.lapsed = self.lapsed.max(newest);
        Some(newest)
    }
}
