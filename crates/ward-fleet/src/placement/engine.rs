//! One engine as the coordinator sees it.

use indexmap::IndexMap;
use ward_protocol::{AdapterName, MemorySize, ModelName, MonoTime, TimeSpan};

use super::work::TaskTarget;
use crate::entry::{EngineEntry, HeldModel, OrderSequence};
use crate::manifest::{EngineClass, ModelClass};
use crate::message::EngineInfo;

/// Time after the last order in which a heartbeat or report may be older than it.
const REPORT_LAG: TimeSpan = TimeSpan::from_millis(1_500);
/// Least time between two questions to the same engine.
const AUDIT_PAUSE: TimeSpan = TimeSpan::from_millis(1_000);

/// Where a model's weights come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadSource {
    /// The engine's host memory.
    Memory,
    /// The engine's disk.
    Disk,
    /// The weight store.
    Store,
}

impl LoadSource {
    /// Load time of a model from here.
    #[must_use]
    pub const fn load_time(self, class: &ModelClass) -> TimeSpan {
        match self {
            Self::Memory => class.memory_load,
            Self::Disk => class.disk_load,
            Self::Store => class.store_load,
        }
    }
}

/// A model on an engine.
#[derive(Debug, Clone, Default)]
pub struct PlacedModel {
    /// Its adapters; those still on their way are counted but not ready.
    pub adapters: IndexMap<AdapterName, PlacedAdapter>,
    /// Requests that use it.
    pub running: u32,
    /// When it last had a request.
    pub last_used: MonoTime,
    /// Whether it is to be unloaded and gets no more requests.
    pub unloading: bool,
}

/// An adapter on an engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlacedAdapter {
    /// Whether requests may be sent for it.
    pub ready: bool,
    /// Whether it is to be unloaded.
    pub unloading: bool,
    /// Requests that use it.
    pub running: u32,
    /// When it last had a request.
    pub last_used: MonoTime,
}

/// Work that an engine has.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineTask {
    /// The model to be loaded.
    pub model: ModelName,
    /// Where from.
    pub source: LoadSource,
    /// When it was planned.
    pub planned_at: MonoTime,
    /// How long it should take.
    pub load_time: TimeSpan,
    /// Loads from the weight store at that time, with this one if it is one.
    pub concurrent_loads: u32,
}

impl EngineTask {
    /// When it should be done.
    #[must_use]
    pub fn expected_end(&self) -> MonoTime {
        self.planned_at + self.load_time
    }
}

/// Whether the engine itself was asked what it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuditState {
    /// It must be asked before it gets work.
    Needed,
    /// It is being asked.
    Running,
    /// What is known of it is what it said, changed by the orders since.
    Done,
}

/// One engine.
///
/// What it holds is taken from its own reports and changed only by orders that
/// it accepted: heartbeats in the store may be seconds old, so one that differs
/// only leads to a new question.
#[derive(Debug, Clone)]
pub struct PlacedEngine {
    /// What daemons are told of it; `holding` is filled in on demand.
    pub info: EngineInfo,
    /// Orders that it has accepted; nothing until it was asked.
    pub sequence: Option<OrderSequence>,
    /// Models in its memory, also those that leave.
    pub held: IndexMap<ModelName, PlacedModel>,
    /// Models with a copy in host memory.
    pub in_memory: Vec<ModelName>,
    /// Models with a copy on disk.
    pub on_disk: Vec<ModelName>,
    /// Its present work on models.
    pub task: Option<EngineTask>,
    /// Whether adapters are being changed.
    pub adapter_busy: bool,
    /// No work before this time, after work that failed.
    pub backoff_until: MonoTime,
    /// Time of the last order.
    pub last_order: MonoTime,
    /// Whether it was asked what it holds.
    pub audit: AuditState,
    /// When it was last asked.
    pub last_audit: MonoTime,
    /// When it came, if it had no copy of any model then.
    pub joined_empty: Option<MonoTime>,
}

