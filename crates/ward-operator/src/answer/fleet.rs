//! JSON answers about daemons, backend servers, models and requests.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use ward_protocol::{
    BackendId, BackendKind, DaemonId, EngineRole, FencingSupport, LogOffset, MemorySize,
    PlanRevision, PriorityLevel, ReplicaKey, RequestId, RowTarget, TimeSpan, ViewMode, ZoneName,
};

/// A daemon, as known to the answering daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonItem {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Availability zone of the daemon.
    pub zone: ZoneName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Offset of the control stream up to which the daemon has applied records; absent if unknown.
    pub applied: Option<LogOffset>,
    /// Plan revision that the daemon has in force; absent if unknown.
    pub adopted: Option<PlanRevision>,
    /// Time since the daemon's last answer or heartbeat; zero for the answering daemon.
    pub silent: TimeSpan,
}

/// A backend server, as known to the answering daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendItem {
    /// Id of the backend server.
    pub backend: BackendId,
    /// Whether the backend server is an engine or a service.
    pub kind: BackendKind,
    /// Availability zone of the backend server.
    pub zone: ZoneName,
    /// Address to which daemons send requests.
    pub address: SocketAddr,
    /// Role of an engine; absent for a service.
    pub role: Option<EngineRole>,
    /// Whether the backend server rejects orders with an outdated fencing number.
    pub fencing: FencingSupport,
    /// Whether the host is being taken out of service.
    pub leaving: bool,
    /// The daemon that sends orders to this engine; absent for services and without an owner.
    pub owner: Option<DaemonId>,
    /// Memory for replicas.
    pub memory: MemorySize,
    /// Sum of the memory reserved for replicas; a reservation is raised to what its replica is
    /// found to take, if that is more.
    pub counted: MemorySize,
    /// Number of replicas that are loaded or reserved.
    pub replicas: u32,
    /// Number of requests running and waiting there, as last reported.
    pub load: u32,
}

/// Answer of `GET /hosts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostsAnswer {
    /// All known daemons.
    pub daemons: Vec<DaemonItem>,
    /// All known backend servers.
    pub backends: Vec<BackendItem>,
}

/// A model version or adapter of the plan in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelItem {
    /// Name and version of the model or adapter.
    pub key: ReplicaKey,
    /// Priority of the model's row in the plan.
    pub priority: PriorityLevel,
    /// Memory of one replica.
    pub memory: MemorySize,
    /// Maximum number of replicas that the row allows.
    pub replicas: u16,
    /// Engines with a replica that answers requests.
    pub ready: Vec<BackendId>,
    /// Engines that are loading a replica.
    pub loading: Vec<BackendId>,
    /// Number of requests at the answering daemon that wait for a replica.
    pub waiting: u32,
}

/// Answer of `GET /models`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelsAnswer {
    /// The models and adapters, in the order of the sheet.
    pub models: Vec<ModelItem>,
}

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestPhase {
    /// Waiting for a replica.
    Waiting,
    /// Sent to a backend server that has not answered yet.
    Running,
    /// The answer is being forwarded to the caller.
    Answering,
}

/// An unfinished request at the answering daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestItem {
    /// Id of the request.
    pub request: RequestId,
    /// The model, adapter or service that the request is for.
    pub target: RowTarget,
    /// Progress of the request.
    pub phase: RequestPhase,
    /// Priority, which orders the queue.
    pub priority: PriorityLevel,
    /// Time since the request arrived at the daemon.
    pub age: TimeSpan,
    /// Time until the caller's deadline.
    #[serde(rename = "left")]
    pub time_left: TimeSpan,
    /// The backend server that the request was sent to; absent while it waits.
    pub backend: Option<BackendId>,
    /// Whether the request must run at most once, so that it is not retried.
    pub once: bool,
}

/// Answer of `GET /requests`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestsAnswer {
    /// Number of all unfinished requests, including those not listed.
    pub total: u32,
    /// The oldest requests, oldest first, up to the limit of the answer.
    pub requests: Vec<RequestItem>,
}

/// The whole state of a daemon, for people to read; the format is not stable.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DumpAnswer(pub Value);

/// Answer of `GET /healthz` and `GET /readyz`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModeAnswer {
    /// Mode of the daemon, e.g. starting or routing only.
    pub mode: ViewMode,
}
