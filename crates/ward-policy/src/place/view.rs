//! What placement sees of the engines and what it answers.

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

impl EngineView {
    /// Memory not counted.
    #[must_use]
    pub const fn free(&self) -> MemorySize {
        self.memory.saturating_sub(self.counted)
    }
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
    /// Roles allowed; empty means all but standby.
    pub roles: Vec<EngineRole>,
    /// Zones that hold a replica of the key already.
    pub occupied_zones: Vec<ZoneName>,
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
        /// Replicas that go, adapters before their base model.
        victims: Vec<ReservationId>,
    },
    /// No engine can hold it now.
    Impossible,
}
