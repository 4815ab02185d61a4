//! Reads and writes what the store keeps of streams, for the case that no daemon is left
//! that knows it: the origins of streams and the version lists.
//!
//! A write whose answer was lost may take effect seconds later, and then replaces what was
//! written since under the same key. So after such a write, and after a restart, a daemon
//! writes under other keys (a [`RecordSlot`]) all that it knows; readers take the records of all
//! slots together. Former ones are removed once no write to them can be under way.

use std::cell::{Cell, RefCell};

use indexmap::IndexSet;
use quick_error::quick_error;
use slog::warn;
use tokio::sync::{Mutex, Notify};
use ward_adapter::store::{
    RecordSlot, is_version_list_key, key_owner, notes_key, version_list_key,
};
use ward_adapter::{NewRecord, StoreError, StoreRecord, StoreTopic};
use ward_fleet::streams::{FormerKeys, NoteSource, VersionRevision};
use ward_fleet::{StoreEra, StreamNote, StreamOrigin, StreamRecord, VersionList};
use ward_protocol::codec::{decode, encode};
use ward_protocol::{CodecError, MonoTime, TimeSpan, WallTime};

use crate::clock;
use crate::gateway::Gateway;

/// Minimum time between two reads by one daemon.
pub(super) const MIN_READ_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Maximum length of the notes in a record, in bytes; the store accepts 256 KiB.
const MAX_NOTES_BYTES: usize = 240 << 10;

quick_error! {
    /// Why what a daemon knows of streams cannot be written to the store.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "quick_error knows no narrower visibility")]
    pub enum PersistError {
        /// The store did not acknowledge the record.
        Store(cause: StoreError) {
            from()
            display("{cause}")
        }
        /// The record cannot be encoded.
        Codec(cause: CodecError) {
            from()
            display("{cause}")
        }
        /// The records of an earlier incarnation of this daemon, which its own records
        /// replace, cannot be read.
        Unrestored {
            display("its earlier records cannot be read")
        }
    }
}

impl PersistError {
    /// Whether the records may be written later all the same.
    pub(super) const fn may_take_effect(&self) -> bool {
        match self {
            Self::Store(cause) => cause.may_take_effect(),
            Self::Codec(_) | Self::Unrestored => false,
        }
    }
}

/// A read of all daemons' records.
#[derive(Debug, Clone, Copy)]
struct StoreRead {
    begun: MonoTime,
    /// Whether all records were read, and all version lists decoded.
    is_complete: bool,
}

/// What the store is known to hold of this daemon's streams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct WrittenState {
    /// The newest era of the store that was known at the time of writing.
    pub(super) era: StoreEra,
    /// Revision of the streams.
    pub(super) streams: u64,
    /// Revision of the version list.
    pub(super) versions: VersionRevision,
    /// When the version list was last written.
    pub(super) listed_at: MonoTime,
}

/// Which records a write contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WriteScope {
    pub(super) has_streams: bool,
    pub(super) has_versions: bool,
}

/// What this daemon has read from the store and written to it.
#[derive(Default)]
pub(super) struct StreamStore {
    /// The last read; locked while one is under way.
    last_read: Mutex<Option<StoreRead>>,
    /// Whether this daemon has read the records of its earlier incarnation.
    is_restored: Cell<bool>,
    /// Where this daemon writes; `None` before it has left the first slot of its incarnation.
    slot: Cell<Option<RecordSlot>>,
    /// Keys of this daemon's records in other slots.
    former_keys: RefCell<FormerKeys>,
    /// Versions in the lists of all daemons as of the last complete read.
    listed: RefCell<IndexSet<StreamOrigin>>,
    pub(super) written: Cell<WrittenState>,
    /// Whether the last write failed, or has not been acknowledged in time.
    pub(super) has_failed: Cell<bool>,
    pub(super) write_requested: Notify,
    /// Notified after each write, whether or not it has succeeded.
    pub(super) write_ended: Notify,
}

