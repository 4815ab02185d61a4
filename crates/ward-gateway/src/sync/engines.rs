//! The engines, read from the store.
//!
//! The coordinator reads often and tells the others; they read only while they
//! do not hear from it. An entry that lapses while the store is away, or just
//! after, stays in use until the engine had time to register again.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use slog::{debug, info, warn};
use ward_adapter::{StoreError, StoreRecord, StoreTail, StoreTopic, decode_entry};
use ward_fleet::{EngineBirth, EngineEntry, EngineInfo, HeartbeatCount};
use ward_protocol::{BackendId, MonoTime, TimeSpan};

use crate::clock;
use crate::gateway::Gateway;

/// Time between reads of the coordinator.
const COORDINATOR_PAUSE: Duration = Duration::from_millis(250);
/// Time between reads of a daemon that does not hear from the coordinator.
const LONE_PAUSE: Duration = Duration::from_millis(800);
/// Time between looks at whether the coordinator is heard.
const LOOK_PAUSE: Duration = Duration::from_millis(150);
/// Time for the coordinator to tell a daemon that has just started of many
/// engines; each daemon waits up to twice as long, so that not all read at once.
const TELL_TIME: Duration = Duration::from_secs(1);
/// Pause between reads after which the newest records are read, not the history.
const HISTORY_TIME: TimeSpan = TimeSpan::from_secs(3);
/// Time after the store's return in which engines register again.
const RETURN_TIME: TimeSpan = TimeSpan::from_millis(2_000);

struct EngineReader {
    next: Option<u64>,
    /// When the store last failed to answer.
    failed: Option<MonoTime>,
    lapsed: IndexMap<BackendId, MonoTime>,
    /// The newest heartbeat seen of each engine, also of those that left.
    newest: IndexMap<BackendId, SeenHeartbeat>,
}

/// Place of a heartbeat among all of its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SeenHeartbeat {
    birth: Option<EngineBirth>,
    heartbeat: HeartbeatCount,
}

/// Keeps the table of engines up to date.
pub(crate) async fn sync_engines(gateway: Rc<Gateway>) {
    let mut reader = EngineReader {
        next: None,
        failed: None,
        lapsed: IndexMap::new(),
        newest: IndexMap::new(),
    };
    loop {
        if gateway.coordinator.is_active() || !gateway.hears_view() {
            reader.read_once(&gateway).await;
        } else {
            gateway.store_streak.set(0);
        }
        reader.drop_lapsed(&gateway);
        let pause = if gateway.coordinator.is_active() {
            COORDINATOR_PAUSE
        } else if gateway.hears_view() {
            LOOK_PAUSE
        } else {
            LONE_PAUSE
        };
        gateway.wait_for_store(pause).await;
    }
}

impl EngineReader {
    async fn read_once(&mut self, gateway: &Gateway) {
        let now = clock::now();
        let read_time = gateway.read_time.get();
        // What the coordinator tells itself is where this reader was, which may
        // have been deleted since.
        let told_end = gateway.told_end.take();
        if let Some(end) = told_end.filter(|_| !gateway.coordinator.is_active()) {
            self.next = self.next.max(Some(end));
        } else if read_time.is_some_and(|time| now.since(time) > HISTORY_TIME) {
            self.next = None;
        }
        let result = match self.next {
            Some(from) => read_on(gateway, from).await,
            None => read_newest(gateway).await,
        };
        match result {
            Ok(read) => {
                let EngineRead { tail, complete } = read;
                gateway.metrics.note_store_call(true);
                self.next = Some(tail.end);
                self.apply(gateway, &tail, complete);
                gateway.read_time.set(Some(now));
                let streak = gateway.store_streak.get().saturating_add(1);
                gateway.store_streak.set(streak);
                gateway.coordinator.note_store(tail.end, clock::now());
                if !gateway.engines_known.replace(true) {
                    info!(gateway.logger, "engines: known"; "count" => tail.records.len());
                }
            }
            Err(cause) => {
                gateway.metrics.note_store_call(false);
                gateway.store_streak.set(0);
                if self.failed.replace(clock::now()).is_none() {
                    warn!(gateway.logger, "engines: store lost"; "cause" => %cause);
                }
                if matches!(cause, StoreError::Deleted(_)) {
                    self.next = None;
                }
            }
        }
    }

