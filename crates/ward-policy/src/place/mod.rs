//! Where a replica goes and which idle ones make room for it.
//!
//! The tier comes first, because it decides how long the caller waits; on
//! engines of one tier free memory goes before eviction. Zones that hold no
//! replica of the key yet go before cheaper tiers, because a second replica
//! exists for availability. An infinite cost forbids an eviction.

mod evict;
mod view;

use std::cmp::Reverse;

use ward_protocol::{BackendId, CacheTier, EngineRole, TimeSpan};

pub use self::view::{EngineView, HeldReplica, PlaceChoice, PlaceRequest};

use self::evict::{EvictPlan, plan_eviction};

/// Idle time after which a replica may be evicted although there is room elsewhere.
const SETTLED_IDLE: TimeSpan = TimeSpan::from_secs(300);

/// Chooses the engine for a wanted replica, taking larger replicas as dearer to load again.
///
/// Only replicas that have been idle for long go for the sake of a cheaper tier.
#[must_use]
pub fn place_replica(request: &PlaceRequest, engines: &[EngineView]) -> PlaceChoice {
    let cautious = place_replica_by(request, engines, |engine, replica| {
        let settled = replica.idle.is_some_and(|idle| idle >= SETTLED_IDLE);
        if settled {
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

/// Chooses the engine for a wanted replica with a given cost of loading one again.
#[must_use]
pub fn place_replica_by(
    request: &PlaceRequest,
    engines: &[EngineView],
    cost: impl Fn(&EngineView, &HeldReplica) -> f64,
) -> PlaceChoice {
    engines
        .iter()
        .filter(|engine| allows(request, engine))
        .filter_map(|engine| Some((engine, plan_room(request, engine, &cost)?)))
        .min_by(|(left, left_plan), (right, right_plan)| {
            tier_rank(request, left)
                .cmp(&tier_rank(request, right))
                .then(left_plan.victims.len().cmp(&right_plan.victims.len()))
                .then(left_plan.cost.total_cmp(&right_plan.cost))
                .then(rank(request, left).cmp(&rank(request, right)))
        })
        .map_or(PlaceChoice::Impossible, |(engine, plan)| {
            choice_of(engine, plan)
        })
}

fn choice_of(engine: &EngineView, plan: EvictPlan) -> PlaceChoice {
    let backend = engine.backend.clone();
    if plan.victims.is_empty() {
        return PlaceChoice::Place { backend };
    }
    PlaceChoice::Evict {
        backend,
        victims: plan.victims,
    }
}

fn plan_room(
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

fn tier_rank(request: &PlaceRequest, engine: &EngineView) -> (bool, CacheTier) {
    (request.occupied_zones.contains(&engine.zone), engine.tier)
}

/// Chooses a standby engine to bring back for a replica that found no room.
#[must_use]
pub fn choose_engine_to_wake(request: &PlaceRequest, engines: &[EngineView]) -> Option<BackendId> {
    engines
        .iter()
        .filter(|engine| engine.role == EngineRole::Standby)
        .filter(|engine| zone_allowed(request, engine) && engine.memory >= request.memory)
        .min_by_key(|engine| rank(request, engine))
        .map(|engine| engine.backend.clone())
}

/// Order of engines that are otherwise equal; fuller engines first, so that empty ones may rest.
fn rank<'a>(request: &PlaceRequest, engine: &'a EngineView) -> impl Ord + use<'a> {
    let taken = request.occupied_zones.contains(&engine.zone);
    (
        taken,
        engine.tier,
        engine.load,
        Reverse(engine.counted),
        &engine.backend,
    )
}

fn allows(request: &PlaceRequest, engine: &EngineView) -> bool {
    let awake = engine.role != EngineRole::Standby;
    let role = request.roles.is_empty() || request.roles.contains(&engine.role);
    let held = engine.held.iter().any(|replica| replica.key == request.key);
    awake && role && !held && zone_allowed(request, engine) && base_held(request, engine)
}

fn zone_allowed(request: &PlaceRequest, engine: &EngineView) -> bool {
    request.zones.is_empty() || request.zones.contains(&engine.zone)
}

fn base_held(request: &PlaceRequest, engine: &EngineView) -> bool {
    let base = request.key.base();
    let holds = |replica: &HeldReplica| replica.ready && replica.key == base;
    !request.key.is_adapter() || engine.held.iter().any(holds)
}

// Checkpoints load at one rate per tier, so the size stands for the time.
#[allow(clippy::cast_precision_loss)]
fn memory_cost(_: &EngineView, replica: &HeldReplica) -> f64 {
    replica.memory.bytes() as f64
}
