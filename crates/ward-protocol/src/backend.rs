//! Backend servers: their description in the platform's list, the orders that they
//! get, and the status that they report.

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
    /// Refuses an order whose number is lower than the highest that it has seen.
    Checks,
    /// Carries out every order, whatever its number.
    Ignores,
}

/// The work that an engine is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Both prefill and decode.
    Serving,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
    /// Powered down: holds no replicas and costs nothing.
    Standby,
}

/// A backend server as the platform describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendInfo {
    /// Id of the backend server.
    pub backend: BackendId,
    /// Engine or service.
    pub kind: BackendKind,
    /// Availability zone of the backend server's host.
    pub zone: ZoneName,
    /// Address at which the backend server listens.
    pub address: SocketAddr,
    /// Accelerator memory available to replicas; zero for a service.
    pub memory: MemorySize,
    /// Whether the backend server checks fencing numbers.
    pub fencing: FencingSupport,
    /// Plain services that the backend server answers; empty for an engine.
    pub services: Vec<ServiceName>,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendOrder {
    /// Id of the order. Orders are idempotent: a second one with the same id has no
    /// effect.
    pub order: RecordId,
    /// Fencing number under which the sender owns the engine.
    pub fence: FenceNumber,
    /// The action that is ordered.
    pub kind: OrderKind,
}

/// The action that an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// No action; the engine only learns the fencing number, so that it refuses orders
    /// with lower ones from then on.
    Touch,
    /// Load a replica.
    Load {
        /// The replica to load.
        key: ReplicaKey,
        /// Memory that the replica takes.
        memory: MemorySize,
    },
    /// Unload a replica as soon as no request runs on it.
    Unload {
        /// The replica to unload.
        key: ReplicaKey,
    },
    /// Change the engine's role.
    Role {
        /// The new role.
        role: EngineRole,
    },
}

/// Why an engine refused an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderRefusal {
    /// The engine has seen a higher fencing number.
    Fenced {
        /// The highest fencing number that the engine has seen.
        newest: FenceNumber,
    },
    /// The engine has too little memory.
    Memory,
    /// The adapter's base model is not loaded.
    NoBase,
    /// The engine is leaving and accepts no loads.
    Leaving,
}

/// Where a checkpoint is cached, cheapest to load from first.
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
    /// The model version or adapter of the checkpoint.
    pub key: ReplicaKey,
    /// Where the checkpoint is cached.
    pub tier: CacheTier,
}

/// Phase of a replica on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResidentPhase {
    /// The replica is being loaded.
    Loading,
    /// The replica answers requests.
    Ready,
    /// The replica takes no new requests and is unloaded once it is idle.
    Unloading,
    /// The load failed; the replica takes no memory.
    Failed,
}

/// A replica on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentReplica {
    /// Model version or adapter that the replica is a copy of.
    pub key: ReplicaKey,
    /// Whether the replica is loading, ready, unloading or failed.
    pub phase: ResidentPhase,
    /// Memory that the replica takes.
    pub memory: MemorySize,
    /// Number of requests running on the replica.
    pub running: u32,
}

/// An engine's report of its own state; the request counts lag behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// The engine that reports.
    pub backend: BackendId,
    /// Number of the engine's incarnation; when it changes, the engine has restarted
    /// and holds nothing.
    pub boot: u64,
    /// The highest fencing number that the engine has seen.
    pub fence: FenceNumber,
    /// The engine's current role.
    pub role: EngineRole,
    /// Total memory available to replicas.
    pub memory: MemorySize,
    /// The replicas on the engine.
    pub resident: Vec<ResidentReplica>,
    /// Checkpoints cached on the engine's host.
    pub cached: Vec<CachedCheckpoint>,
    /// Number of requests running on the engine.
    pub running: u32,
    /// Number of requests waiting at the engine.
    pub queued: u32,
    /// Whether the engine's host is being reclaimed.
    pub leaving: bool,
}

/// Outcome of sending an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine accepted the order.
    Taken,
    /// The engine refused the order.
    Refused(OrderRefusal),
    /// No answer arrived; the order may still take effect.
    Unknown,
}

/// State of a host on the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in use.
    Live,
    /// The host is going to be reclaimed.
    Leaving,
}

/// A backend server on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Description of the backend server.
    #[serde(flatten)]
    pub info: BackendInfo,
    /// State of the backend server's host.
    pub state: HostState,
}