impl PlacedEngine {
    /// An engine as its first heartbeat describes it.
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
        };
        engine.take_held(&entry.models);
        engine
    }

    /// The engine in its present life, as the target of work.
    #[must_use]
    pub fn target(&self) -> TaskTarget {
        TaskTarget {
            engine: self.info.id.clone(),
            birth: self.info.birth,
        }
    }

    /// Takes over a later heartbeat of the same life.
    pub fn refresh(&mut self, entry: &EngineEntry, now: MonoTime) {
        let holding = std::mem::take(&mut self.info.holding);
        let draining = self.info.draining;
        self.info = EngineInfo::from(entry);
        self.info.holding = holding;
        self.info.draining |= draining;
        self.in_memory.clone_from(&entry.in_memory);
        self.on_disk.clone_from(&entry.on_disk);
        if self.is_quiescent(now) && self.differs(&entry.models) {
            self.audit = AuditState::Needed;
        }
    }

    fn differs(&self, models: &[HeldModel]) -> bool {
        models.len() != self.held.len()
            || models
                .iter()
                .any(|model| !self.held.contains_key(&model.model))
    }

    /// Takes over what the engine says that it holds.
    pub fn take_held(&mut self, models: &[HeldModel]) {
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

    /// Whether no order can have changed it since its last report.
    #[must_use]
    pub fn is_quiescent(&self, now: MonoTime) -> bool {
        self.task.is_none() && !self.adapter_busy && now.since(self.last_order) > REPORT_LAG
    }

    /// Whether it should be asked now what it holds.
    #[must_use]
    pub fn is_audit_due(&self, now: MonoTime) -> bool {
        self.audit == AuditState::Needed
            && !self.info.draining
            && self.is_quiescent(now)
            && now >= self.backoff_until
            && now.since(self.last_audit) >= AUDIT_PAUSE
    }

    /// Whether it can be given work on models now.
    #[must_use]
    pub fn is_free(&self, now: MonoTime) -> bool {
        self.task.is_none()
            && self.audit == AuditState::Done
            && !self.info.draining
            && now >= self.backoff_until
    }

    /// Whether it holds a model that does not leave, or is about to.
    #[must_use]
    pub fn has_or_expects(&self, model: &ModelName) -> bool {
        let holds = self.held.get(model).is_some_and(|held| !held.unloading);
        holds || self.task.as_ref().is_some_and(|task| task.model == *model)
    }

    /// The fastest place that a model can come from.
    #[must_use]
    pub fn source(&self, model: &ModelName) -> LoadSource {
        if self.in_memory.contains(model) {
            LoadSource::Memory
        } else if self.on_disk.contains(model) {
            LoadSource::Disk
        } else {
            LoadSource::Store
        }
    }

    /// Memory of all that it holds or is loading.
    #[must_use]
    pub fn used(&self, class: &EngineClass) -> MemorySize {
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

    /// Memory that nothing holds.
    #[must_use]
    pub fn free(&self, class: &EngineClass) -> MemorySize {
        class.weight_memory.saturating_sub(self.used(class))
    }

    /// Adapters that it holds or is loading.
    #[must_use]
    pub fn adapter_count(&self) -> usize {
        self.held.values().map(|model| model.adapters.len()).sum()
    }

    /// Requests at it.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.held.values().map(|model| model.running).sum()
    }

    /// What daemons are told of it.
    #[must_use]
    pub fn public_info(&self) -> EngineInfo {
        let present = self.held.iter().filter(|(_, model)| !model.unloading);
        let holding = present.map(|(name, model)| HeldModel {
            model: name.clone(),
            adapters: ready_adapters(model),
        });
        EngineInfo {
            holding: holding.collect(),
            ..self.info.clone()
        }
    }
}

fn ready_adapters(model: &PlacedModel) -> Vec<AdapterName> {
    let ready = model
        .adapters
        .iter()
        .filter(|(_, adapter)| adapter.ready && !adapter.unloading);
    ready.map(|(name, _)| name.clone()).collect()
}
