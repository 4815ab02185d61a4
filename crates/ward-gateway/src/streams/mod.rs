//! Keeps which software version began a stream, so that any daemon can continue it at
//! that version.
//!
//! A daemon records each stream that it forwards, and lists in the store the versions that
//! its streams come from before the first stream of a version goes to a caller. While a
//! service has several versions, it also tells two other daemons of each stream, and
//! writes it to the store, before the caller gets the first bytes. A request that takes up
//! a stream is served only if the version is found.

mod find;
mod persist;
mod record;
mod store;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use indexmap::IndexSet;
use tokio::sync::Notify;
use ward_fleet::streams::{NoteSource, keepers};
use ward_fleet::{
    EngineInfo, EngineTable, ServedVersions, StreamNews, StreamNote, StreamOrigin, StreamRegister,
    VersionHistory, VersionRevision, VersionSighting,
};
use ward_protocol::{MonoTime, ServiceName, StreamKey, TimeSpan};

pub(crate) use self::find::find_origin;
pub(crate) use self::persist::{persist_now, persist_streams, wait_until_listed};
pub(crate) use self::record::{OriginCopies, StreamTry, record_origin, spread_streams};
use self::store::StreamStore;
use crate::clock;
use crate::gateway::Gateway;
use crate::hub::peer_addresses;

/// Time between two looks at all engines for the versions that still serve.
const REFRESH_INTERVAL: TimeSpan = TimeSpan::from_secs(10);

/// What one daemon knows of streams and software versions.
#[derive(Default)]
pub(crate) struct StreamState {
    register: RefCell<StreamRegister>,
    versions: RefCell<VersionHistory>,
    /// The versions that streams of this daemon may come from, or streams that other
    /// daemons have told it of; those of its version list in the store.
    own_versions: RefCell<VersionHistory>,
    /// Whether the versions that served before this daemon started are known.
    history_known: Cell<bool>,
    /// Notified when a service gets a further version.
    version_added: Notify,
    next_refresh: Cell<MonoTime>,
    store: StreamStore,
}

impl StreamState {
    /// Records that engines exist.
    pub(crate) fn record_engines<'a>(&self, engines: impl IntoIterator<Item = &'a EngineInfo>) {
        let now = clock::now();
        let mut versions = self.versions.borrow_mut();
        let mut own_versions = self.own_versions.borrow_mut();
        let former_revision = own_versions.revision();
        for engine in engines {
            if versions.record_engine(engine, now) {
                self.version_added.notify_one();
            }
            own_versions.record_engine(engine, now);
        }
        if own_versions.revision() != former_revision {
            self.store.request_write();
        }
    }

    /// Records versions that streams of this daemon may come from.
    fn record_own_versions(&self, sightings: &[VersionSighting]) {
        let now = clock::now();
        let mut own_versions = self.own_versions.borrow_mut();
        for sighting in sightings {
            own_versions.record_sighting(sighting, now);
        }
    }

    /// Records the versions that another daemon, or an earlier coordinator, has seen.
    pub(crate) fn record_sightings(&self, sightings: &[VersionSighting]) {
        let now = clock::now();
        let mut versions = self.versions.borrow_mut();
        for sighting in sightings {
            if versions.record_sighting(sighting, now) {
                self.version_added.notify_one();
            }
        }
    }

    /// Records that it is known which versions served before this daemon started.
    pub(crate) fn complete_history(&self) {
        self.history_known.set(true);
    }

    /// The versions that served of late, as sent to another daemon now.
    pub(crate) fn sightings(&self) -> Vec<VersionSighting> {
        self.versions.borrow().sightings(clock::now())
    }

    /// The revision of the set of these versions.
    pub(crate) fn version_revision(&self) -> VersionRevision {
        self.versions.borrow().revision()
    }

    /// Records what another daemon knows of streams and versions. A stream shows that its
    /// version served of late, too; the other daemon may not have been able to list it.
    pub(crate) fn record_news(&self, news: StreamNews) {
        let origins = news.notes.iter().map(|note| note.origin.clone());
        let sightings: IndexSet<_> = origins.collect();
        let sightings = sightings.into_iter().map(|origin| VersionSighting {
            origin,
            age: TimeSpan::ZERO,
        });
        let sightings: Vec<_> = sightings.collect();
        self.record_sightings(&sightings);
        self.record_own_versions(&sightings);
        self.record_sightings(&news.versions);
        self.record_notes(news.notes, NoteSource::Other);
    }

    /// What this daemon knows of a stream and of versions, for another daemon.
    pub(crate) fn news_of(&self, key: StreamKey) -> StreamNews {
        let note = self.register.borrow().note(key, clock::now());
        StreamNews {
            notes: note.into_iter().collect(),
            versions: self.sightings(),
        }
    }

    /// Drops streams and versions that no longer matter, and looks from time to time
    /// which versions still serve.
    pub(crate) fn sweep(&self, table: &EngineTable) {
        let now = clock::now();
        self.register.borrow_mut().remove_expired(now);
        if now < self.next_refresh.get() {
            return;
        }
        self.next_refresh.set(now + REFRESH_INTERVAL);
        self.record_engines(table.iter().map(|engine| &engine.info));
        self.versions.borrow_mut().remove_expired(now);
        self.own_versions.borrow_mut().remove_expired(now);
    }

    fn record_notes(&self, notes: impl IntoIterator<Item = StreamNote>, source: NoteSource) {
        let now = clock::now();
        let mut register = self.register.borrow_mut();
        for note in notes {
            register.record(note, source, now);
        }
    }

    fn known_origin(&self, key: StreamKey) -> Option<StreamOrigin> {
        self.register.borrow().origin(key, clock::now()).cloned()
    }

    /// The origin of every stream of a service, if engines of a single version served it.
    fn only_origin(&self, service: &ServiceName) -> Option<StreamOrigin> {
        let is_known = self.history_known.get();
        self.single_origin(service).filter(|_| is_known)
    }

    /// The same if the lists of all daemons, as last read from the store, name this version
    /// and no other.
    fn only_listed_origin(&self, service: &ServiceName) -> Option<StreamOrigin> {
        let origin = self.single_origin(service)?;
        self.store.lists_only(&origin).then_some(origin)
    }

    /// The origin of the streams of a service as far as this daemon knows, if it knows a
    /// single one.
    fn single_origin(&self, service: &ServiceName) -> Option<StreamOrigin> {
        match self.versions.borrow().served(service) {
            ServedVersions::Single(software) => Some(StreamOrigin {
                service: service.clone(),
                software,
            }),
            ServedVersions::Unknown | ServedVersions::Several => None,
        }
    }

    fn has_own_versions(&self) -> bool {
        !self.own_versions.borrow().is_empty()
    }

    fn has_several_versions(&self, service: &ServiceName) -> bool {
        self.versions.borrow().has_several(service)
    }
}

/// Addresses of the other daemons that keep the origin of a stream. Without a current
/// view, the known daemons may be only some of all, so those in the settings count, too.
fn keeper_addresses(gateway: &Gateway, key: StreamKey, count: usize) -> Vec<SocketAddr> {
    let settings = gateway.settings();
    let members = gateway.members.borrow();
    let known = members.iter().map(|member| member.peers);
    let others: Vec<_> = known.filter(|peers| *peers != settings.peers).collect();
    drop(members);
    if others.is_empty() || !gateway.has_current_view() {
        return keepers(peer_addresses(gateway), key, count);
    }
    keepers(others, key, count)
}
