//! Number of engines that hold a model (replicas).
//!
//! Load pattern: a few models take most requests, and which ones changes during
//! the day. Requests in an engine's batch slow each other down, so a model gets
//! another replica while its engines are still far from full. A replica on an engine that
//! takes only a limited rate of requests counts for a model that needs little of it, and
//! not for others, which get a replica elsewhere: most models are rare, and loading
//! another replica of each would evict others that are requested, too.

use indexmap::IndexMap;
use ward_protocol::{MonoTime, TimeSpan};

use super::demand::{ModelDemand, ModelKey};
use super::state::PlacementState;
use crate::limit::RequestRate;
use crate::number::floor_to_u64;

/// Maximum number of concurrent requests planned for one replica.
const MAX_PER_REPLICA: f64 = 8.0;
/// Maximum fraction of an engine's slots planned for one replica.
const SLOT_FRACTION: f64 = 0.4;
/// Minimum concurrency for a model to get two replicas, so that it survives the
/// loss of an engine.
const MIN_CONCURRENCY_FOR_PAIR: f64 = 1.5;

/// Fraction of an engine's limit that one model may need for a replica there to count.
const MAX_SHARE_OF_LIMIT: f64 = 0.25;
/// Time for which requests may wait for a model whose only replicas are on engines with a
/// limit, before these count no more; longer than a permit takes.
const MAX_PERMIT_WAIT: TimeSpan = TimeSpan::from_millis(300);

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

/// Whether an engine with a limit serves the demand for one of its models.
fn suffices(limit: RequestRate, demand: Option<&ModelDemand>, now: MonoTime) -> bool {
    demand.is_none_or(|demand| {
        let waits = demand.waiting_since.map(|since| now.since(since));
        demand.rate <= MAX_SHARE_OF_LIMIT * limit.per_second()
            && waits.is_none_or(|span| span <= MAX_PERMIT_WAIT)
    })
}

/// Number of engines that hold or are loading a model, by model, without engines whose
/// limit is too low for it.
#[derive(Debug, Clone, Default)]
pub(super) struct ReplicaCounts {
    counts: IndexMap<ModelKey, usize>,
}

impl ReplicaCounts {
    /// Counts the replicas on engines that take requests.
    pub(super) fn of(state: &PlacementState, now: MonoTime) -> Self {
        let mut counts = Self::default();
        for engine in state
            .engines
            .values()
            .filter(|engine| engine.info.takes_requests())
        {
            let limit = state.limits.rate_of(&engine.info);
            let present = engine.held.iter().filter(|(_, held)| !held.unloading);
            let loading = engine.task.iter().map(|task| &task.model);
            let loading = loading.filter(|model| !engine.held.contains_key(*model));
            for model in present.map(|(model, _)| model).chain(loading) {
                let key = ModelKey {
                    service: engine.info.service.clone(),
                    model: model.clone(),
                };
                if limit.is_none_or(|limit| suffices(limit, state.demand.get(&key), now)) {
                    counts.add(key);
                }
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
