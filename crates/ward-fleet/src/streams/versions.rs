//! The software versions that serve, or served of late.

use indexmap::IndexMap;
use ward_protocol::{MonoTime, ServiceName, SoftwareVersion, TimeSpan, number_id};

use super::{MAX_STREAM_AGE, StreamOrigin, VersionSighting};
use crate::message::EngineInfo;

/// Maximum number of versions of a service that are kept, those seen last.
const MAX_VERSIONS: usize = 16;

/// Minimum time by which another daemon's sight of a known version must be later.
const MIN_ADVANCE: TimeSpan = TimeSpan::from_secs(30);
/// Maximum age of another daemon's sight of a version that is not known here. Well below
/// the age at which versions are removed, which daemons do at slightly different times.
const MAX_NEWS_AGE: TimeSpan = MAX_STREAM_AGE.saturating_sub(TimeSpan::from_secs(60));

number_id!(
    /// Number that rises whenever a version is added to a history or removed from it.
    VersionRevision, "version revision"
);

/// The software versions whose streams of a service may still be taken up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServedVersions {
    /// No engine of the service was seen.
    Unknown,
    /// All engines had this version.
    Single(SoftwareVersion),
    /// Engines had different versions.
    Several,
}

/// When engines of each software version of each service were last seen.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    services: IndexMap<ServiceName, IndexMap<SoftwareVersion, MonoTime>>,
    revision: VersionRevision,
}

impl VersionHistory {
    /// Records that an engine exists; returns whether its service has one version more
    /// now, and several in all.
    pub fn record_engine(&mut self, engine: &EngineInfo, now: MonoTime) -> bool {
        self.record(&engine.service, &engine.software, now)
    }

    /// Records what another daemon, or an earlier coordinator, has seen; returns the same
    /// as [`Self::record_engine`]. A version that was seen hardly later than is known
    /// already counts for nothing: the transit times of messages would add up, and
    /// daemons keep a version that is gone forever.
    pub fn record_sighting(&mut self, sighting: &VersionSighting, now: MonoTime) -> bool {
        let StreamOrigin { service, software } = &sighting.origin;
        let seen_at = now - sighting.age;
        let versions = self.services.get(service);
        let known_at = versions.and_then(|versions| versions.get(software));
        let is_news = known_at.map_or(sighting.age < MAX_NEWS_AGE, |known_at| {
            seen_at.since(*known_at) >= MIN_ADVANCE
        });
        is_news && self.record(service, software, seen_at)
    }

    fn record(
        &mut self,
        service: &ServiceName,
        software: &SoftwareVersion,
        seen_at: MonoTime,
    ) -> bool {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), IndexMap::new());
        }
        let Some(versions) = self.services.get_mut(service) else {
            return false;
        };
        if let Some(last_seen) = versions.get_mut(software) {
            *last_seen = seen_at.max(*last_seen);
            return false;
        }
        if versions.len() >= MAX_VERSIONS {
            remove_oldest(versions);
        }
        versions.insert(software.clone(), seen_at);
        self.revision.0 += 1;
        versions.len() > 1
    }

    /// Whether no version is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Removes the versions whose streams can no longer be taken up.
    pub fn remove_expired(&mut self, now: MonoTime) {
        let mut removed = 0;
        for versions in self.services.values_mut() {
            let before = versions.len();
            versions.retain(|_, last_seen| now.since(*last_seen) < MAX_STREAM_AGE);
            removed += before - versions.len();
        }
        self.services.retain(|_, versions| !versions.is_empty());
        if removed > 0 {
            self.revision.0 += 1;
        }
    }

    /// The versions of a service whose streams may still be taken up.
    #[must_use]
    pub fn served(&self, service: &ServiceName) -> ServedVersions {
        let Some(versions) = self.services.get(service) else {
            return ServedVersions::Unknown;
        };
        let mut versions = versions.keys();
        match (versions.next(), versions.next()) {
            (None, _) => ServedVersions::Unknown,
            (Some(only), None) => ServedVersions::Single(only.clone()),
            (Some(_), Some(_)) => ServedVersions::Several,
        }
    }

    /// Whether a service has several versions whose streams may still be taken up.
    #[must_use]
    pub fn has_several(&self, service: &ServiceName) -> bool {
        self.services
            .get(service)
            .is_some_and(|versions| versions.len() > 1)
    }

    /// Whether any service has several such versions.
    #[must_use]
    pub fn any_has_several(&self) -> bool {
        self.services.values().any(|versions| versions.len() > 1)
    }

    /// All versions, as sent to another daemon now.
    #[must_use]
    pub fn sightings(&self, now: MonoTime) -> Vec<VersionSighting> {
        let services = self.services.iter();
        let sightings = services.flat_map(|(service, versions)| {
            versions
                .iter()
                .map(move |(software, last_seen)| VersionSighting {
                    origin: StreamOrigin {
                        service: service.clone(),
                        software: software.clone(),
                    },
                    age: now.since(*last_seen),
                })
        });
        sightings.collect()
    }

    /// The revision, which changes with the set of versions.
    #[must_use]
    pub const fn revision(&self) -> VersionRevision {
        self.revision
    }
}

fn remove_oldest(versions: &mut IndexMap<SoftwareVersion, MonoTime>) {
    let seen = versions.values().enumerate();
    if let Some((index, _)) = seen.min_by_key(|(_, last_seen)| **last_seen) {
        versions.swap_remove_index(index);
    }
}
