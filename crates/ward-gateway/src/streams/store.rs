//! Reads and writes what the store keeps of streams, for the case that no daemon is left
//! that knows it: the origins of streams and the version lists.

use std::cell::{Cell, RefCell};

use indexmap::IndexSet;
use quick_error::quick_error;
use slog::warn;
use tokio::sync::{Mutex, Notify};
use ward_adapter::store::{is_version_list_key, version_list_key};
use ward_adapter::{NewRecord, StoreError, StoreRecord, StoreTopic};
use ward_fleet::streams::{NoteSource, VersionRevision};
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
        Ok(tail) => {
            gateway.metrics.count_store_call(true);
            store.is_restored.set(true);
            apply_records(gateway, &tail.records)
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
    let own_list_key = version_list_key(&settings.daemon);
    let mut listed = IndexSet::new();
    let mut is_complete = true;
    for record in records.iter().filter(|record| !record.value.is_empty()) {
        let applied = if is_version_list_key(&record.key) {
            apply_list(gateway, record, &mut listed, record.key == own_list_key)
        } else {
            apply_notes(gateway, record, record.key == settings.daemon.as_str())
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
    if !gateway.streams.store.is_restored.get() {
        return Err(PersistError::Unrestored);
    }
    let mut records = Vec::new();
    if scope.has_versions {
        records.push(list_record(gateway)?);
    }
    if scope.has_streams {
        records.push(notes_record(gateway)?);
    }
    gateway.store.append(StoreTopic::Streams, &records).await?;
    Ok(())
}

fn list_record(gateway: &Gateway) -> Result<NewRecord, CodecError> {
    let own_versions = gateway.streams.own_versions.borrow();
    let list = VersionList {
        written: WallTime::now(),
        versions: own_versions.sightings(clock::now()),
    };
    Ok(NewRecord {
        key: version_list_key(&gateway.settings().daemon).into(),
        value: encode(&list)?,
    })
}

fn notes_record(gateway: &Gateway) -> Result<NewRecord, CodecError> {
    let record = StreamRecord {
        written: WallTime::now(),
        notes: notes_to_write(gateway)?,
    };
    Ok(NewRecord {
        key: gateway.settings().daemon.to_string().into(),
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