impl StreamStore {
    /// Requests a write of what has changed.
    pub(super) fn request_write(&self) {
        self.write_requested.notify_one();
    }

    fn slot(&self, gateway: &Gateway) -> RecordSlot {
        let first = RecordSlot(gateway.incarnation.0);
        self.slot.get().unwrap_or(first)
    }

    /// Writes under other keys from now on, since a write that has not been answered may
    /// replace any later one; all that this daemon knows must be written again.
    pub(super) fn leave_slot(&self, gateway: &Gateway) {
        let daemon = &gateway.settings().daemon;
        let slot = self.slot(gateway);
        let now = clock::now();
        let mut former_keys = self.former_keys.borrow_mut();
        former_keys.record_left(notes_key(daemon, slot), now);
        former_keys.record_left(version_list_key(daemon, slot), now);
        self.slot.set(Some(RecordSlot(slot.0 + 1)));
        self.written.set(WrittenState::default());
    }

    /// Keys of former records that a write of this scope makes needless.
    fn needless_keys(&self, scope: WriteScope) -> Vec<String> {
        let is_repeated = |key: &str| {
            if is_version_list_key(key) {
                scope.has_versions
            } else {
                scope.has_streams
            }
        };
        let former_keys = self.former_keys.borrow();
        former_keys.settled(clock::now(), is_repeated)
    }

    /// Whether daemons list this version and no other one of its service, as of the last
    /// complete read.
    pub(super) fn lists_only(&self, origin: &StreamOrigin) -> bool {
        let listed = self.listed.borrow();
        let mut same_service = listed
            .iter()
            .filter(|other| other.service == origin.service);
        same_service.next() == Some(origin) && same_service.next().is_none()
    }
}

/// Reads the records of all daemons, unless a read began at `earliest` or later; returns
/// whether that read was complete.
pub(super) async fn read_streams(gateway: &Gateway, earliest: MonoTime) -> bool {
    let store = &gateway.streams.store;
    let mut last_read = store.last_read.lock().await;
    if let Some(read) = *last_read {
        if read.begun >= earliest {
            return read.is_complete;
        }
        let elapsed = clock::now().since(read.begun);
        tokio::time::sleep(MIN_READ_INTERVAL.saturating_sub(elapsed).duration()).await;
    }
    let begun = clock::now();
    let is_complete = match gateway.store.newest(StoreTopic::Streams).await {
        Ok(snapshot) => {
            gateway.metrics.count_store_call(true);
            store.is_restored.set(true);
            apply_records(gateway, &snapshot.records)
        }
        Err(cause) => {
            gateway.metrics.count_store_call(false);
            warn!(gateway.logger, "stream: store cannot be read"; "cause" => %cause);
            false
        }
    };
    *last_read = Some(StoreRead { begun, is_complete });
    is_complete
}

/// Applies the records of all daemons; returns whether all version lists were decoded.
fn apply_records(gateway: &Gateway, records: &[StoreRecord]) -> bool {
    let settings = gateway.settings();
    let mut listed = IndexSet::new();
    let mut is_complete = true;
    for record in records.iter().filter(|record| !record.value.is_empty()) {
        let is_own = key_owner(&record.key) == settings.daemon.as_str();
        if is_own {
            record_own_key(gateway, &record.key);
        }
        let applied = if is_version_list_key(&record.key) {
            apply_list(gateway, record, &mut listed, is_own)
        } else {
            apply_notes(gateway, record, is_own)
        };
        if let Err(cause) = applied {
            warn!(
                gateway.logger, "stream: record cannot be decoded";
                "key" => &record.key, "cause" => %cause,
            );
            is_complete &= !is_version_list_key(&record.key);
        }
    }
    if is_complete {
        gateway.streams.store.listed.replace(listed);
    }
    is_complete
}

