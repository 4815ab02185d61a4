//! The coordinator's state of one engine.

use indexmap::IndexMap;
use ward_protocol::{AdapterName, MemorySize, ModelName, MonoTime, TimeSpan};

use super::task::TaskTarget;
use crate::entry::{EngineEntry, HeldModel, OrderSequence};
use crate::manifest::{EngineClass, ModelClass};
use crate::message::EngineInfo;

/// Time in which a heartbeat reaches the coordinator.
const MAX_HEARTBEAT_DELAY: TimeSpan = TimeSpan::from_millis(600);
/// Time after an order during which a heartbeat or report may still be older
/// than the order.
const REPORT_LAG: TimeSpan = TimeSpan::from_millis(1_500);
/// Minimum time between two audits of the same engine.
const MIN_AUDIT_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// Where a model's weights are loaded from, fastest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadSource {
    /// The engine's host memory.
    Memory,
    /// The engine's local disk.
    Disk,
    /// The weight store.
    Store,
}

impl LoadSource {
    /// Time to load a model from this source.
    #[must_use]
    pub const fn load_time(self, class: &ModelClass) -> TimeSpan {
        match self {
            Self::Memory => class.memory_load,
            Self::Disk => class.disk_load,
            Self::Store => class.store_load,
        }
    }
}

/// A model that an engine holds.
#[derive(Debug, Clone, Default)]
pub struct PlacedModel {
    /// Adapters of the model, including those still loading, which are not
    /// ready.
    pub adapters: IndexMap<AdapterName, PlacedAdapter>,
    /// Requests that use the model.
    pub running: u32,
    /// Time of the last report of a request that used the model, or of its
    /// load.
    pub last_used: MonoTime,
    /// Whether the model is being unloaded and gets no more requests.
    pub unloading: bool,
}

impl PlacedModel {
    /// Adapters that requests may use.
    pub(super) fn ready_adapters(&self) -> impl Iterator<Item = &AdapterName> {
        let adapters = self.adapters.iter();
        let ready = adapters.filter(|(_, adapter)| adapter.ready && !adapter.unloading);
        ready.map(|(name, _)| name)
    }
}

/// An adapter that an engine holds or is loading.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlacedAdapter {
    /// Whether requests may use the adapter.
    pub ready: bool,
    /// Whether the adapter is being unloaded.
    pub unloading: bool,
    /// Requests that use the adapter.
    pub running: u32,
    /// Time of the last report of a request that used the adapter, or of its
    /// load.
    pub last_used: MonoTime,
}

/// A model load that is planned for an engine or in progress there.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineTask {
    /// Model to load.
    pub model: ModelName,
    /// Source of the model's weights.
    pub source: LoadSource,
    /// Time at which the load was planned.
    pub planned_at: MonoTime,
    /// Expected duration of the load.
    pub load_time: TimeSpan,
    /// Number of other loads from the weight store at the time of planning,
    /// plus one for this load.
    pub concurrent_loads: u32,
}

impl EngineTask {
    /// Expected end of the load.
    #[must_use]
    pub fn expected_end(&self) -> MonoTime {
        self.planned_at + self.load_time
    }
}

/// Whether the coordinator has asked the engine itself what it holds (an
/// audit).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuditState {
    /// The engine must be audited before it gets a task.
    Needed,
    /// The audit is in progress.
    Running,
    /// What is known about the engine is its own report plus the orders
    /// accepted since.
    Done,
}

