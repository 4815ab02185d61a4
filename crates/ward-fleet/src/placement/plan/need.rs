//! Plans loads from local copies: models that requests wait for, further
//! replicas of busy models, and models for idle memory. Only replicas of busy
//! models may also come from the weight store.

use ward_protocol::{BackendId, SoftwareVersion};

use super::{Candidate, MIN_REPLICA_CONCURRENCY, Planner};
use crate::number::usize_to_f64;
use crate::placement::demand::{ModelKey, VersionedModel};
use crate::placement::engine::LoadSource;
use crate::placement::spread::wanted_replicas;
use crate::placement::task::LoadReason;
use crate::placement::victim::VictimChoice;

/// Maximum number of concurrent loads of the same model when replicas are
/// added.
const MAX_SPREAD_LOADS: usize = 2;
/// A busy model may get a replica from the weight store only if its
/// concurrency, multiplied by this, exceeds the slots of its engines.
const STORE_SPREAD_FACTOR: f64 = 1.6;

impl Planner<'_> {
    /// Plans loads from local copies of models that requests wait for and no
    /// engine holds or is loading, the longest wait first.
    pub(super) fn plan_missing(&mut self) {
        let mut missing: Vec<_> = self
            .state
            .demand
            .iter()
            .filter(|(key, demand)| demand.waiting > 0 && self.counts.get(key) == 0)
            .filter_map(|(key, demand)| Some((demand.waiting_since?, key.clone())))
            .collect();
        missing.sort_by_key(|(since, _)| *since);
        for (_, key) in missing {
            self.load_on_cheapest(&key, LoadReason::Missing, false);
        }
    }

    /// Plans loads from local copies of models that streams wait for at the software
    /// version that began them, where no engine of that version holds or is loading it.
    /// Engines of other versions that hold the model are no help to them.
    pub(super) fn plan_versioned(&mut self) {
        let wanted: Vec<_> = self.state.demand.versioned().cloned().collect();
        for VersionedModel { key, software } in wanted {
            if !self.has_replica_at(&key, &software) {
                self.load_on_cheapest_of(&key, LoadReason::Missing, false, |engine| {
                    engine.info.software == software
                });
            }
        }
    }

    /// Whether an engine of a software version that takes requests holds or is loading a
    /// model.
    fn has_replica_at(&self, key: &ModelKey, software: &SoftwareVersion) -> bool {
        self.state.engines.values().any(|engine| {
            let info = &engine.info;
            let held = engine.held.get(&key.model);
            let task = engine.task.as_ref();
            info.service == key.service
                && info.software == *software
                && info.takes_requests()
                && (held.is_some_and(|held| !held.unloading)
                    || task.is_some_and(|task| task.model == key.model))
        })
    }

    /// Plans further replicas of busy models, most requests per replica first.
    pub(super) fn plan_busy(&mut self) {
        let mut demands: Vec<_> = self
            .state
            .demand
            .iter()
            .filter(|(_, demand)| demand.concurrency >= MIN_REPLICA_CONCURRENCY)
            .map(|(key, demand)| {
                let replicas = usize_to_f64(self.counts.get(key).max(1));
                (key.clone(), demand.clone(), demand.concurrency / replicas)
            })
            .collect();
        demands.sort_by(|left, right| right.2.total_cmp(&left.2));
        for (key, demand, _) in demands {
            let Some(slots) = self.slots_per_engine(&key) else {
                continue;
            };
            let wanted = usize::try_from(wanted_replicas(&demand, slots)).unwrap_or(usize::MAX);
            let present = self.counts.get(&key);
            let missing = wanted.saturating_sub(present);
            let loading = self.loading_count(&key);
            let capacity = f64::from(slots) * usize_to_f64(present);
            let overloaded = demand.concurrency * STORE_SPREAD_FACTOR > capacity;
            for _ in 0..missing.min(MAX_SPREAD_LOADS.saturating_sub(loading)) {
                let idle = self.state.store_load_count() == 0;
                if !self.load_on_cheapest(&key, LoadReason::Busy, overloaded && idle) {
                    break;
                }
            }
        }
    }

    /// Plans loads from local copies into memory that no model uses.
    pub(super) fn plan_idle_memory(&mut self) {
        let free: Vec<_> = self
            .state
            .engines
            .iter()
            .filter(|(_, engine)| engine.is_free(self.now) && !engine.adapter_busy)
            .filter(|(_, engine)| !self.state.is_limited(engine))
            .map(|(id, _)| id.clone())
            .collect();
        for id in free {
            if let Some((key, candidate)) = self.idle_memory_candidate(&id) {
                self.add_load(&key, candidate, LoadReason::Room);
            }
        }
    }

    /// The model to load into an engine's idle memory: of those that the engine
    /// has a local copy of and no engine holds or is loading, the one with the
    /// fewest copies on other engines.
    fn idle_memory_candidate(&self, id: &BackendId) -> Option<(ModelKey, Candidate)> {
        let engine = self.state.engines.get(id)?;
        let class = self.manifest.engine_class(&engine.info.service)?;
        let free = engine.free_memory(class);
        let smallest = class.models.values().map(|model| model.weights).min()?;
        if free < smallest {
            return None;
        }
        let copies = engine.in_memory.iter().chain(&engine.on_disk);
        let fitting = copies
            .filter(|model| {
                class
                    .models
                    .get(*model)
                    .is_some_and(|size| size.weights <= free)
            })
            .map(|model| ModelKey {
                service: engine.info.service.clone(),
                model: model.clone(),
            })
            .filter(|key| self.counts.get(key) == 0);
        let key = fitting.min_by_key(|key| self.copy_count(key))?;
        let candidate = Candidate {
            engine: id.clone(),
            source: engine.load_source(&key.model),
            victims: VictimChoice::default(),
            cost: 0.0,
        };
        Some((key, candidate))
    }

    /// Number of engines that have a local copy of a model.
    pub(super) fn copy_count(&self, key: &ModelKey) -> usize {
        let engines = self.state.engines.values().filter(|engine| {
            engine.info.service == key.service
                && engine.load_source(&key.model) != LoadSource::Store
        });
        engines.count()
    }

    /// Number of slots of the service's first engine, which stands for all of
    /// them; `None` if there is none.
    fn slots_per_engine(&self, key: &ModelKey) -> Option<u32> {
        let mut engines = self.state.engines.values();
        let engine = engines.find(|engine| engine.info.service == key.service)?;
        Some(engine.info.slots)
    }

    /// Number of engines that are loading a model.
    fn loading_count(&self, key: &ModelKey) -> usize {
        let engines = self.state.engines.values().filter(|engine| {
            let task = engine.task.as_ref();
            engine.info.service == key.service && task.is_some_and(|task| task.model == key.model)
        });
        engines.count()
    }
}
