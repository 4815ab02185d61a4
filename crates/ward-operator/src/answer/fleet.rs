//! Answers about daemons, backend servers, models and requests.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use ward_protocol::{
    BackendId, BackendKind, DaemonId, EngineRole, FencingSupport, LogOffset, MemorySize,
    PlanRevision, PriorityLevel, ReplicaKey, RequestId, RowTarget, TimeSpan, ViewMode, ZoneName,
};

/// A daemon as the answering daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonItem {
    /// Which daemon.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Control offset that it has applied, if known.
    pub applied: Option<LogOffset>,
    /// Revision that it has in force, if known.
    pub adopted: Option<PlanRevision>,
    /// Time since its last sign of life; zero for the answering daemon.
    pub silent: TimeSpan,
}

/// A backend server as the answering daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendItem {
    /// Which backend server.
    pub backend: BackendId,
    /// Engine or service.
    pub kind: BackendKind,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its role, for an engine.
    pub role: Option<EngineRole>,
    /// Whether it checks fencing numbers.
    pub fencing: FencingSupport,
    /// Whether its host is leaving.
    pub leaving: bool,
    /// The daemon that sends it orders, for an engine.
    pub owner: Option<DaemonId>,
    /// Memory for replicas.
    pub memory: MemorySize,
    /// Memory counted, the larger of reserved and resident.
    pub counted: MemorySize,
    /// Replicas held or reserved.
    pub replicas: u32,
    /// Requests running and waiting, as reported.
    pub load: u32,
}

/// Daemons and backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostsAnswer {
    /// The daemons.
    pub daemons: Vec<DaemonItem>,
    /// The backend servers.
    pub backends: Vec<BackendItem>,
}

/// A model version or adapter of the plan in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelItem {
    /// Which one.
    pub key: ReplicaKey,
    /// Priority of its row.
    pub priority: PriorityLevel,
    /// Memory of one replica.
    pub memory: MemorySize,
    /// Most replicas allowed.
    pub replicas: u16,
    /// Engines where it answers requests.
    pub ready: Vec<BackendId>,
    /// Engines where it is on its way.
    pub loading: Vec<BackendId>,
    /// Requests of the answering daemon that wait for it.
    pub waiting: u32,
}

/// The models of the plan in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelsAnswer {
    /// The models and adapters, in the order of the sheet.
    pub models: Vec<ModelItem>,
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestPhase {
    /// Waits for a replica.
    Waiting,
    /// Sent to a backend server, no answer yet.
    Running,
    /// Its answer is on its way to the caller.
    Answering,
}

/// A request of the answering daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestItem {
    /// Which request.
    pub request: RequestId,
    /// What it asks for.
    pub target: RowTarget,
    /// Where it stands.
    pub phase: RequestPhase,
    /// Its priority.
    pub priority: PriorityLevel,
    /// Time since it came.
    pub age: TimeSpan,
    /// Time left until its deadline.
    #[serde(rename = "left")]
    pub time_left: TimeSpan,
    /// Where it runs.
    pub backend: Option<BackendId>,
    /// Whether it may not be repeated.
    pub once: bool,
}

/// Requests of the answering daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestsAnswer {
    /// All requests counted, listed or not.
    pub total: u32,
    /// The requests, oldest first, as many as fit.
    pub requests: Vec<RequestItem>,
}

/// Everything that a daemon knows, for people to read; its shape may change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DumpAnswer(pub Value);

/// Whether a daemon takes callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyAnswer {
    /// What it may do.
    pub mode: ViewMode,
}