/// One engine as the coordinator knows it.
///
/// The models that the engine holds are taken from its own reports and changed
/// only by orders that it accepted. Heartbeats in the store may be seconds old,
/// so one that differs only leads to a new audit.
#[derive(Debug, Clone)]
pub struct PlacedEngine {
    /// Information for daemons, except for `holding`, which
    /// [`Self::public_info`] derives from `held`.
    pub info: EngineInfo,
    /// Number of orders that the engine has accepted; `None` before its first
    /// audit.
    pub sequence: Option<OrderSequence>,
    /// Models that the engine has loaded, including those that are being
    /// unloaded.
    pub held: IndexMap<ModelName, PlacedModel>,
    /// Models with a copy in host memory.
    pub in_memory: Vec<ModelName>,
    /// Models with a copy on local disk.
    pub on_disk: Vec<ModelName>,
    /// The model load that is planned or in progress, if any.
    pub task: Option<EngineTask>,
    /// Whether adapters are being loaded or unloaded.
    pub adapter_busy: bool,
    /// Time before which the engine gets no tasks, because one failed.
    pub backoff_until: MonoTime,
    /// Time of the last accepted order or failed task.
    pub last_order: MonoTime,
    /// State of the audit of what the engine holds.
    pub audit: AuditState,
    /// Time at which the last audit was planned.
    pub last_audit: MonoTime,
    /// Time of the engine's first heartbeat; `None` if the engine had a copy of
    /// a model then.
    pub joined_empty: Option<MonoTime>,
    /// Time of the latest heartbeat.
    last_heartbeat: MonoTime,
    /// Time from which a heartbeat shows that an engine taken for ended is running; `None`
    /// if a later incarnation runs.
    heard_since: Option<MonoTime>,
}

impl PlacedEngine {
    /// Creates the state of an engine from its first heartbeat.
    #[must_use]
    pub fn new(entry: &EngineEntry, now: MonoTime) -> Self {
        let empty =
            entry.models.is_empty() && entry.in_memory.is_empty() && entry.on_disk.is_empty();
        let mut engine = Self {
            info: EngineInfo::from(entry),
            sequence: None,
            held: IndexMap::new(),
            in_memory: entry.in_memory.clone(),
            on_disk: entry.on_disk.clone(),
            task: None,
            adapter_busy: false,
            backoff_until: MonoTime::default(),
            last_order: MonoTime::default(),
            audit: AuditState::Needed,
            last_audit: MonoTime::default(),
            joined_empty: empty.then_some(now),
            last_heartbeat: now,
            heard_since: Some(now),
        };
        engine.replace_held(&entry.models);
        engine
    }

    /// The engine's current incarnation as the target of a task.
    #[must_use]
    pub fn target(&self) -> TaskTarget {
        TaskTarget {
            engine: self.info.id.clone(),
            birth: self.info.birth,
        }
    }

    /// Applies a later heartbeat of the same incarnation.
    pub fn refresh(&mut self, entry: &EngineEntry, now: MonoTime) {
        let holding = std::mem::take(&mut self.info.holding);
        let EngineInfo {
            draining, ended, ..
        } = self.info;
        self.info = EngineInfo::from(entry);
        self.info.holding = holding;
        self.info.draining |= draining;
        self.info.ended = ended && self.heard_since.is_none_or(|since| now < since);
        self.last_heartbeat = now;
        self.in_memory.clone_from(&entry.in_memory);
        self.on_disk.clone_from(&entry.on_disk);
        if self.is_quiescent(now) && self.models_differ(&entry.models) {
            self.audit = AuditState::Needed;
        }
    }

    /// Records that the engine ended at a time under requests, unless a later heartbeat
    /// has arrived; returns whether this is news.
    pub(super) fn mark_ended(&mut self, ended_at: MonoTime) -> bool {
        let heard_since = ended_at + MAX_HEARTBEAT_DELAY;
        if self.info.ended || self.last_heartbeat >= heard_since {
            return false;
        }
        self.info.ended = true;
        self.heard_since = Some(heard_since);
        true
    }

    /// Records that a later incarnation of the engine runs; returns whether this is news.
    pub(super) fn mark_restarted(&mut self) -> bool {
        self.info.ended = true;
        self.heard_since.take().is_some()
    }

    /// Whether the models in a heartbeat, apart from their adapters, are not
    /// those held.
    fn models_differ(&self, models: &[HeldModel]) -> bool {
        models.len() != self.held.len()
            || models
                .iter()
                .any(|model| !self.held.contains_key(&model.model))
    }

