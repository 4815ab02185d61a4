//! The engines that a daemon knows, with their load.

use indexmap::IndexMap;
use ward_protocol::{AdapterName, BackendId, ModelName, MonoTime, ServiceName};

use crate::crash::EngineIncarnation;
use crate::health::{EngineHealth, EngineSignal};
use crate::message::{EngineInfo, EngineLoad, FleetView, RunningCount};

/// Engines that said that they leave and are remembered.
const MOST_LEAVING: usize = 4_096;

/// One engine as this daemon sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRecord {
    /// What the engine or the coordinator said of it.
    pub info: EngineInfo,
    /// Requests of this daemon by model and adapter.
    pub own: Vec<OwnCount>,
    /// Requests over all daemons, as last heard.
    pub total: u32,
    /// Requests of this daemon that the last heard total includes.
    pub own_in_total: u32,
    /// Health as this daemon's requests show it.
    pub health: EngineHealth,
}

/// This daemon's requests for one model at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnCount {
    /// The model.
    pub model: Option<ModelName>,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// How many.
    pub count: u32,
}

impl EngineRecord {
    fn new(info: EngineInfo) -> Self {
        Self {
            info,
            own: Vec::new(),
            total: 0,
            own_in_total: 0,
            health: EngineHealth::default(),
        }
    }

    /// Requests of this daemon.
    #[must_use]
    pub fn own_count(&self) -> u32 {
        self.own.iter().map(|own| own.count).sum()
    }

    /// Requests over all daemons, with this daemon's own as of now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.total.saturating_sub(self.own_in_total) + self.own_count()
    }
}

/// All engines by id.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineTable {
    engines: IndexMap<BackendId, EngineRecord>,
    /// Lives that said that they leave, also of engines that are not listed any
    /// more: old news may list them again.
    leaving: IndexMap<BackendId, EngineIncarnation>,
}

impl EngineTable {
    /// The engine with an id.
    #[must_use]
    pub fn get(&self, id: &BackendId) -> Option<&EngineRecord> {
        self.engines.get(id)
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = &EngineRecord> {
        self.engines.values()
    }

    /// The engines of a service that take new requests.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &EngineRecord> {
        self.engines
            .values()
            .filter(move |engine| engine.info.service == *service && !engine.info.draining)
    }

    /// Whether no engine is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Takes over what is said of an engine. One that began to drain keeps
    /// draining for the rest of its life, however old the news.
    pub fn insert(&mut self, mut info: EngineInfo) {
        info.draining |= self.is_leaving(&EngineIncarnation::from(&info));
        let Some(known) = self.engines.get_mut(&info.id) else {
            self.engines
                .insert(info.id.clone(), EngineRecord::new(info));
            return;
        };
        if known.info.birth == info.birth && known.info.address == info.address {
            info.draining |= known.info.draining;
            known.info = info;
        } else if info.birth >= known.info.birth {
            *known = EngineRecord::new(info);
        }
    }

    /// Takes over what the store says of an engine. The models are taken only
    /// from an engine that was not known: the coordinator knows them better.
    pub fn insert_entry(&mut self, mut info: EngineInfo, trust_models: bool) {
        let known = self.engines.get(&info.id);
        if let Some(known) = known.filter(|known| known.info.birth == info.birth && !trust_models) {
            info.holding.clone_from(&known.info.holding);
        }
        self.insert(info);
    }

    /// Notes that an engine said that it leaves; returns whether that is news.
    pub fn mark_leaving(&mut self, life: &EngineIncarnation) -> bool {
        if self.is_leaving(life) {
            return false;
        }
        if self.leaving.len() >= MOST_LEAVING {
            self.leaving.shift_remove_index(0);
        }
        self.leaving.insert(life.engine.clone(), life.clone());
        let engine = self.engines.get_mut(&life.engine);
        if let Some(engine) = engine.filter(|engine| engine.info.birth == life.birth) {
            engine.info.draining = true;
        }
        true
    }