/// Records the key of a record of this daemon, unless it writes there now.
fn record_own_key(gateway: &Gateway, key: &str) {
    let store = &gateway.streams.store;
    let daemon = &gateway.settings().daemon;
    let slot = store.slot(gateway);
    if key != notes_key(daemon, slot) && key != version_list_key(daemon, slot) {
        let mut former_keys = store.former_keys.borrow_mut();
        former_keys.record_found(key, clock::now());
    }
}

fn apply_notes(gateway: &Gateway, record: &StoreRecord, is_own: bool) -> Result<(), CodecError> {
    let streams: StreamRecord = decode(&record.value)?;
    let source = if is_own {
        NoteSource::Own
    } else {
        NoteSource::Other
    };
    let notes = streams.into_notes(WallTime::now());
    gateway.streams.record_notes(notes, source);
    Ok(())
}

fn apply_list(
    gateway: &Gateway,
    record: &StoreRecord,
    listed: &mut IndexSet<StreamOrigin>,
    is_own: bool,
) -> Result<(), CodecError> {
    let list: VersionList = decode(&record.value)?;
    let sightings = list.into_sightings(WallTime::now());
    gateway.streams.record_sightings(&sightings);
    if is_own {
        gateway.streams.record_own_versions(&sightings);
    }
    listed.extend(sightings.into_iter().map(|sighting| sighting.origin));
    Ok(())
}

/// Reads the records of this daemon's earlier incarnation, which its own replace, unless it
/// has done so.
pub(super) async fn restore_records(gateway: &Gateway) {
    if !gateway.streams.store.is_restored.get() {
        read_streams(gateway, clock::now()).await;
    }
}

/// Writes this daemon's records; fails if those of its earlier incarnation are not read.
pub(super) async fn write_records(
    gateway: &Gateway,
    scope: WriteScope,
) -> Result<(), PersistError> {
    let store = &gateway.streams.store;
    if !store.is_restored.get() {
        return Err(PersistError::Unrestored);
    }
    let mut records = Vec::new();
    if scope.has_versions {
        records.push(list_record(gateway)?);
    }
    if scope.has_streams {
        records.push(notes_record(gateway)?);
    }
    let needless_keys = store.needless_keys(scope);
    let removals = needless_keys.iter().map(|key| NewRecord {
        key: key.clone().into(),
        value: Vec::new(),
    });
    records.extend(removals);
    gateway.store.append(StoreTopic::Streams, &records).await?;
    let mut former_keys = store.former_keys.borrow_mut();
    former_keys.record_removed(&needless_keys);
    Ok(())
}

fn list_record(gateway: &Gateway) -> Result<NewRecord, CodecError> {
    let own_versions = gateway.streams.own_versions.borrow();
    let list = VersionList {
        written: WallTime::now(),
        versions: own_versions.sightings(clock::now()),
    };
    Ok(NewRecord {
        key: version_list_key(
            &gateway.settings().daemon,
            gateway.streams.store.slot(gateway),
        )
        .into(),
        value: encode(&list)?,
    })
}

fn notes_record(gateway: &Gateway) -> Result<NewRecord, CodecError> {
    let record = StreamRecord {
        written: WallTime::now(),
        notes: notes_to_write(gateway)?,
    };
    Ok(NewRecord {
        key: notes_key(
            &gateway.settings().daemon,
            gateway.streams.store.slot(gateway),
        )
        .into(),
        value: encode(&record)?,
    })
}

/// The own streams that may be taken up for the longest time, as many as fit.
fn notes_to_write(gateway: &Gateway) -> Result<Vec<StreamNote>, CodecError> {
    let register = gateway.streams.register.borrow();
    let mut notes: Vec<_> = register.own_notes(clock::now()).collect();
    notes.sort_by_key(|note| std::cmp::Reverse(note.lifetime));
    let mut bytes = 0;
    for (index, note) in notes.iter().enumerate() {
        bytes += encode(note)?.len();
        if bytes > MAX_NOTES_BYTES {
            warn!(
                gateway.logger, "stream: too many streams for the store";
                "written" => index, "streams" => notes.len(),
            );
            notes.truncate(index);
            break;
        }
    }
    Ok(notes)
}
