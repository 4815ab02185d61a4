//! An engine, or a plain service's backend server, in memory.

mod answer;
mod fault;

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::FutureExt;
use http::StatusCode;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use ward_adapter::served::{ReceivedOrder, entry_json};
use ward_fleet::{
    EngineBirth, EngineClass, EngineEntry, EngineOrder, HeartbeatCount, HeldModel, OrderSequence,
};
use ward_protocol::{AdapterName, FenceNumber, ModelName};

use self::answer::answer;
pub use self::fault::{CRASHING_PATH, CrashKind, EngineFault};
use crate::ledger::RunLedger;
use crate::proxy::{LinkControl, LinkFault, StageProxy};
use crate::serve::{StageServer, serve};
use crate::store::StageStore;
use crate::weights::WeightStore;

/// Time between heartbeats.
pub(crate) const HEARTBEAT_PAUSE: Duration = Duration::from_millis(300);
/// Heartbeats that may be missing before an entry is removed.
const MISSED_HEARTBEATS: u32 = 3;
/// Time from the removal of a crashed engine's entry until the engine is back.
const RESTART_TIME: Duration = Duration::from_millis(200);

struct EngineState {
    entry: EngineEntry,
    class: Option<EngineClass>,
    sequence: OrderSequence,
    fence: FenceNumber,
    busy_until: Instant,
    coming: Option<ModelName>,
    weights: WeightStore,
    fault: EngineFault,
}

struct Shared {
    state: Mutex<EngineState>,
    ledger: RunLedger,
    crashed: Notify,
}

/// An engine.
pub struct StageEngine {
    shared: Arc<Shared>,
    server: StageServer,
    heartbeat: Option<JoinHandle<()>>,
}

impl Drop for StageEngine {
    fn drop(&mut self) {
        if let Some(heartbeat) = &self.heartbeat {
            heartbeat.abort();
        }
    }
}

impl StageEngine {
    /// Starts an engine; `entry` says what it begins with, `class` what its
    /// models are like, `weights` where it fetches those that it has no copy of.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn start(
        ip: IpAddr,
        entry: EngineEntry,
        class: Option<EngineClass>,
        weights: WeightStore,
        ledger: RunLedger,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(EngineState {
                entry,
                class,
                sequence: OrderSequence(0),
                fence: FenceNumber(0),
                busy_until: Instant::now(),
                coming: None,
                weights,
                fault: EngineFault::None,
            }),
            ledger,
            crashed: Notify::new(),
        });
        let seen = Arc::clone(&shared);
        let server = serve(ip, move |request| answer(Arc::clone(&seen), request)).await?;
        shared.lock().entry.address = server.address;
        Ok(Self {
            shared,
            server,
            heartbeat: None,
        })
    }

    /// Begins to write heartbeats into the store, through `link` as callers
    /// should see it.
    pub fn register(&mut self, store: &Arc<StageStore>, link: &StageProxy) {
        self.shared.lock().entry.address = link.address();
        let (shared, store) = (Arc::clone(&self.shared), Arc::clone(store));
        let switch = link.control();
        self.heartbeat = Some(tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = shared.write_heartbeats(&store) => {}
                    () = shared.crashed.notified() => shared.restart(&store, &switch).await,
                }
            }
        }));
    }

    /// Where it listens itself.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> String {
        self.shared.lock().entry.id.to_string()
    }

    /// Makes it misbehave, or behave again. One that has said that it leaves ends,
    /// and is back in its next life.
    pub fn set_fault(&self, fault: EngineFault) {
        let former = std::mem::replace(&mut self.shared.lock().fault, fault);
        if former == EngineFault::Leaving && fault != EngineFault::Leaving {
            self.shared.crashed.notify_one();
        }
    }

    /// Begins to drain, and says so.
    pub fn drain(&self, store: &StageStore) {
        self.shared.lock().entry.draining = true;
        self.shared.write_heartbeat(store);
    }

    /// Models in its memory.
    #[must_use]
    pub fn models(&self) -> Vec<ModelName> {
        let mut state = self.shared.lock();
        state.settle();
        state
            .entry
            .models
            .iter()
            .map(|held| held.model.clone())
            .collect()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn write_heartbeats(&self, store: &StageStore) {
        loop {
            self.write_heartbeat(store);
            tokio::time::sleep(HEARTBEAT_PAUSE).await;
        }
    }

    /// Ends this life of the engine and begins the next, which has its copies on
    /// disk only and another id.
    async fn restart(&self, store: &StageStore, switch: &LinkControl) {
        let former = {
            let mut state = self.lock();
            if let EngineFault::Crash(kind) = state.fault {
                switch.set_fault(kind.link());
            }
            state.begin_life()
        };
        tokio::time::sleep(HEARTBEAT_PAUSE * MISSED_HEARTBEATS).await;
        store.put_entry(&former, None);
        tokio::time::sleep(RESTART_TIME).await;
        // Other requests of the life that ended may have crashed it, too.
        self.crashed.notified().now_or_never();
        switch.set_fault(LinkFault::None);
    }

    fn write_heartbeat(&self, store: &StageStore) {
        let mut state = self.lock();
        state.settle();
        let next = HeartbeatCount(state.entry.heartbeat.0 + 1);
        state.entry.heartbeat = next;
        let (id, value) = (state.entry.id.to_string(), entry_json(&state.entry));
        drop(state);
        store.put_entry(&id, Some(value));
    }
}