    /// Whether a life of an engine said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, life: &EngineIncarnation) -> bool {
        self.leaving.get(&life.engine) == Some(life)
    }

    /// Forgets an engine.
    pub fn remove(&mut self, id: &BackendId) -> bool {
        self.engines.shift_remove(id).is_some()
    }

    /// Forgets the engines that a predicate rejects.
    pub fn retain(&mut self, keep: impl Fn(&EngineRecord) -> bool) {
        self.engines.retain(|_, engine| keep(engine));
    }

    /// Takes over the coordinator's view. One that is older than what this
    /// daemon read from the store itself changes only engines that are known.
    pub fn apply(&mut self, view: &FleetView, outdated: bool) {
        if outdated {
            for info in &view.engines {
                if self.engines.contains_key(&info.id) {
                    self.insert(info.clone());
                }
            }
        } else {
            self.apply_engines(view);
        }
        if let Some(loads) = &view.loads {
            self.apply_loads(loads);
        }
    }

    fn apply_engines(&mut self, view: &FleetView) {
        if view.complete {
            let listed = |id: &BackendId| view.engines.iter().any(|info| info.id == *id);
            self.engines.retain(|id, _| listed(id));
        }
        for info in &view.engines {
            // One that lapsed is kept for a while; this daemon may have seen it go.
            if !info.lapsed || self.engines.contains_key(&info.id) {
                self.insert(info.clone());
            }
        }
        for id in &view.gone {
            self.remove(id);
        }
    }

    fn apply_loads(&mut self, loads: &[EngineLoad]) {
        for engine in self.engines.values_mut() {
            engine.total = 0;
            engine.own_in_total = engine.own_count();
        }
        for load in loads {
            if let Some(engine) = self.engines.get_mut(&load.engine) {
                engine.total = load.count;
                engine.own_in_total = engine.own_in_total.min(load.count);
            }
        }
    }

    /// Counts a request that is about to be sent.
    pub fn begin_request(
        &mut self,
        id: &BackendId,
        model: Option<&ModelName>,
        adapter: Option<&AdapterName>,
    ) {
        self.change_own(id, model, adapter, |count| count + 1);
    }

    /// Counts a request that ended.
    pub fn end_request(
        &mut self,
        id: &BackendId,
        model: Option<&ModelName>,
        adapter: Option<&AdapterName>,
    ) {
        self.change_own(id, model, adapter, |count| count.saturating_sub(1));
    }

    fn change_own(
        &mut self,
        id: &BackendId,
        model: Option<&ModelName>,
        adapter: Option<&AdapterName>,
        change: impl FnOnce(u32) -> u32,
    ) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let is_same =
            |own: &OwnCount| own.model.as_ref() == model && own.adapter.as_ref() == adapter;
        let index = engine.own.iter().position(is_same).unwrap_or_else(|| {
            engine.own.push(OwnCount {
                model: model.cloned(),
                adapter: adapter.cloned(),
                count: 0,
            });
            engine.own.len() - 1
        });
        engine.own[index].count = change(engine.own[index].count);
        engine.own.retain(|own| own.count > 0);
    }

    /// Notes what a request showed of an engine.
    pub fn record_signal(&mut self, id: &BackendId, sign: EngineSignal, now: MonoTime) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.health.record(sign, now);
        }
    }

    /// The engine's health, to add to.
    pub fn health_mut(&mut self, id: &BackendId) -> Option<&mut EngineHealth> {
        Some(&mut self.engines.get_mut(id)?.health)
    }

    /// Drops a model or adapter from what an engine is thought to hold.
    pub fn remove_held(
        &mut self,
        id: &BackendId,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        match adapter {
            None => engine.info.holding.retain(|held| held.model != *model),
            Some(adapter) => {
                for held in &mut engine.info.holding {
                    if held.model == *model {
                        held.adapters.retain(|name| name != adapter);
                    }
                }
            }
        }
    }

    /// This daemon's requests at all engines.
    #[must_use]
    pub fn running_counts(&self) -> Vec<RunningCount> {
        let engines = self.engines.values();
        let counts = engines.flat_map(|engine| {
            engine.own.iter().map(|own| RunningCount {
                engine: engine.info.id.clone(),
                model: own.model.clone(),
                adapter: own.adapter.clone(),
                count: own.count,
            })
        });
        counts.collect()
    }
}
