//! Where a replica goes and which idle ones make room for it.
//!
//! Free memory goes before eviction even where the checkpoint is cached on a
//! full engine: an eviction moves the cold start to another model, while a
//! slower tier is paid once. Zones that hold no replica of the key yet go
//! before cheaper tiers, because a second replica exists for availability.

mod evict;
mod view;

use std::cmp::Reverse;

use ward_protocol::{BackendId, EngineRole};

pub use self::view::{EngineView, HeldReplica, PlaceChoice, PlaceRequest};

use self::evict::plan_eviction;

/// Chooses the engine for a wanted replica, taking larger replicas as dearer to load again.
#[must_use]
pub fn place_replica(request: &PlaceRequest, engines: &[EngineView]) -> PlaceChoice {
    place_replica_by(request, engines, memory_cost)
}

/// Chooses the engine for a wanted replica with a given cost of loading one again.
#[must_use]
pub fn place_replica_by(
    request: &PlaceRequest,
    engines: &[EngineView],
    cost: impl Fn(&EngineView, &HeldReplica) -> f64,
) -> PlaceChoice {
    if let Some(engine) = free_engine(request, engines) {
        return PlaceChoice::Place {
            backend: engine.backend.clone(),
        };
    }
    engines
        .iter()
        .filter(|engine| allows(request, engine) && engine.memory >= request.memory)
        .filter_map(|engine| Some((engine, plan_eviction(request, engine, &cost)?)))
        .min_by(|(left, left_plan), (right, right_plan)| {
            left_plan
                .victims
                .len()
                .cmp(&right_plan.victims.len())
                .then(left_plan.cost.total_cmp(&right_plan.cost))
                .then(rank(request, left).cmp(&rank(request, right)))
        })
        .map_or(PlaceChoice::Impossible, |(engine, plan)| {
            PlaceChoice::Evict {
                backend: engine.backend.clone(),
                victims: plan.victims,
            }
        })
}

/// Chooses a standby engine to bring back for a replica that found no room.
#[must_use]
pub fn wake_engine(request: &PlaceRequest, engines: &[EngineView]) -> Option<BackendId> {
    engines
        .iter()
        .filter(|engine| engine.role == EngineRole::Standby)
        .filter(|engine| zone_allowed(request, engine) && engine.memory >= request.memory)
        .min_by_key(|engine| rank(request, engine))
        .map(|engine| engine.backend.clone())
}

fn free_engine<'a>(request: &PlaceRequest, engines: &'a [EngineView]) -> Option<&'a EngineView> {
    engines
        .iter()
        .filter(|engine| allows(request, engine) && engine.free() >= request.memory)
        .min_by_key(|engine| rank(request, engine))
}

/// Order of engines that are otherwise equal; fuller engines first, so that empty ones may rest.
fn rank<'a>(request: &PlaceRequest, engine: &'a EngineView) -> impl Ord + use<'a> {
    let taken = request.taken.contains(&engine.zone);
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
