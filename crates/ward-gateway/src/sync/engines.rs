//! Reads the engines from the store.
//!
//! The coordinator reads often and broadcasts changes to the other daemons; they
//! read only while they have no current view. An engine whose entry expires during
//! a store outage, or shortly after, stays in use until it has had time to register
//! again.
//!
//! A reader whose answer the store has cut is behind. It reads again without a pause, and
//! what it knows counts as of its last read that reached the end of the log.

use std::rc::Rc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use slog::{debug, info, warn};
use ward_adapter::{StoreError, StoreRecord, StoreTopic, decode_entry};
use ward_fleet::pace::{CatchUp, catch_up, standalone_read_interval};
use ward_fleet::{
    EngineBirth, EngineEntry, EngineIncarnation, EngineInfo, HeartbeatCount, ReadCursor,
};
use ward_protocol::{BackendId, MonoTime, TimeSpan};

use super::read::{EngineRead, ReadScope, read_changes};
use crate::clock;
use crate::gateway::Gateway;

/// Time between reads on the coordinator.
const COORDINATOR_READ_INTERVAL: Duration = Duration::from_millis(250);
/// Time between checks whether the view is still current.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum time that a daemon waits for the coordinator's view instead of reading a
/// long list of engines itself; each waits a random time of up to twice as long, so
/// that not all read at once.
const MIN_VIEW_WAIT: Duration = Duration::from_secs(3);
/// Time between two reads after which the newest records are read instead of all
/// changes since.
const MAX_HISTORY_GAP: TimeSpan = TimeSpan::from_secs(3);
/// Time after a store outage in which engines register again.
const REREGISTER_GRACE: TimeSpan = TimeSpan::from_millis(2_000);

struct EngineReader {
    /// Where the next read begins; `None` when the newest records must be read.
    cursor: Option<ReadCursor>,
    /// When a read last failed; `None` if none has failed, or once the time for engines to
    /// register again has passed.
    last_failure: Option<MonoTime>,
    /// Engines whose entry expired during a store outage, and when this was noticed.
    lapsed: IndexMap<BackendId, MonoTime>,
    /// The newest heartbeat of each engine, including engines that have left.
    newest_heartbeats: IndexMap<BackendId, HeartbeatPosition>,
    /// Whether the list of engines has several pages.
    has_long_list: bool,
    /// Failed reads in succession.
    failed_reads: u32,
}

/// Position of a heartbeat in the order of all heartbeats of its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HeartbeatPosition {
    birth: Option<EngineBirth>,
    heartbeat: HeartbeatCount,
}

/// Keeps the table of engines up to date.
pub(crate) async fn sync_engines(gateway: Rc<Gateway>) {
    let mut reader = EngineReader {
        cursor: None,
        last_failure: None,
        lapsed: IndexMap::new(),
        newest_heartbeats: IndexMap::new(),
        has_long_list: false,
        failed_reads: 0,
    };
    loop {
        if gateway.coordinator.is_active() || !gateway.has_current_view() {
            while reader.read_once(&gateway).await == ReadProgress::Behind {}
        } else {
            gateway.consecutive_reads.set(0);
        }
        reader.expire_outage(&gateway);
        reader.wait(&gateway).await;
    }
}

impl EngineReader {
    /// Waits until the next look whether the engines must be read.
    async fn wait(&self, gateway: &Gateway) {
        if gateway.coordinator.is_active() {
            gateway
                .sleep_or_store_recovery(COORDINATOR_READ_INTERVAL)
                .await;
        } else if gateway.has_current_view() {
            gateway.sleep_or_store_recovery(VIEW_POLL_INTERVAL).await;
        } else {
            let interval = standalone_read_interval(
                self.failed_reads,
                self.has_long_list,
                rand::random_range(0.0..1.0),
            );
            tokio::select! {
                () = tokio::time::sleep(interval.duration()) => {}
                () = gateway.store_recovered.notified(), if !self.has_long_list => {}
                () = wait_until_coordinator(gateway) => {}
            }
        }
    }

