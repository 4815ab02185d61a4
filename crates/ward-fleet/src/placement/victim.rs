//! Which models make way for another.
//!
//! Load pattern: more models than memory, most asked for seconds apart. Only
//! models without requests make way: first those that other engines hold too
//! and that are hardly used, then the ones asked for least, since bringing a
//! model back from the same disk costs about the same for all.

use ward_protocol::{MemorySize, ModelName, MonoTime, TimeSpan};

use super::demand::{DemandTable, ModelKey};
use super::engine::PlacedEngine;
use super::spread::ReplicaCounts;
use crate::manifest::EngineClass;

/// A model that was used or loaded so recently stays.
const FRESH: TimeSpan = TimeSpan::from_millis(400);
/// Cost of a model's absence per request per second, in milliseconds.
const RATE_COST_MILLIS: f64 = 600.0;
/// Cost of ordering an unload, in milliseconds.
const UNLOAD_COST_MILLIS: f64 = 30.0;
/// Concurrency per replica above which a model keeps all of its replicas.
const BUSY_REPLICA: f64 = 2.0;

/// Models to unload, and what their absence costs.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct VictimChoice {
    /// The models, cheapest first.
    pub(super) models: Vec<ModelName>,
    /// Expected cost in milliseconds.
    pub(super) cost: f64,
}

/// The cheapest models that make room for `needed` on an engine; nothing when
/// even all idle ones do not.
pub(super) fn choose_victims(
    demand: &DemandTable,
    counts: &ReplicaCounts,
    engine: &PlacedEngine,
    class: &EngineClass,
    needed: MemorySize,
    now: MonoTime,
) -> Option<VictimChoice> {
    let mut free = engine.free(class);
    let mut choice = VictimChoice::default();
    if free >= needed {
        return Some(choice);
    }
    let mut idle: Vec<_> = engine
        .held
        .iter()
        .filter(|(_, model)| model.running == 0 && now.since(model.last_used) > FRESH)
        .filter_map(|(name, _)| Some((absence_cost(demand, counts, engine, name)?, name)))
        .collect();
    idle.sort_by(|left, right| left.0.total_cmp(&right.0));
    for (cost, name) in idle {
        let size = class.models.get(name).map(|model| model.weights);
        free = free.saturating_add(size.unwrap_or(MemorySize::ZERO));
        choice.cost += cost + UNLOAD_COST_MILLIS;
        choice.models.push(name.clone());
        if free >= needed {
            drop_needless(&mut choice, class, free, needed);
            return Some(choice);
        }
    }
    None
}

/// Takes back victims that turned out not to be needed.
fn drop_needless(
    choice: &mut VictimChoice,
    class: &EngineClass,
    mut free: MemorySize,
    needed: MemorySize,
) {
    choice.models.retain(|name| {
        let size = class.models.get(name).map(|model| model.weights);
        let size = size.unwrap_or(MemorySize::ZERO);
        let spare = free.saturating_sub(needed) >= size;
        if spare {
            free = free.saturating_sub(size);
        }
        !spare
    });
}

/// What it costs that this engine no longer holds a model; nothing when it must
/// not be taken away.
fn absence_cost(
    demand: &DemandTable,
    counts: &ReplicaCounts,
    engine: &PlacedEngine,
    model: &ModelName,
) -> Option<f64> {
    let key = ModelKey {
        service: engine.info.service.clone(),
        model: model.clone(),
    };
    let Some(demand) = demand.get(&key) else {
        return Some(0.0);
    };
    if demand.waiting > 0 {
        return None;
    }
    let others = counts.get(&key).saturating_sub(1);
    if others == 0 {
        return Some(demand.rate * RATE_COST_MILLIS);
    }
    let busy = demand.concurrency / others as f64 > BUSY_REPLICA;
    (!busy).then_some(0.0)
}
