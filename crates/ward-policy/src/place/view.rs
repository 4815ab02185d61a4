//! Input and result of the placement of a replica.

use ward_protocol::{
    BackendId, CacheTier, EngineRole, MemorySize, PriorityLevel, ReplicaKey, ReservationId,
    TimeSpan, ZoneName,
};

/// A replica that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldReplica {
    /// Reservation under which the engine holds the replica.
    pub reservation: ReservationId,
    /// Model version or adapter of the replica.
    pub key: ReplicaKey,
    /// Memory that the replica takes on the engine.
    pub memory: MemorySize,
    /// Priority of the replica's row in the plan; only a request of the same or a more urgent level
    /// may evict the replica.
    pub priority: PriorityLevel,
    /// Time since the replica's last request; `None` while requests run on it or wait for it.
    pub idle: Option<TimeSpan>,
    /// Whether the plan requires the replica to be ready now; such a replica is not evicted.
    pub wanted: bool,
    /// Whether the replica is loaded and answers requests.
    pub ready: bool,
}

/// The state of an engine on which placement depends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Backend server that runs the engine.
    pub backend: BackendId,
    /// Availability zone of the engine's host.
    pub zone: ZoneName,
    /// Present role of the engine.
    pub role: EngineRole,
    /// Memory that the engine has for replicas.
    pub memory: MemorySize,
    /// Memory that is not free: taken by replicas, or reserved or about to be reserved for
    /// them.
    pub counted: MemorySize,
    /// Replicas that the engine holds.
    pub held: Vec<HeldReplica>,
    /// Tier from which the engine would load the requested checkpoint.
    pub tier: CacheTier,
    /// Number of requests that run or wait at the engine, as it last reported.
    pub load: u32,
}

impl EngineView {
    /// Memory that is free for further replicas.
    #[must_use]
    pub const fn free(&self) -> MemorySize {
        self.memory.saturating_sub(self.counted)
    }
}

/// A replica to be placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceRequest {
    /// Model version or adapter to load.
    pub key: ReplicaKey,
    /// Memory that the replica takes on an engine.
    pub memory: MemorySize,
    /// Priority of the load; only replicas of the same or a less urgent level may be evicted
    /// for it.
    pub priority: PriorityLevel,
    /// Zones in which the replica may be placed; empty means all.
    pub zones: Vec<ZoneName>,
    /// Roles of engines that may hold the replica; empty means all but standby.
    pub roles: Vec<EngineRole>,
    /// Zones that already hold a replica of the key; other zones are preferred.
    pub occupied_zones: Vec<ZoneName>,
}

/// How a replica can be placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlaceChoice {
    /// An engine has enough free memory.
    Place {
        /// Engine that loads the replica.
        backend: BackendId,
    },
    /// Replicas of an engine have to be evicted first.
    Evict {
        /// Engine that loads the replica after the eviction.
        backend: BackendId,
        /// Reservations of the replicas to evict, adapters before their base model.
        victims: Vec<ReservationId>,
    },
    /// No engine can hold the replica now.
    Impossible,
}