    /// Replaces the models and adapters that the engine holds with those that
    /// it reports.
    pub fn replace_held(&mut self, models: &[HeldModel]) {
        let mut held = IndexMap::new();
        for model in models {
            let known = self.held.shift_remove(&model.model).unwrap_or_default();
            let mut placed = PlacedModel {
                running: known.running,
                last_used: known.last_used,
                ..PlacedModel::default()
            };
            for adapter in &model.adapters {
                let mut present = known.adapters.get(adapter).copied().unwrap_or_default();
                present.ready = true;
                present.unloading = false;
                placed.adapters.insert(adapter.clone(), present);
            }
            held.insert(model.model.clone(), placed);
        }
        self.held = held;
    }

    /// Whether no order can have changed what the engine holds since its latest
    /// heartbeat.
    #[must_use]
    pub fn is_quiescent(&self, now: MonoTime) -> bool {
        self.task.is_none() && !self.adapter_busy && now.since(self.last_order) > REPORT_LAG
    }

    /// Whether an audit should start now.
    #[must_use]
    pub fn is_audit_due(&self, now: MonoTime) -> bool {
        self.audit == AuditState::Needed
            && self.info.takes_requests()
            && self.is_quiescent(now)
            && now >= self.backoff_until
            && now.since(self.last_audit) >= MIN_AUDIT_INTERVAL
    }

    /// Whether the engine is audited, takes requests, and is neither in a backoff
    /// nor loading a model. Adapters may still be loading.
    #[must_use]
    pub fn is_free(&self, now: MonoTime) -> bool {
        self.task.is_none()
            && self.audit == AuditState::Done
            && self.info.takes_requests()
            && now >= self.backoff_until
    }

    /// Whether the engine holds a model that is not being unloaded, or is
    /// loading it.
    #[must_use]
    pub fn has_or_expects(&self, model: &ModelName) -> bool {
        let holds = self.held.get(model).is_some_and(|held| !held.unloading);
        holds || self.task.as_ref().is_some_and(|task| task.model == *model)
    }

    /// The fastest source that the engine can load a model from.
    #[must_use]
    pub fn load_source(&self, model: &ModelName) -> LoadSource {
        if self.in_memory.contains(model) {
            LoadSource::Memory
        } else if self.on_disk.contains(model) {
            LoadSource::Disk
        } else {
            LoadSource::Store
        }
    }

    /// Memory of all models and adapters that the engine holds or is loading. A
    /// held model that is missing from the manifest counts as all of the
    /// memory.
    #[must_use]
    pub fn used_memory(&self, class: &EngineClass) -> MemorySize {
        let held = self.held.iter().map(|(name, model)| {
            let Some(size) = class.models.get(name) else {
                return class.weight_memory;
            };
            let adapters = size.adapter_weights.bytes() * model.adapters.len() as u64;
            size.weights
                .saturating_add(MemorySize::from_bytes(adapters))
        });
        let loading = self
            .task
            .iter()
            .filter(|task| !self.held.contains_key(&task.model))
            .filter_map(|task| class.models.get(&task.model))
            .map(|size| size.weights);
        held.chain(loading).sum()
    }

    /// Memory that is neither held nor reserved by a load.
    #[must_use]
    pub fn free_memory(&self, class: &EngineClass) -> MemorySize {
        class.weight_memory.saturating_sub(self.used_memory(class))
    }

    /// Number of adapters that the engine holds or is loading.
    #[must_use]
    pub fn adapter_count(&self) -> usize {
        self.held.values().map(|model| model.adapters.len()).sum()
    }

    /// Number of requests that the engine is running for models.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.held.values().map(|model| model.running).sum()
    }

    /// Models that requests may use.
    pub(super) fn public_models(&self) -> impl Iterator<Item = (&ModelName, &PlacedModel)> {
        self.held.iter().filter(|(_, model)| !model.unloading)
    }

    /// Information for daemons, with the models and adapters that requests may
    /// use.
    #[must_use]
    pub fn public_info(&self) -> EngineInfo {
        let holding = self.public_models().map(|(name, model)| HeldModel {
            model: name.clone(),
            adapters: model.ready_adapters().cloned().collect(),
        });
        EngineInfo {
            holding: holding.collect(),
            ..self.info.clone()
        }
    }
}