    /// Reads the engines once, and applies what was read or records the failure.
    async fn read_once(&mut self, gateway: &Gateway) -> ReadProgress {
        let now = clock::now();
        let last_read = gateway.last_read.get();
        // On the coordinator, the cursor is this reader's own earlier one, whose
        // records may have been deleted since.
        let view_cursor = gateway.view_engines_cursor.take();
        if let Some(cursor) = view_cursor.filter(|_| !gateway.coordinator.is_active()) {
            self.cursor = self.cursor.max(Some(cursor));
        } else if last_read.is_some_and(|time| now.since(time) > MAX_HISTORY_GAP) {
            self.cursor = None;
        }
        let result = match self.cursor {
            Some(from) => read_changes(gateway, from).await,
            None => self.read_all(gateway).await,
        };
        match result {
            Ok(read) => self.apply_read(gateway, &read, now),
            Err(cause) => {
                self.record_failure(gateway, &cause);
                ReadProgress::Failed
            }
        }
    }

    /// Applies a read that began at `begun`.
    fn apply_read(
        &mut self,
        gateway: &Gateway,
        read: &EngineRead,
        begun: MonoTime,
    ) -> ReadProgress {
        gateway.metrics.count_store_call(true);
        self.failed_reads = 0;
        let streak = gateway.consecutive_reads.get().saturating_add(1);
        gateway.consecutive_reads.set(streak);
        self.apply_records(gateway, &read.records, read.scope);
        let former = std::mem::replace(&mut self.cursor, read.next);
        if let ReadScope::FirstChanges { left_out } = read.scope {
            let engines = gateway.table.borrow().iter().count();
            let is_stuck = former == self.cursor;
            if is_stuck || catch_up(left_out, engines) == CatchUp::Newest {
                self.cursor = None;
            }
            return ReadProgress::Behind;
        }
        gateway.last_read.set(Some(begun));
        if let Some(cursor) = read.next {
            let now = clock::now();
            gateway.coordinator.record_store_read(cursor, now);
        }
        if !gateway.engines_known.replace(true) {
            info!(gateway.logger, "engines: first read from the store"; "count" => read.records.len());
        }
        ReadProgress::UpToDate
    }

    fn record_failure(&mut self, gateway: &Gateway, cause: &StoreError) {
        gateway.metrics.count_store_call(false);
        gateway.consecutive_reads.set(0);
        self.failed_reads = self.failed_reads.saturating_add(1);
        if self.last_failure.replace(clock::now()).is_none() {
            warn!(gateway.logger, "engines: store lost"; "cause" => %cause);
        }
        if cause.is_position_lost() {
            self.cursor = None;
        }
    }

    /// Reads all engines. If there are many, and all daemons start at the same time,
    /// reading the complete list on each would keep the store busy for seconds. So the
    /// daemon first waits for the coordinator's view, which takes a few bytes per
    /// engine; if it arrives, only the first page is returned.
    async fn read_all(&mut self, gateway: &Gateway) -> Result<EngineRead, StoreError> {
        let store = &gateway.store;
        let first = store.newest_page(StoreTopic::Engines, None).await?;
        self.has_long_list = !first.is_last;
        if self.has_long_list && !gateway.coordinator.is_active() {
            let timeout = MIN_VIEW_WAIT.mul_f64(rand::random_range(1.0..2.0));
            if gateway.receives_view_within(timeout).await {
                return Ok(EngineRead {
                    records: first.snapshot.records,
                    next: None,
                    scope: ReadScope::FirstPage,
                });
            }
        }
        let newest = store.newest_from_page(StoreTopic::Engines, first).await?;
        Ok(EngineRead {
            next: Some(newest.cursor()),
            records: newest.records,
            scope: ReadScope::All,
        })
    }

    fn apply_records(&mut self, gateway: &Gateway, records: &[StoreRecord], scope: ReadScope) {
        let mut listed = IndexSet::new();
        for record in records {
            listed.insert(record.key.as_str());
            if record.value.is_empty() {
                self.handle_missing(gateway, &record.key);
            } else {
                self.insert(gateway, record, scope);
            }
        }
        if scope == ReadScope::All {
            let missing: Vec<_> = gateway
                .table
                .borrow()
                .iter()
                .map(|engine| engine.info.id.clone())
                .filter(|id| !listed.contains(id.as_str()))
                .collect();
            for id in missing {
                self.handle_missing(gateway, id.as_str());
            }
        }
    }

