//! Which software version began a stream, so that only that version continues it.
//!
//! Load pattern: engines of several software versions serve a service side by side
//! for a while, and what two versions write does not fit together in one stream. A
//! caller whose connection broke sends its request again to any daemon, mostly because
//! the first one died. So each daemon records the origin of its streams, and while a
//! service has several versions, two other daemons, the keepers of the stream's key,
//! record it too. Whoever takes the stream up finds the keepers from the key alone.
//! While a service has a single version, nothing needs to be known of its streams but
//! that: each daemon lists in the store the versions that its streams come from, before
//! the first stream of a further version goes to a caller. So whoever reads the lists of
//! all daemons knows every version, although none of these daemons may be left.

mod former;
mod keepers;
mod persist;
mod register;
mod versions;

use serde::{Deserialize, Serialize};
use ward_protocol::{ServiceName, SoftwareVersion, StreamKey, TimeSpan, WallTime};

pub use self::former::{FormerKeys, MAX_WRITE_DELAY};
pub use self::keepers::keepers;
pub use self::persist::persist_interval;
pub use self::register::{MAX_STREAMS, NoteSource, StreamRegister};
pub use self::versions::{ServedVersions, VersionHistory, VersionRevision};

/// Maximum time from a stream's first event until its caller may take it up; longer
/// than callers wait in all their tries together.
pub const MAX_STREAM_AGE: TimeSpan = TimeSpan::from_secs(600);

/// Time after which a daemon writes an unchanged version list again.
pub const LIST_INTERVAL: TimeSpan = TimeSpan::from_secs(200);

/// The engines that a stream comes from.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the engine that began the stream.
    pub service: ServiceName,
    /// Software version of that engine.
    pub software: SoftwareVersion,
}

/// The origin of one stream, as daemons tell it each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamNote {
    /// Key of the stream.
    pub key: StreamKey,
    /// Where the stream comes from.
    pub origin: StreamOrigin,
    /// Time from the sending of this note for which the stream may be taken up.
    pub lifetime: TimeSpan,
}

/// A software version that served a service, as daemons tell it each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSighting {
    /// The service and the version.
    pub origin: StreamOrigin,
    /// Time between the last sight of an engine of the version and the sending of this
    /// message.
    pub age: TimeSpan,
}

/// What one daemon tells another of streams and software versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamNews {
    /// Origins of streams.
    pub notes: Vec<StreamNote>,
    /// Software versions that served of late.
    pub versions: Vec<VersionSighting>,
}

/// A daemon's own streams, as kept in the store for the case that all daemons that know
/// of a stream restart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Time of writing, by the clock of the host that wrote the record.
    pub written: WallTime,
    /// The daemon's streams.
    pub notes: Vec<StreamNote>,
}

/// The software versions of the engines that one daemon's streams come from, as kept in
/// the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionList {
    /// Time of writing, by the clock of the host that wrote the list.
    pub written: WallTime,
    /// The versions, with their ages at the time of writing.
    pub versions: Vec<VersionSighting>,
}

impl VersionList {
    /// The versions whose streams may still be taken up at `now`. Streams of a listed
    /// version may begin until the list is written again.
    #[must_use]
    pub fn into_sightings(self, now: WallTime) -> Vec<VersionSighting> {
        let elapsed = now.since(self.written).saturating_sub(LIST_INTERVAL);
        let versions = self.versions.into_iter().map(|sighting| VersionSighting {
            age: sighting.age + elapsed,
            ..sighting
        });
        versions
            .filter(|sighting| sighting.age < MAX_STREAM_AGE)
            .collect()
    }
}

impl StreamRecord {
    /// The streams that may still be taken up at `now`.
    #[must_use]
    pub fn into_notes(self, now: WallTime) -> Vec<StreamNote> {
        let elapsed = now.since(self.written);
        let notes = self.notes.into_iter().map(|note| StreamNote {
            lifetime: note.lifetime.saturating_sub(elapsed),
            ..note
        });
        notes
            .filter(|note| note.lifetime > TimeSpan::ZERO)
            .collect()
    }
}
