//! Backend servers: what the platform says of them, what they are told to do,
//! and what they report.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{BackendId, FenceNumber, RecordId, ServiceName, ZoneName};
use crate::plan::ReplicaKey;
use crate::unit::MemorySize;

/// Kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// Runs models and takes orders.
    Engine,
    /// Answers calls to a plain service and takes no orders.
    Service,
}

/// Whether an engine refuses orders with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingSupport {
    /// Refuses an order older than the newest number it has seen.
    Checks,
    /// Carries out every order.
    Ignores,
}

/// What an engine is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    Serving,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
    /// Powered down: holds nothing, costs nothing.
    Standby,
}

/// A backend server as the platform describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendInfo {
    /// Its id.
    pub backend: BackendId,
    /// Engine or service.
    pub kind: BackendKind,
    /// Availability zone of its host.
    pub zone: ZoneName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Accelerator memory for replicas; zero for a service.
    pub memory: MemorySize,
    /// Whether it checks fencing numbers.
    pub fencing: FencingSupport,
    /// Plain services that it answers; empty for an engine.
    pub services: Vec<ServiceName>,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendOrder {
    /// Names the order; a second order with the same id changes nothing.
    pub order: RecordId,
    /// Fencing number of the sender's ownership.
    pub fence: FenceNumber,
    /// What to do.
    pub kind: OrderKind,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Changes nothing; makes the engine see a fencing number.
    Touch,
    /// Load a replica.
    Load {
        /// What to load.
        key: ReplicaKey,
        /// Memory that it takes.
        memory: MemorySize,
    },
    /// Drop a replica once nothing runs on it.
    Unload {
        /// What to drop.
        key: ReplicaKey,
    },
    /// Change role.
    Role {
        /// The new role.
        role: EngineRole,
    },
}

/// Why an engine refused an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderRefusal {
    /// It has seen a newer fencing number.
    Fenced {
        /// The newest number that it has seen.
        newest: FenceNumber,
    },
    /// Not enough memory.
    Memory,
    /// The adapter's base model is not loaded.
    NoBase,
    /// It is leaving and takes no loads.
    Leaving,
}

/// Where a checkpoint is cached, cheapest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheTier {
    /// In the host's memory.
    Memory,
    /// On the host's disk.
    Disk,
    /// Only in the weight store.
    Remote,
}

/// A checkpoint cached on an engine's host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedCheckpoint {
    /// Which checkpoint.
    pub key: ReplicaKey,
    /// Where it is cached.
    pub tier: CacheTier,
}

/// Phase of a replica on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResidentPhase {
    /// The load is under way.
    Loading,
    /// It answers requests.
    Ready,
    /// It takes no new requests and goes once idle.
    Unloading,
    /// The load failed; it holds no memory.
    Failed,
}

/// A replica on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentReplica {
    /// Which replica.
    pub key: ReplicaKey,
    /// Its phase.
    pub phase: ResidentPhase,
    /// Memory that it takes.
    pub memory: MemorySize,
    /// Requests running on it.
    pub running: u32,
}

/// An engine's report of itself; load figures lag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// Which backend server.
    pub backend: BackendId,
    /// Number of this life; another number means that it restarted empty.
    pub boot: u64,
    /// The newest fencing number that it has seen.
    pub fence: FenceNumber,
    /// Its present role.
    pub role: EngineRole,
    /// Memory for replicas.
    pub memory: MemorySize,
    /// What it holds.
    pub resident: Vec<ResidentReplica>,
    /// Checkpoints cached on its host.
    pub cached: Vec<CachedCheckpoint>,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Whether its host is being reclaimed.
    pub leaving: bool,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine took it.
    Taken,
    /// The engine refused it.
    Refused(OrderRefusal),
    /// No answer came; it may still take effect.
    Unknown,
}

/// State of a host on the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In use.
    Live,
    /// To be reclaimed.
    Leaving,
}

/// A backend server on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The backend server.
    #[serde(flatten)]
    pub info: BackendInfo,
    /// Its host's state.
    pub state: HostState,
}
