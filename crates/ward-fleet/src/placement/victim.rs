//! Selects the models that are evicted to make room for another.
//!
//! Load pattern: there are more models than fit into memory, and most are
//! requested seconds apart. Models without requests are evicted: first those
//! that other engines hold too and that are hardly used, then the least
//! requested ones, since loading a model back from the same disk costs about
//! the same for all. If requests wait for a model whose only copy is on an
//! engine that is always busy, a model in use can be evicted too, provided that
//! other engines hold it. Its running requests end first.

use ward_protocol::{MemorySize, ModelName, MonoTime, TimeSpan};

use super::demand::{DemandTable, ModelKey};
use super::engine::{PlacedEngine, PlacedModel};
use super::spread::ReplicaCounts;
use crate::manifest::EngineClass;
use crate::number::usize_to_f64;

/// Time after its last use or load for which a model counts as in use.
const RECENT_USE: TimeSpan = TimeSpan::from_millis(400);
/// Cost, in milliseconds, of evicting the last replica of a model, for each of
/// its requests per second.
pub(super) const RATE_COST_MILLIS: f64 = 600.0;
/// Cost of an unload order, in milliseconds.
const UNLOAD_COST_MILLIS: f64 = 30.0;
/// Cost of evicting a model in use, in milliseconds.
const IN_USE_COST_MILLIS: f64 = 250.0;
/// Additional cost for each running request of an evicted model, in
/// milliseconds.
const REQUEST_COST_MILLIS: f64 = 40.0;
/// Concurrency per remaining replica above which a model keeps all of its
/// replicas, unless requests wait for the model to be loaded.
const BUSY_CONCURRENCY: f64 = 2.0;

/// Models to evict, and the cost of evicting them.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct VictimChoice {
    /// Models to evict, cheapest first.
    pub(super) models: Vec<ModelName>,
    /// Cost of evicting them, in milliseconds. Also counts cheaper models that
    /// the search first took and then did not need.
    pub(super) cost: f64,
}

/// Parameters of a search for models to evict.
#[derive(Clone, Copy)]
pub(super) struct VictimSearch<'a> {
    pub(super) demand: &'a DemandTable,
    pub(super) counts: &'a ReplicaCounts,
    pub(super) class: &'a EngineClass,
    /// Whether models in use may be evicted.
    pub(super) evict_in_use: bool,
    pub(super) now: MonoTime,
}

impl VictimSearch<'_> {
    /// The cheapest models whose eviction leaves `needed` free on an engine;
    /// `None` if all evictable models together do not suffice.
    pub(super) fn choose(&self, engine: &PlacedEngine, needed: MemorySize) -> Option<VictimChoice> {
        let mut free = engine.free_memory(self.class);
        let mut choice = VictimChoice::default();
        if free >= needed {
            return Some(choice);
        }
        for (cost, name) in self.candidates(engine) {
            free = free.saturating_add(self.size(name));
            choice.cost += cost + UNLOAD_COST_MILLIS;
            choice.models.push(name.clone());
            if free >= needed {
                self.drop_unneeded(&mut choice, free, needed);
                return Some(choice);
            }
        }
        None
    }

    /// Models that may be evicted, cheapest first.
    fn candidates<'a>(&self, engine: &'a PlacedEngine) -> Vec<(f64, &'a ModelName)> {
        let mut candidates: Vec<_> = engine
            .held
            .iter()
            .filter_map(|(name, held)| Some((self.cost(engine, name, held)?, name)))
            .collect();
        candidates.sort_by(|left, right| left.0.total_cmp(&right.0));
        candidates
    }

    /// Cost of evicting a model from an engine; `None` if it must stay.
    fn cost(&self, engine: &PlacedEngine, model: &ModelName, held: &PlacedModel) -> Option<f64> {
        let key = ModelKey {
            service: engine.info.service.clone(),
            model: model.clone(),
        };
        let others = self.counts.get(&key).saturating_sub(1);
        let is_in_use = held.running > 0 || self.now.since(held.last_used) <= RECENT_USE;
        if is_in_use && (!self.evict_in_use || others == 0) {
            return None;
        }
        let in_use_cost = if is_in_use {
            IN_USE_COST_MILLIS + REQUEST_COST_MILLIS * f64::from(held.running)
        } else {
            0.0
        };
        let Some(demand) = self.demand.get(&key) else {
            return Some(in_use_cost);
        };
        if demand.waiting > 0 {
            return None;
        }
        if others == 0 {
            return Some(in_use_cost + demand.rate * RATE_COST_MILLIS);
        }
        let busy = demand.concurrency / usize_to_f64(others) > BUSY_CONCURRENCY;
        (!busy || self.evict_in_use).then_some(in_use_cost)
    }

    fn size(&self, model: &ModelName) -> MemorySize {
        let class = self.class.models.get(model);
        class.map_or(MemorySize::ZERO, |model| model.weights)
    }

    /// Removes victims that are not needed, because later ones free enough
    /// memory.
    fn drop_unneeded(&self, choice: &mut VictimChoice, mut free: MemorySize, needed: MemorySize) {
        choice.models.retain(|name| {
            let size = self.size(name);
            let unneeded = free.saturating_sub(needed) >= size;
            if unneeded {
                free = free.saturating_sub(size);
            }
            !unneeded
        });
    }
}
