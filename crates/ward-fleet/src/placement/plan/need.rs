//! Models that requests wait for and an engine has at hand, one more engine for
//! busy models, idle memory.

use ward_protocol::BackendId;

use super::{Candidate, LEAST_BUSY, Planner};
use crate::number::real;
use crate::placement::demand::ModelKey;
use crate::placement::engine::LoadSource;
use crate::placement::spread::wanted_replicas;
use crate::placement::victim::VictimChoice;
use crate::placement::work::LoadReason;

/// Loads of the same model that may run at once to spread it.
const MOST_SPREADS: usize = 2;
/// A model is spread from the weight store when its demand, times this, exceeds
/// the slots of its engines.
const STORE_SPREAD_CONCURRENCY: f64 = 1.6;

impl Planner<'_> {
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
            self.load_somewhere(&key, LoadReason::Missing, false);
        }
    }

    pub(super) fn plan_busy(&mut self) {
        let mut demands: Vec<_> = self
            .state
            .demand
            .iter()
            .filter(|(_, demand)| demand.concurrency >= LEAST_BUSY)
            .map(|(key, demand)| {
                let replicas = real(self.counts.get(key).max(1));
                (key.clone(), demand.clone(), demand.concurrency / replicas)
            })
            .collect();
        demands.sort_by(|left, right| right.2.total_cmp(&left.2));
        for (key, demand, _) in demands {
            let Some(slots) = self.slots(&key) else {
                continue;
            };
            let wanted = usize::try_from(wanted_replicas(&demand, slots)).unwrap_or(usize::MAX);
            let present = self.counts.get(&key);
            let missing = wanted.saturating_sub(present);
            let coming = self.loading(&key);
            let full = f64::from(slots) * real(present);
            let pressed = demand.concurrency * STORE_SPREAD_CONCURRENCY > full;
            for _ in 0..missing.min(MOST_SPREADS.saturating_sub(coming)) {
                let idle = self.state.store_load_count() == 0;
                if !self.load_somewhere(&key, LoadReason::Busy, pressed && idle) {
                    break;
                }
            }
        }
    }

    pub(super) fn plan_room(&mut self) {
        let free: Vec<_> = self
            .state
            .engines
            .iter()
            .filter(|(_, engine)| engine.is_free(self.now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in free {
            if let Some((key, candidate)) = self.room_candidate(&id) {
                self.add(&key, candidate, LoadReason::Room);
            }
        }
    }

    /// The model for an engine's idle memory: on its disk, in no engine's
    /// memory, with the fewest copies on other disks.
    fn room_candidate(&self, id: &BackendId) -> Option<(ModelKey, Candidate)> {
        let engine = self.state.engines.get(id)?;
        let class = self.manifest.engine_class(&engine.info.service)?;
        let free = engine.free(class);
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
        let key = fitting.min_by_key(|key| self.copies(key))?;
        let candidate = Candidate {
            engine: id.clone(),
            source: engine.source(&key.model),
            victims: VictimChoice::default(),
            cost: 0.0,
        };
        Some((key, candidate))
    }

    pub(super) fn copies(&self, key: &ModelKey) -> usize {
        let engines = self.state.engines.values().filter(|engine| {
            engine.info.service == key.service && engine.source(&key.model) != LoadSource::Store
        });
        engines.count()
    }

    fn slots(&self, key: &ModelKey) -> Option<u32> {
        let mut engines = self.state.engines.values();
        let engine = engines.find(|engine| engine.info.service == key.service)?;
        Some(engine.info.slots)
    }

    fn loading(&self, key: &ModelKey) -> usize {
        let engines = self.state.engines.values().filter(|engine| {
            let task = engine.task.as_ref();
            engine.info.service == key.service && task.is_some_and(|task| task.model == key.model)
        });
        engines.count()
    }
}