    fn apply(&mut self, gateway: &Gateway, tail: &StoreTail, complete: bool) {
        let mut listed = Vec::new();
        for record in &tail.records {
            listed.push(record.key.as_str());
            if record.value.is_empty() {
                self.lapse(gateway, &record.key);
            } else {
                self.insert(gateway, record);
            }
        }
        if complete {
            let missing: Vec<_> = gateway
                .table
                .borrow()
                .iter()
                .map(|engine| engine.info.id.clone())
                .filter(|id| !listed.contains(&id.as_str()))
                .collect();
            for id in missing {
                self.lapse(gateway, id.as_str());
            }
        }
    }

    fn insert(&mut self, gateway: &Gateway, record: &StoreRecord) {
        let entry = match decode_entry(&record.key, &record.value) {
            Ok(entry) => entry,
            Err(cause) => {
                debug!(
                    gateway.logger, "engines: entry ignored";
                    "key" => &record.key, "cause" => %cause,
                );
                return;
            }
        };
        let seen = SeenHeartbeat {
            birth: entry.birth,
            heartbeat: entry.heartbeat,
        };
        // The store may list an old heartbeat again after a newer one, or after
        // the engine has left.
        if self
            .newest
            .get(&entry.id)
            .is_some_and(|newest| *newest >= seen)
        {
            debug!(
                gateway.logger, "engines: old heartbeat ignored";
                "engine" => %entry.id, "heartbeat" => entry.heartbeat.0,
            );
            return;
        }
        self.newest.insert(entry.id.clone(), seen);
        self.lapsed.shift_remove(&entry.id);
        note_entry(gateway, &entry);
    }

    /// The store no longer lists an engine.
    fn lapse(&mut self, gateway: &Gateway, key: &str) {
        let Ok(id) = BackendId::try_from(key) else {
            return;
        };
        let now = clock::now();
        let outage = self
            .failed
            .is_some_and(|failed| now.since(failed) < RETURN_TIME);
        if outage {
            info!(gateway.logger, "engines: lapsed in an outage"; "engine" => %id);
            gateway.coordinator.note_lapsed(&id);
            self.lapsed.entry(id).or_insert(now);
        } else {
            remove(gateway, &id, "its entry was removed");
        }
    }

    fn drop_lapsed(&mut self, gateway: &Gateway) {
        let now = clock::now();
        if self
            .failed
            .is_some_and(|failed| now.since(failed) >= RETURN_TIME)
        {
            info!(gateway.logger, "engines: store regained");
            self.failed = None;
            for (id, _) in self.lapsed.drain(..) {
                remove(gateway, &id, "it did not register again");
            }
        }
    }
}

/// What the store told of engines.
struct EngineRead {
    tail: StoreTail,
    /// Whether engines that are not listed are gone.
    complete: bool,
}

/// Changes from an offset on.
async fn read_on(gateway: &Gateway, from: u64) -> Result<EngineRead, StoreError> {
    let store = &gateway.store;
    let tail = store
        .read(StoreTopic::Engines, from, TimeSpan::ZERO)
        .await?;
    Ok(EngineRead {
        tail,
        complete: false,
    })
}

/// All engines. Where they are many, each daemon's whole list would keep the
/// store busy for seconds after all have started at once; so the coordinator,
/// which needs a few bytes for each, is given time to tell them.
async fn read_newest(gateway: &Gateway) -> Result<EngineRead, StoreError> {
    let store = &gateway.store;
    let first = store.newest_page(StoreTopic::Engines, None).await?;
    if !first.is_last && !gateway.coordinator.is_active() {
        let patience = TELL_TIME.mul_f64(rand::random_range(1.0..2.0));
        if gateway.hears_view_within(patience).await {
            return Ok(EngineRead {
                tail: first.tail,
                complete: false,
            });
        }
    }
    let tail = store.newest_from_page(StoreTopic::Engines, first).await?;
    Ok(EngineRead {
        tail,
        complete: true,
    })
}

fn note_entry(gateway: &Gateway, entry: &EngineEntry) {
    let info = EngineInfo::from(entry);
    let mut table = gateway.table.borrow_mut();
    let known = table.get(&entry.id).map(|engine| engine.info.clone());
    let coordinates = gateway.coordinator.is_active();
    let alone = !coordinates && !gateway.hears_view();
    table.insert_entry(info.clone(), alone);
    drop(table);
    gateway.coordinator.note_entry(entry, clock::now());
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
    if changed || alone {
        gateway.queue.changed();
    }
}

fn remove(gateway: &Gateway, id: &BackendId, why: &str) {
    let known = gateway.table.borrow_mut().remove(id);
    gateway.coordinator.remove_engine(id);
    if known {
        info!(gateway.logger, "engines: gone"; "engine" => %id, "why" => why);
        gateway.queue.changed();
    }
}
