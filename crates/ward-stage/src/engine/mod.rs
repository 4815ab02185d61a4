//! Stand-in for an engine, or for a backend server of a plain service.

mod answer;
mod fault;
mod plain;
mod resume;
mod software;

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::FutureExt;
use http::StatusCode;
use indexmap::IndexSet;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use ward_adapter::served::{ReceivedOrder, entry_json};
use ward_fleet::{
    EngineBirth, EngineClass, EngineEntry, EngineOrder, HeartbeatCount, HeldModel, OrderSequence,
};
use ward_protocol::{AdapterName, FenceNumber, ModelName, SoftwareVersion};

use self::answer::answer;
pub use self::answer::{SLOW_PATH, SLOWEST_PATH};
pub use self::fault::{CRASHING_PART, CRASHING_PATH, CrashKind, EngineFault, ResumeFault};
pub use self::software::PLAIN_SOFTWARE;
use self::software::next_id;
use crate::ledger::RunLedger;
use crate::proxy::{LinkControl, LinkFault, StageProxy};
use crate::serve::{StageServer, serve};
use crate::store::StageStore;
use crate::weights::WeightStore;

/// Time between two heartbeats of an engine.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Heartbeats that an engine misses before its entry is removed from the store.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Time from the removal of a crashed engine's entry until the engine accepts
/// connections again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

struct EngineState {
    entry: EngineEntry,
    class: Option<EngineClass>,
    /// Orders accepted in this incarnation.
    sequence: OrderSequence,
    /// Highest fencing number received; orders with a lower one are refused.
    fence: FenceNumber,
    /// End of the current load; the engine refuses orders until then.
    busy_until: Instant,
    /// Model of the current load.
    loading: Option<ModelName>,
    weights: WeightStore,
    fault: EngineFault,
    /// Software version that the engine runs after its next restart, under the same id;
    /// `None` if it keeps its version and changes its id.
    next_software: Option<SoftwareVersion>,
    /// Ids of the requests refused with [`EngineFault::FullOnce`].
    refused: IndexSet<String>,
}

/// Parts of an engine that its HTTP server and its heartbeat task share.
struct SharedEngine {
    state: Mutex<EngineState>,
    ledger: RunLedger,
    /// Notified when the engine's process ends, after which it restarts.
    process_ended: Notify,
}

/// A running engine; stopped when dropped.
pub struct StageEngine {
    shared: Arc<SharedEngine>,
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
    /// Starts an engine on a free port of `ip`. `entry` is its initial state; its
    /// address is replaced. `class` gives the sizes and load times of its models and
    /// is `None` for a backend server of a plain service. Models without a copy on
    /// disk are loaded from `weights`.
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
        let shared = Arc::new(SharedEngine {
            state: Mutex::new(EngineState {
                entry,
                class,
                sequence: OrderSequence(0),
                fence: FenceNumber(0),
                busy_until: Instant::now(),
                loading: None,
                weights,
                fault: EngineFault::None,
                next_software: None,
                refused: IndexSet::new(),
            }),
            ledger,
            process_ended: Notify::new(),
        });
        let state = Arc::clone(&shared);
        let server = serve(ip, move |request| answer(Arc::clone(&state), request)).await?;
        shared.lock().entry.address = server.address;
        Ok(Self {
            shared,
            server,
            heartbeat: None,
        })
    }

    /// Starts to write heartbeats into the store, with the address of `link`, the
    /// proxy through which daemons reach the engine.
    pub fn register(&mut self, store: &Arc<StageStore>, link: &StageProxy) {
        self.shared.lock().entry.address = link.address();
        let (shared, store) = (Arc::clone(&self.shared), Arc::clone(store));
        let control = link.control();
        self.heartbeat = Some(tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = shared.write_heartbeats(&store) => {}
                    () = shared.process_ended.notified() => shared.restart(&store, &control).await,
                }
            }
        }));
    }

    /// Address on which the engine itself listens, behind its proxy.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Id of the engine's current incarnation.
    #[must_use]
    pub fn id(&self) -> String {
        self.shared.lock().entry.id.to_string()
    }

    /// Sets the engine's fault; [`EngineFault::None`] ends it. The end of
    /// [`EngineFault::Leaving`] also ends the process: the engine restarts in a new
    /// incarnation.
    pub fn set_fault(&self, fault: EngineFault) {
        let former = std::mem::replace(&mut self.shared.lock().fault, fault);
        if former == EngineFault::Leaving && fault != EngineFault::Leaving {
            self.shared.process_ended.notify_one();
        }
    }

    /// Ends the engine's process as a crash does: connections end, new ones are refused,
    /// and the engine restarts in a new incarnation.
    pub fn crash(&self) {
        self.shared.lock().fault = EngineFault::Crash(CrashKind::BeforeHead);
        self.shared.process_ended.notify_one();
    }

    /// Starts to drain, and announces it with a heartbeat at once.
    pub fn drain(&self, store: &StageStore) {
        self.shared.lock().entry.draining = true;
        self.shared.write_heartbeat(store);
    }

    /// Models in the engine's memory, without one that is still loading.
    #[must_use]
    pub fn models(&self) -> Vec<ModelName> {
        let mut state = self.shared.lock();
        state.finish_due_load();
        state
            .entry
            .models
            .iter()
            .map(|held| held.model.clone())
            .collect()
    }
}