impl EngineState {
    /// Forgets what a restart forgets; returns the former id.
    fn begin_life(&mut self) -> String {
        let former = self.entry.id.to_string();
        let birth = EngineBirth(self.entry.birth.map_or(0, |birth| birth.0) + 1);
        let number = former.split('.').next().unwrap_or(&former);
        if let Ok(id) = format!("{number}.{}", birth.0).parse() {
            self.entry.id = id;
        }
        self.entry.birth = Some(birth);
        self.entry.heartbeat = HeartbeatCount(0);
        self.entry.models.clear();
        self.sequence = OrderSequence(0);
        self.fence = FenceNumber(0);
        self.busy_until = Instant::now();
        self.coming = None;
        former
    }

    /// Completes a load whose time is over.
    fn settle(&mut self) {
        if self.is_busy() {
            return;
        }
        if let Some(model) = self.coming.take() {
            if !self.entry.on_disk.contains(&model) {
                self.entry.on_disk.push(model.clone());
            }
            let adapters = Vec::new();
            self.entry.models.push(HeldModel { model, adapters });
        }
    }

    fn is_busy(&self) -> bool {
        Instant::now() < self.busy_until
    }

    fn holds(&self, wanted: &str) -> bool {
        let (model, adapter) = wanted.split_once('/').unwrap_or((wanted, ""));
        let mut held = self.entry.models.iter();
        held.any(|held| {
            held.model.as_str() == model
                && (adapter.is_empty() || held.adapters.iter().any(|name| name.as_str() == adapter))
        })
    }

    fn take_order(&mut self, asked: &ReceivedOrder) -> (StatusCode, bool) {
        self.settle();
        if asked.fence < self.fence {
            return (StatusCode::PRECONDITION_FAILED, false);
        }
        self.fence = asked.fence;
        if self.is_busy() {
            self.begin_again(&asked.order);
            return (StatusCode::CONFLICT, false);
        }
        if asked.expect.is_some_and(|expect| expect != self.sequence) {
            return (StatusCode::CONFLICT, false);
        }
        self.carry_out(&asked.order)
    }

    fn carry_out(&mut self, order: &EngineOrder) -> (StatusCode, bool) {
        let (status, exceeded) = match order {
            EngineOrder::LoadModel(model) if self.holds(model.as_str()) => (StatusCode::OK, false),
            EngineOrder::LoadModel(model) => self.begin_load(model),
            EngineOrder::UnloadModel(model) => {
                self.entry.models.retain(|held| held.model != *model);
                (StatusCode::ACCEPTED, false)
            }
            EngineOrder::LoadAdapter(model, adapter) => {
                let held = self
                    .entry
                    .models
                    .iter_mut()
                    .find(|held| held.model == *model);
                match held {
                    Some(held) => {
                        held.adapters.push(adapter.clone());
                        (StatusCode::ACCEPTED, false)
                    }
                    None => (StatusCode::BAD_REQUEST, false),
                }
            }
            EngineOrder::UnloadAdapter(model, adapter) => {
                // Done at once, so it is answered like an order that holds, and
                // counted like one that was accepted.
                if self.drop_adapter(model, adapter) {
                    self.sequence = self.sequence.next();
                }
                (StatusCode::OK, false)
            }
        };
        if status == StatusCode::ACCEPTED {
            self.sequence = self.sequence.next();
        }
        (status, exceeded)
    }

    /// Drops an adapter; returns whether it was there.
    fn drop_adapter(&mut self, model: &ModelName, adapter: &AdapterName) -> bool {
        let mut models = self.entry.models.iter_mut();
        let Some(held) = models.find(|held| held.model == *model) else {
            return false;
        };
        let before = held.adapters.len();
        held.adapters.retain(|name| name != adapter);
        held.adapters.len() < before
    }

    /// A model that is ordered again while it comes from the weight store is
    /// fetched anew.
    fn begin_again(&mut self, order: &EngineOrder) {
        let EngineOrder::LoadModel(model) = order else {
            return;
        };
        let fetched = self.coming.as_ref() == Some(model) && !self.entry.on_disk.contains(model);
        let size = self
            .class
            .as_ref()
            .and_then(|class| class.models.get(model));
        if let Some(size) = size.filter(|_| fetched) {
            self.busy_until = self.weights.begin(size.store_load.duration());
        }
    }

    fn begin_load(&mut self, model: &ModelName) -> (StatusCode, bool) {
        let Some((class, size)) = self
            .class
            .as_ref()
            .and_then(|class| Some((class, class.models.get(model)?)))
        else {
            return (StatusCode::BAD_REQUEST, false);
        };
        let held = self
            .entry
            .models
            .iter()
            .filter_map(|held| class.models.get(&held.model));
        let used: u64 = held.map(|model| model.weights.bytes()).sum();
        let exceeded = used + size.weights.bytes() > class.weight_memory.bytes();
        self.busy_until = if self.entry.on_disk.contains(model) {
            Instant::now() + size.disk_load.duration()
        } else {
            self.weights.begin(size.store_load.duration())
        };
        self.coming = Some(model.clone());
        (StatusCode::ACCEPTED, exceeded)
    }
}
