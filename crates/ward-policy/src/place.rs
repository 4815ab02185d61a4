//! Where a replica goes and which idle ones make room for it.

use ward_protocol::{
    BackendId, CacheTier, EngineRole, MemorySize, PriorityLevel, ReplicaKey, ReservationId,
    TimeSpan, ZoneName,
};

/// A replica held on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldReplica {
    /// Its reservation.
    pub reservation: ReservationId,
    /// Which replica.
    pub key: ReplicaKey,
    /// Memory that it takes.
    pub memory: MemorySize,
    /// Priority of its row.
    pub priority: PriorityLevel,
    /// Time since its last request; nothing while requests run or wait for it.
    pub idle: Option<TimeSpan>,
    /// Whether the plan wants it ready now.
    pub wanted: bool,
    /// Whether it answers requests.
    pub ready: bool,
}

/// An engine as placement sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Which engine.
    pub backend: BackendId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its role.
    pub role: EngineRole,
    /// Memory for replicas.
    pub memory: MemorySize,
    /// Memory counted, the larger of reserved and resident.
    pub counted: MemorySize,
    /// Replicas held.
    pub held: Vec<HeldReplica>,
    /// Where the wanted checkpoint is cached.
    pub tier: CacheTier,
    /// Requests running and waiting, as reported.
    pub load: u32,
}

/// A replica that is wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceRequest {
    /// What is wanted.
    pub key: ReplicaKey,
    /// Memory that it takes.
    pub memory: MemorySize,
    /// Priority of the load.
    pub priority: PriorityLevel,
    /// Zones allowed; empty means all.
    pub zones: Vec<ZoneName>,
    /// Roles allowed; empty means all.
    pub roles: Vec<EngineRole>,
    /// Zones that hold a replica of the key already.
    pub taken: Vec<ZoneName>,
}

/// What to do about a wanted replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlaceChoice {
    /// Load it here.
    Place {
        /// The engine.
        backend: BackendId,
    },
    /// Make room first.
    Evict {
        /// The engine.
        backend: BackendId,
        /// Replicas that go.
        victims: Vec<ReservationId>,
    },
    /// No engine can hold it now.
    Impossible,
}

/// Chooses the engine for a wanted replica.
#[must_use]
pub fn place_replica(request: &PlaceRequest, engines: &[EngineView]) -> PlaceChoice {
    let free = engines
        .iter()
        .filter(|engine| allows(request, engine))
        .filter(|engine| fits(request, engine))
        .min_by_key(|engine| (engine.tier, engine.load, engine.backend.clone()));
    match free {
        Some(engine) => PlaceChoice::Place {
            backend: engine.backend.clone(),
        },
        None => PlaceChoice::Impossible,
    }
}

fn allows(request: &PlaceRequest, engine: &EngineView) -> bool {
    let zone = request.zones.is_empty() || request.zones.contains(&engine.zone);
    let role = request.roles.is_empty() || request.roles.contains(&engine.role);
    let held = engine.held.iter().any(|replica| replica.key == request.key);
    let base = !request.key.is_adapter()
        || engine
            .held
            .iter()
            .any(|replica| replica.ready && replica.key == request.key.base());
    zone && role && base && !held
}

fn fits(request: &PlaceRequest, engine: &EngineView) -> bool {
    engine.counted.saturating_add(request.memory) <= engine.memory
}