impl SharedEngine {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn write_heartbeats(&self, store: &StageStore) {
        loop {
            self.write_heartbeat(store);
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Restarts the engine: its entry is removed after the missed heartbeats, then it
    /// comes back with another id, no loaded models and its copies on disk.
    async fn restart(&self, store: &StageStore, control: &LinkControl) {
        let former = {
            let mut state = self.lock();
            if let Some(kind) = state.fault.crash_kind() {
                control.set_fault(kind.link_fault());
            }
            state.start_incarnation()
        };
        tokio::time::sleep(HEARTBEAT_INTERVAL * MAX_MISSED_HEARTBEATS).await;
        store.put_entry(&former, None);
        tokio::time::sleep(RESTART_DELAY).await;
        // Further requests of the ended incarnation may also have reported a crash;
        // they must not end the new one.
        self.process_ended.notified().now_or_never();
        control.set_fault(LinkFault::None);
    }

    fn write_heartbeat(&self, store: &StageStore) {
        let mut state = self.lock();
        state.finish_due_load();
        let next = HeartbeatCount(state.entry.heartbeat.0 + 1);
        state.entry.heartbeat = next;
        let (id, value) = (state.entry.id.to_string(), entry_json(&state.entry));
        drop(state);
        store.put_entry(&id, Some(value));
    }
}

impl EngineState {
    /// Resets the state that a restart loses and sets the id of the new incarnation;
    /// returns the former id.
    fn start_incarnation(&mut self) -> String {
        let former = self.entry.id.to_string();
        let birth = EngineBirth(self.entry.birth.map_or(0, |birth| birth.0) + 1);
        match self.next_software.take() {
            Some(software) => self.entry.software = software,
            None => self.entry.id = next_id(&self.entry.id, birth),
        }
        self.entry.birth = Some(birth);
        self.entry.heartbeat = HeartbeatCount(0);
        self.entry.models.clear();
        self.sequence = OrderSequence(0);
        self.fence = FenceNumber(0);
        self.busy_until = Instant::now();
        self.loading = None;
        former
    }

    /// Completes the current load if its time is over.
    fn finish_due_load(&mut self) {
        if self.is_busy() {
            return;
        }
        if let Some(model) = self.loading.take() {
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

    /// Whether a model is in memory; `requested` may name an adapter after a slash.
    fn holds(&self, requested: &str) -> bool {
        let (model, adapter) = requested.split_once('/').unwrap_or((requested, ""));
        let mut held = self.entry.models.iter();
        held.any(|held| {
            held.model.as_str() == model
                && (adapter.is_empty() || held.adapters.iter().any(|name| name.as_str() == adapter))
        })
    }

    /// Refuses an order with an outdated fencing number or sequence number, or while
    /// the engine is busy; carries out any other. Returns the order's status, and
    /// whether the models then exceed the engine's memory.
    fn receive_order(&mut self, received: &ReceivedOrder) -> (StatusCode, bool) {
        self.finish_due_load();
        if received.fence < self.fence {
            return (StatusCode::PRECONDITION_FAILED, false);
        }
        self.fence = received.fence;
        if self.is_busy() {
            self.restart_fetch(&received.order);
            return (StatusCode::CONFLICT, false);
        }
        if received
            .expect
            .is_some_and(|expect| expect != self.sequence)
        {
            return (StatusCode::CONFLICT, false);
        }
        self.execute(&received.order)
    }

    /// Carries out an order and counts it if it is accepted. Returns the same as
    /// [`Self::receive_order`].
    fn execute(&mut self, order: &EngineOrder) -> (StatusCode, bool) {
        let (status, exceeded) = match order {
            EngineOrder::LoadModel(model) if self.holds(model.as_str()) => (StatusCode::OK, false),
            EngineOrder::LoadModel(model) => self.start_load(model),
            EngineOrder::UnloadModel(model) => {
                self.entry.models.retain(|held| held.model != *model);
                if let EngineFault::SlowUnload(span) = self.fault {
                    self.busy_until = Instant::now() + span;
                }
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
                // Unloading an adapter takes effect at once. It is answered with 200, like
                // an order whose goal is already reached, but counts in the sequence like
                // an accepted order.
                if self.remove_adapter(model, adapter) {
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

    /// Unloads an adapter; returns whether it was loaded.
    fn remove_adapter(&mut self, model: &ModelName, adapter: &AdapterName) -> bool {
        let mut models = self.entry.models.iter_mut();
        let Some(held) = models.find(|held| held.model == *model) else {
            return false;
        };
        let before = held.adapters.len();
        held.adapters.retain(|name| name != adapter);
        held.adapters.len() < before
    }

    /// Restarts the fetch of a model from the weight store if it is ordered again
    /// while the fetch runs.
    fn restart_fetch(&mut self, order: &EngineOrder) {
        let EngineOrder::LoadModel(model) = order else {
            return;
        };
        let fetching = self.loading.as_ref() == Some(model) && !self.entry.on_disk.contains(model);
        let model_class = self
            .class
            .as_ref()
            .and_then(|class| class.models.get(model));
        if let Some(model_class) = model_class.filter(|_| fetching) {
            self.busy_until = self.weights.start_load(model_class.store_load.duration());
        }
    }

    /// Starts to load a model. Returns the order's status, and whether the models
    /// then exceed the engine's memory.
    fn start_load(&mut self, model: &ModelName) -> (StatusCode, bool) {
        let Some((class, model_class)) = self
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
        let exceeded = used + model_class.weights.bytes() > class.weight_memory.bytes();
        self.busy_until = if self.entry.on_disk.contains(model) {
            Instant::now() + model_class.disk_load.duration()
        } else {
            self.weights.start_load(model_class.store_load.duration())
        };
        self.loading = Some(model.clone());
        (StatusCode::ACCEPTED, exceeded)
    }
}
