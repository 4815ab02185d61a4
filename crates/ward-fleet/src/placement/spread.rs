//! Number of engines that hold a model (replicas).
//!
//! Load pattern: a few models take most requests, and which ones changes during
//! the day. Requests in an engine's batch slow each other down, so a model gets
//! another replica while its engines are still far from full. A replica on an engine that
//! takes only a limited rate of requests doesn't count, so that its models get another
//! one elsewhere while they are requested.

use indexmap::IndexMap;

use super::demand::{ModelDemand, ModelKey};
use super::state::PlacementState;
use crate::number::floor_to_u64;

/// Maximum number of concurrent requests planned for one replica.
const MAX_PER_REPLICA: f64 = 8.0;
/// Maximum fraction of an engine's slots planned for one replica.
const SLOT_FRACTION: f64 = 0.4;
/// Minimum concurrency for a model to get two replicas, so that it survives the
/// loss of an engine.
const MIN_CONCURRENCY_FOR_PAIR: f64 = 1.5;

/// Number of replicas that a model should have on engines with `slots` slots
/// each.
pub(super) fn wanted_replicas(demand: &ModelDemand, slots: u32) -> u64 {
    let per_replica = MAX_PER_REPLICA
        .min(SLOT_FRACTION * f64::from(slots))
        .max(1.0);
    let wanted = floor_to_u64((demand.concurrency / per_replica).ceil());
    if demand.concurrency >= MIN_CONCURRENCY_FOR_PAIR {
        wanted.max(2)
    } else {
        wanted
    }
}

/// Number of engines without a limit that hold or are loading a model, by model.
#[derive(Debug, Clone, Default)]
pub(super) struct ReplicaCounts {
    counts: IndexMap<ModelKey, usize>,
}

impl ReplicaCounts {
    /// Counts the replicas on engines that take requests and have no limit.
    pub(super) fn of(state: &PlacementState) -> Self {
        let mut counts = Self::default();
        for engine in state
            .engines
            .values()
            .filter(|engine| engine.info.takes_requests() && !state.is_limited(engine))
        {
            let present = engine.held.iter().filter(|(_, held)| !held.unloading);
            let loading = engine.task.iter().map(|task| &task.model);
            let loading = loading.filter(|model| !engine.held.contains_key(*model));
            for model in present.map(|(model, _)| model).chain(loading) {
                counts.add(ModelKey {
                    service: engine.info.service.clone(),
                    model: model.clone(),
                });
            }
        }
        counts
    }

    /// Adds a replica that is about to be loaded.
    pub(super) fn add(&mut self, key: ModelKey) {
        *self.counts.entry(key).or_default() += 1;
    }

    /// Subtracts a replica that is about to be unloaded.
    pub(super) fn remove(&mut self, key: &ModelKey) {
        if let Some(count) = self.counts.get_mut(key) {
            *count = count.saturating_sub(1);
        }
    }

    /// Number of replicas of a model.
    pub(super) fn get(&self, key: &ModelKey) -> usize {
        self.counts.get(key).copied().unwrap_or(0)
    }
}
