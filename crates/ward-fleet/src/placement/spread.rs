//! How many engines hold a model.
//!
//! Load pattern: a few models take most requests, and which ones they are moves
//! during the day. An engine's batch slows all that run in it, so a model gets
//! another engine while its present ones are still far from full.

use indexmap::IndexMap;

use super::demand::{ModelDemand, ModelKey};
use super::state::PlacementState;
use crate::number::whole;

/// Concurrent requests that one replica should have at most.
const MOST_PER_REPLICA: f64 = 8.0;
/// Part of an engine's slots that one replica should fill at most.
const SLOT_PART: f64 = 0.4;
/// Concurrency from which on a model should survive the loss of an engine.
const PAIR_CONCURRENCY: f64 = 1.5;

/// Engines that should hold a model.
pub(super) fn wanted_replicas(demand: &ModelDemand, slots: u32) -> u64 {
    let per_replica = MOST_PER_REPLICA.min(SLOT_PART * f64::from(slots)).max(1.0);
    let wanted = whole((demand.concurrency / per_replica).ceil());
    if demand.concurrency >= PAIR_CONCURRENCY {
        wanted.max(2)
    } else {
        wanted
    }
}

/// Engines that hold a model or are loading it, by model.
#[derive(Debug, Clone, Default)]
pub(super) struct ReplicaCounts {
    counts: IndexMap<ModelKey, usize>,
}

impl ReplicaCounts {
    /// Counts the replicas on engines that do not drain.
    pub(super) fn of(state: &PlacementState) -> Self {
        let mut counts = Self::default();
        for engine in state
            .engines
            .values()
            .filter(|engine| !engine.info.draining)
        {
            let present = engine.held.iter().filter(|(_, held)| !held.unloading);
            let coming = engine.task.iter().map(|task| &task.model);
            let coming = coming.filter(|model| !engine.held.contains_key(*model));
            for model in present.map(|(model, _)| model).chain(coming) {
                counts.add(ModelKey {
                    service: engine.info.service.clone(),
                    model: model.clone(),
                });
            }
        }
        counts
    }

    /// Counts one more replica.
    pub(super) fn add(&mut self, key: ModelKey) {
        *self.counts.entry(key).or_default() += 1;
    }

    /// Counts one replica less.
    pub(super) fn remove(&mut self, key: &ModelKey) {
        if let Some(count) = self.counts.get_mut(key) {
            *count = count.saturating_sub(1);
        }
    }

    /// Replicas of a model.
    pub(super) fn get(&self, key: &ModelKey) -> usize {
        self.counts.get(key).copied().unwrap_or(0)
    }
}