    fn insert(&mut self, gateway: &Gateway, record: &StoreRecord, scope: ReadScope) {
        let entry = match decode_entry(&record.key, &record.value) {
            Ok(entry) => entry,
            Err(cause) => {
                debug!(
                    gateway.logger, "engines: invalid entry ignored";
                    "key" => &record.key, "cause" => %cause,
                );
                return;
            }
        };
        let position = HeartbeatPosition {
            birth: entry.birth,
            heartbeat: entry.heartbeat,
        };
        // The store may return an old heartbeat after a newer one, or after the
        // engine has left.
        if self
            .newest_heartbeats
            .get(&entry.id)
            .is_some_and(|newest| *newest >= position)
        {
            debug!(
                gateway.logger, "engines: stale heartbeat ignored";
                "engine" => %entry.id, "heartbeat" => entry.heartbeat.0,
            );
            return;
        }
        self.newest_heartbeats.insert(entry.id.clone(), position);
        if scope.is_snapshot() && has_departed(gateway, &entry) {
            info!(
                gateway.logger, "engines: entry of one that is gone ignored";
                "engine" => %entry.id, "heartbeat" => entry.heartbeat.0,
            );
            return;
        }
        self.lapsed.shift_remove(&entry.id);
        apply_entry(gateway, &entry);
    }

    /// Removes an engine that the store no longer lists; during a store outage, or
    /// shortly after, keeps it until it has had time to register again.
    fn handle_missing(&mut self, gateway: &Gateway, key: &str) {
        let Ok(id) = BackendId::try_from(key) else {
            return;
        };
        let now = clock::now();
        let is_outage = self
            .last_failure
            .is_some_and(|failed| now.since(failed) < REREGISTER_GRACE);
        if is_outage {
            info!(gateway.logger, "engines: lapsed in an outage"; "engine" => %id);
            gateway.coordinator.mark_lapsed(&id);
            self.lapsed.entry(id).or_insert(now);
        } else {
            remove_engine(gateway, &id, "its entry was removed");
        }
    }

    /// Ends a store outage once [`REREGISTER_GRACE`] has passed since the last failed
    /// read, and removes the engines that have not registered again by then.
    fn expire_outage(&mut self, gateway: &Gateway) {
        let now = clock::now();
        if self
            .last_failure
            .is_some_and(|failed| now.since(failed) >= REREGISTER_GRACE)
        {
            info!(gateway.logger, "engines: store regained");
            self.last_failure = None;
            for (id, _) in self.lapsed.drain(..) {
                remove_engine(gateway, &id, "it did not register again");
            }
        }
    }
}

/// How far a read of engines came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadProgress {
    UpToDate,
    /// Records were left out, so that the next read follows at once.
    Behind,
    Failed,
}

/// Whether an entry is one of an engine incarnation that is known to be gone. The list of a
/// store that came back from an older copy may name it; if the engine does live, it soon
/// writes another heartbeat.
pub(crate) fn has_departed(gateway: &Gateway, entry: &EngineEntry) -> bool {
    let incarnation = EngineIncarnation::from(entry);
    gateway.table.borrow().has_departed(&incarnation)
}

/// Waits until this daemon is the coordinator, which must read the engines often.
async fn wait_until_coordinator(gateway: &Gateway) {
    while !gateway.coordinator.is_active() {
        tokio::time::sleep(VIEW_POLL_INTERVAL).await;
    }
}

fn apply_entry(gateway: &Gateway, entry: &EngineEntry) {
    let info = EngineInfo::from(entry);
    gateway.streams.record_engines([&info]);
    let mut table = gateway.table.borrow_mut();
    let known = table.get(&entry.id).map(|engine| engine.info.clone());
    let is_coordinator = gateway.coordinator.is_active();
    let is_standalone = !is_coordinator && !gateway.has_current_view();
    table.insert_entry(info.clone(), is_standalone);
    drop(table);
    gateway.coordinator.apply_entry(entry, clock::now());
    let changed = known.as_ref().is_none_or(|known| {
        known.draining != info.draining
            || known.birth != info.birth
            || known.address != info.address
    });
    if changed {
        info!(
            gateway.logger, "engines: entry changed"; "engine" => %entry.id,
            "service" => %entry.service, "draining" => info.draining,
            "models" => entry.models.len(), "on_disk" => entry.on_disk.len(),
        );
    }
    if changed || is_standalone {
        gateway.queue.notify_change();
    }
}

fn remove_engine(gateway: &Gateway, id: &BackendId, reason: &str) {
    let known = gateway.table.borrow_mut().remove(id);
    gateway.coordinator.remove_engine(id);
    if known {
        info!(gateway.logger, "engines: gone"; "engine" => %id, "why" => reason);
        gateway.queue.notify_change();
    }
}
