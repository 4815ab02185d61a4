//! Copies of streams' origins in the store, for the case that a stream's daemon and its
//! keepers have all restarted.

use std::cell::Cell;
use std::rc::Rc;

use quick_error::quick_error;
use slog::warn;
use tokio::sync::Mutex;
use ward_adapter::{NewRecord, StoreError, StoreRecord, StoreTopic};
use ward_fleet::streams::{NoteSource, persist_interval};
use ward_fleet::{StoreEra, StreamNote, StreamRecord};
use ward_protocol::codec::{decode, encode};
use ward_protocol::{CodecError, MonoTime, TimeSpan, WallTime};

use crate::clock;
use crate::gateway::Gateway;

/// Minimum time between two reads by one daemon.
const MIN_READ_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Maximum length of the notes in a record, in bytes; the store accepts 256 KiB.
const MAX_NOTES_BYTES: usize = 240 << 10;

quick_error! {
    /// Why a daemon's streams cannot be written to the store.
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
    }
}

/// What this daemon has read from the store and written to it.
#[derive(Default)]
pub(super) struct StreamStore {
    /// When the last read began; locked while one is under way.
    last_read: Mutex<Option<MonoTime>>,
    /// Whether this daemon has read the record that an earlier incarnation of it wrote,
    /// which its own record replaces.
    is_restored: Cell<bool>,
    /// Revision of the streams that were written last, and the newest era of the store
    /// that was known then.
    written: Cell<(u64, StoreEra)>,
}

/// Reads the streams of all daemons, unless that was done just now.
pub(super) async fn read_streams(gateway: &Gateway) {
    let store = &gateway.streams.store;
    let mut last_read = store.last_read.lock().await;
    let now = clock::now();
    if last_read.is_some_and(|time| now.since(time) < MIN_READ_INTERVAL) {
        return;
    }
    *last_read = Some(now);
    match gateway.store.newest(StoreTopic::Streams).await {
        Ok(tail) => {
            gateway.metrics.count_store_call(true);
            for record in &tail.records {
                apply_record(gateway, record);
            }
            store.is_restored.set(true);
        }
        Err(cause) => {
            gateway.metrics.count_store_call(false);
            warn!(gateway.logger, "stream: store cannot be read"; "cause" => %cause);
        }
    }
}

fn apply_record(gateway: &Gateway, record: &StoreRecord) {
    let streams: StreamRecord = match decode(&record.value) {
        Ok(streams) => streams,
        Err(cause) => {
            warn!(
                gateway.logger, "stream: record cannot be decoded";
                "key" => &record.key, "cause" => %cause,
            );
            return;
        }
    };
    let source = if record.key == gateway.settings().daemon.as_str() {
        NoteSource::Own
    } else {
        NoteSource::Other
    };
    let notes = streams.into_notes(WallTime::now());
    gateway.streams.record_notes(notes, source);
}

/// Writes this daemon's streams to the store from time to time; never returns.
pub(crate) async fn persist_streams(gateway: Rc<Gateway>) {
    loop {
        let writes = gateway.settings().bounds.store_writes;
        let interval = persist_interval(gateway.daemon_count(), writes);
        tokio::time::sleep(interval.duration()).await;
        persist_now(&gateway).await;
    }
}

/// Writes this daemon's streams to the store if a service has several software versions
/// and there are new streams.
pub(crate) async fn persist_now(gateway: &Gateway) {
    let state = &gateway.streams;
    let revision = state.register.borrow().own_revision();
    // A store that came back from a copy since may have forgotten the streams.
    let current = (revision, gateway.store.era());
    if revision == 0
        || current == state.store.written.get()
        || !state.versions.borrow().any_has_several()
    {
        return;
    }
    if !state.store.is_restored.get() {
        read_streams(gateway).await;
    }
    if !state.store.is_restored.get() {
        return;
    }
    match write_streams(gateway).await {
        Ok(()) => state.store.written.set(current),
        Err(cause) => {
            warn!(gateway.logger, "stream: streams not written"; "cause" => %cause);
        }
    }
}

async fn write_streams(gateway: &Gateway) -> Result<(), PersistError> {
    let record = StreamRecord {
        written: WallTime::now(),
        notes: notes_to_write(gateway)?,
    };
    let record = NewRecord {
        key: gateway.settings().daemon.to_string().into(),
        value: encode(&record)?,
    };
    gateway.store.append(StoreTopic::Streams, &[record]).await?;
    Ok(())
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
