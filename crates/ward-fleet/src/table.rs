//! Engines known to a daemon, with their running requests and health.

use indexmap::{IndexMap, IndexSet};
use ward_protocol::{AdapterName, BackendId, ModelName, MonoTime, ServiceName};

use crate::crash::EngineIncarnation;
use crate::health::{EngineHealth, EngineSignal};
use crate::limit::{LimitLedger, PermitStore};
use crate::message::{EngineInfo, EngineLoad, FleetView, RunningCount};

/// Maximum number of engines remembered as leaving, and of those remembered as gone.
const MAX_REMEMBERED: usize = 4_096;

/// One engine as this daemon sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRecord {
    /// Latest information from the engine's heartbeat or the coordinator.
    pub info: EngineInfo,
    /// This daemon's requests at the engine, by model and adapter.
    pub own: Vec<OwnCount>,
    /// Requests over all daemons, as last broadcast by the coordinator.
    pub total: u32,
    /// This daemon's requests that `total` is taken to include: their number
    /// when the total arrived, but no more than a total that is not zero.
    pub own_in_total: u32,
    /// Health according to this daemon's requests.
    pub health: EngineHealth,
}

/// Number of this daemon's requests for a model and adapter at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnCount {
    /// Model that the requests use; `None` for a service without models.
    pub model: Option<ModelName>,
    /// Adapter that the requests use, if any.
    pub adapter: Option<AdapterName>,
    /// Number of requests; never zero.
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

    /// Number of this daemon's requests at the engine.
    #[must_use]
    pub fn own_count(&self) -> u32 {
        self.own.iter().map(|own| own.count).sum()
    }

    /// Requests over all daemons: the last total, with this daemon's share
    /// replaced by its current count.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.total.saturating_sub(self.own_in_total) + self.own_count()
    }
}

/// All known engines by id.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineTable {
    engines: IndexMap<BackendId, EngineRecord>,
    /// Incarnations that announced that they are leaving, including those of
    /// engines no longer listed, because stale information may list them again.
    leaving: IndexMap<BackendId, EngineIncarnation>,
    /// Incarnations that were removed. A list of the store may name them again, if it
    /// came back from an older copy.
    departed: IndexMap<BackendId, EngineIncarnation>,
    /// Limits that engines have named.
    pub limits: LimitLedger,
    /// This daemon's permits to send requests to limited engines.
    pub permits: PermitStore,
}

impl EngineTable {
    /// The engine with an id, if it is known.
    #[must_use]
    pub fn get(&self, id: &BackendId) -> Option<&EngineRecord> {
        self.engines.get(id)
    }

    /// Iterates over all engines.
    pub fn iter(&self) -> impl Iterator<Item = &EngineRecord> {
        self.engines.values()
    }

    /// Engines of a service that take new requests.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &EngineRecord> {
        self.engines
            .values()
            .filter(move |engine| engine.info.service == *service && engine.info.takes_requests())
    }

    /// Whether no engine is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Adds or updates an engine. An engine that began to drain keeps draining
    /// until its incarnation ends, even if stale information says otherwise.
    pub fn insert(&mut self, mut info: EngineInfo) {
        self.departed.shift_remove(&info.id);
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

    /// Adds or updates an engine from its entry in the store. The models of a
    /// known incarnation, and whether it has ended, are kept unless `trust_entry`
    /// is set, because the coordinator's information about them is newer.
    pub fn insert_entry(&mut self, mut info: EngineInfo, trust_entry: bool) {
        let known = self.engines.get(&info.id);
        if let Some(known) = known.filter(|known| known.info.birth == info.birth && !trust_entry) {
            info.holding.clone_from(&known.info.holding);
            info.ended = known.info.ended;
        }
        self.insert(info);
    }

    /// Marks an engine incarnation as leaving; returns false if it already was.
    pub fn mark_leaving(&mut self, incarnation: &EngineIncarnation) -> bool {
        if self.is_leaving(incarnation) {
            return false;
        }
        remember(&mut self.leaving, incarnation.clone());
        let engine = self.engines.get_mut(&incarnation.engine);
        if let Some(engine) = engine.filter(|engine| engine.info.birth == incarnation.birth) {
            engine.info.draining = true;
        }
        true
    }

    /// Whether an engine incarnation announced that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, incarnation: &EngineIncarnation) -> bool {
        self.leaving.get(&incarnation.engine) == Some(incarnation)
    }

    /// Removes the permits for engines whose limit has ended.
    pub fn drop_unneeded_permits(&mut self) {
        let limits = &self.limits;
        self.permits.retain(|engine| limits.is_limited(engine));
    }

    /// Removes an engine; returns whether it was known.
    pub fn remove(&mut self, id: &BackendId) -> bool {
        let Some(engine) = self.engines.shift_remove(id) else {
            return false;
        };
        remember(&mut self.departed, EngineIncarnation::from(&engine.info));
        true
    }

    /// Whether an engine incarnation was removed and has not come back since.
    #[must_use]
    pub fn has_departed(&self, incarnation: &EngineIncarnation) -> bool {
        self.departed.get(&incarnation.engine) == Some(incarnation)
    }

    /// Applies the coordinator's view. An outdated view, older than what this
    /// daemon has itself read from the store, only updates known engines.
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
            let listed: IndexSet<_> = view.engines.iter().map(|info| &info.id).collect();
            let known: Vec<_> = self.engines.keys().cloned().collect();
            for id in known.iter().filter(|id| !listed.contains(id)) {
                self.remove(id);
            }
        }
        for info in &view.engines {
            // Lapsed engines stay in the view for a while, but this daemon may
            // already have seen them end.
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

    /// Counts a request that is about to be sent to an engine.
    pub fn begin_request(
        &mut self,
        id: &BackendId,
        model: Option<&ModelName>,
        adapter: Option<&AdapterName>,
    ) {
        self.update_own_count(id, model, adapter, |count| count + 1);
    }

    /// Counts a request as ended.
    pub fn end_request(
        &mut self,
        id: &BackendId,
        model: Option<&ModelName>,
        adapter: Option<&AdapterName>,
    ) {
        self.update_own_count(id, model, adapter, |count| count.saturating_sub(1));
    }

    fn update_own_count(
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

    /// Updates an engine's health with the outcome of a request.
    pub fn record_signal(&mut self, id: &BackendId, signal: EngineSignal, now: MonoTime) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.health.record(signal, now);
        }
    }

    /// Mutable health of an engine; `None` if the engine is not known.
    pub fn health_mut(&mut self, id: &BackendId) -> Option<&mut EngineHealth> {
        Some(&mut self.engines.get_mut(id)?.health)
    }

    /// Removes a model, or only an adapter if one is given, from those that an
    /// engine is known to hold.
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

    /// This daemon's requests at all engines, by model and adapter.
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

/// Adds an incarnation, in place of the one remembered for longest if there are too many.
fn remember(
    incarnations: &mut IndexMap<BackendId, EngineIncarnation>,
    incarnation: EngineIncarnation,
) {
    if incarnations.len() >= MAX_REMEMBERED {
        incarnations.shift_remove_index(0);
    }
    incarnations.insert(incarnation.engine.clone(), incarnation);
}
