//! On which engine a replica is placed and which idle replicas are evicted for it.
//!
//! Engines in zones that hold no replica of the key yet are preferred, because a
//! second replica serves availability. Then engines are compared by the cache
//! tier of the checkpoint, because the tier decides how long the caller waits.
//! Among engines of the same tier, free memory is preferred to an eviction. An
//! infinite cost forbids an eviction.

mod evict;
mod view;

use std::cmp::Reverse;

use ward_protocol::{BackendId, CacheTier, EngineRole, TimeSpan};

pub use self::view::{EngineView, HeldReplica, PlaceChoice, PlaceRequest};

use self::evict::{EvictPlan, plan_eviction};

/// Idle time after which a replica may be evicted although another engine could take the new
/// one without this eviction.
const MIN_IDLE_FOR_FASTER_TIER: TimeSpan = TimeSpan::from_secs(300);

/// Chooses the engine for a replica and takes the memory of evicted replicas as their cost.
///
/// A replica that has been idle for less than five minutes is evicted only if
/// there is no other way to place the new one, not just for a faster tier.
#[must_use]
pub fn place_replica(request: &PlaceRequest, engines: &[EngineView]) -> PlaceChoice {
    let cautious = place_replica_by(request, engines, |engine, replica| {
        let idle_long_enough = replica
            .idle
            .is_some_and(|idle| idle >= MIN_IDLE_FOR_FASTER_TIER);
        if idle_long_enough {
            memory_cost(engine, replica)
        } else {
            f64::INFINITY
        }
    });
    match cautious {
        PlaceChoice::Impossible => place_replica_by(request, engines, memory_cost),
        PlaceChoice::Place { .. } | PlaceChoice::Evict { .. } => cautious,
    }
}

/// Chooses the engine for a replica; `cost` is the cost of loading an evicted replica again.
#[must_use]
pub fn place_replica_by(
    request: &PlaceRequest,
    engines: &[EngineView],
    cost: impl Fn(&EngineView, &HeldReplica) -> f64,
) -> PlaceChoice {
    engines
        .iter()
        .filter(|engine| is_candidate(request, engine))
        .filter_map(|engine| Some((engine, plan_placement(request, engine, &cost)?)))
        .min_by(|(left, left_plan), (right, right_plan)| {
            zone_and_tier_rank(request, left)
                .cmp(&zone_and_tier_rank(request, right))
                .then(left_plan.victims.len().cmp(&right_plan.victims.len()))
                .then(left_plan.cost.total_cmp(&right_plan.cost))
                .then(tie_break_rank(request, left).cmp(&tie_break_rank(request, right)))
        })
        .map_or(PlaceChoice::Impossible, |(engine, plan)| {
            to_choice(engine, plan)
        })
}

fn to_choice(engine: &EngineView, plan: EvictPlan) -> PlaceChoice {
    let backend = engine.backend.clone();
    if plan.victims.is_empty() {
        return PlaceChoice::Place { backend };
    }
    PlaceChoice::Evict {
        backend,
        victims: plan.victims,
    }
}

/// Plans the evictions that a placement on the engine needs, none if it has enough free
/// memory; `None` if it cannot hold the replica.
fn plan_placement(
    request: &PlaceRequest,
    engine: &EngineView,
    cost: &impl Fn(&EngineView, &HeldReplica) -> f64,
) -> Option<EvictPlan> {
    if engine.memory < request.memory {
        return None;
    }
    if engine.free() >= request.memory {
        return Some(EvictPlan::default());
    }
    plan_eviction(request, engine, cost).filter(|plan| plan.cost.is_finite())
}

/// Rank that decides before any cost: whether the engine's zone already holds a replica of the
/// key, then the cache tier.
fn zone_and_tier_rank(request: &PlaceRequest, engine: &EngineView) -> (bool, CacheTier) {
    (request.occupied_zones.contains(&engine.zone), engine.tier)
}

/// Chooses an engine in standby to bring back for a replica that could not be placed; `None`
/// if none in an allowed zone has enough memory.
#[must_use]
pub fn choose_engine_to_wake(request: &PlaceRequest, engines: &[EngineView]) -> Option<BackendId> {
    engines
        .iter()
        .filter(|engine| engine.role == EngineRole::Standby)
        .filter(|engine| zone_allowed(request, engine) && engine.memory >= request.memory)
        .min_by_key(|engine| tie_break_rank(request, engine))
        .map(|engine| engine.backend.clone())
}

/// Order of engines in standby, and of others between which nothing else decides: by zone,
/// cache tier and load, then those with more memory in use first, so that empty ones can enter
/// standby.
fn tie_break_rank<'a>(request: &PlaceRequest, engine: &'a EngineView) -> impl Ord + use<'a> {
    let occupied = request.occupied_zones.contains(&engine.zone);
    (
        occupied,
        engine.tier,
        engine.load,
        Reverse(engine.counted),
        &engine.backend,
    )
}

fn is_candidate(request: &PlaceRequest, engine: &EngineView) -> bool {
    let awake = engine.role != EngineRole::Standby;
    let role = request.roles.is_empty() || request.roles.contains(&engine.role);
    let held = engine.held.iter().any(|replica| replica.key == request.key);
    awake && role && !held && zone_allowed(request, engine) && has_base(request, engine)
}

fn zone_allowed(request: &PlaceRequest, engine: &EngineView) -> bool {
    request.zones.is_empty() || request.zones.contains(&engine.zone)
}

fn has_base(request: &PlaceRequest, engine: &EngineView) -> bool {
    let base = request.key.base();
    let is_ready_base = |replica: &HeldReplica| replica.ready && replica.key == base;
    !request.key.is_adapter() || engine.held.iter().any(is_ready_base)
}

/// Cost of loading an evicted replica again: its size. Checkpoints load at one rate per cache
/// tier, so within a tier the size is proportional to the load time; differences between tiers
/// are ignored.
#[allow(clippy::cast_precision_loss)]
fn memory_cost(_: &EngineView, replica: &HeldReplica) -> f64 {
    replica.memory.bytes() as f64
}
