//! Heartbeats of backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use ward_protocol::{
    AdapterName, BackendId, ModelName, ServiceName, SoftwareVersion, TimeSpan, ZoneName,
};

/// Start time of an engine incarnation, in milliseconds since 1970.
/// Distinguishes a restarted engine from the earlier one with the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EngineBirth(pub i64);

/// Number of orders that an engine has accepted in its current incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderSequence(pub u64);

impl OrderSequence {
    /// The sequence number after one more order.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Sequence number of a heartbeat within an engine incarnation. Distinguishes
/// stale heartbeats from new ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatCount(pub u64);

/// A model that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// Name of the model.
    pub model: ModelName,
    /// Adapters of the model that are loaded and ready.
    pub adapters: Vec<AdapterName>,
}

/// The latest heartbeat of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineEntry {
    /// Identifier of the backend server; the same after a restart.
    pub id: BackendId,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Availability zone that the server runs in.
    pub zone: ZoneName,
    /// Version of the server's software.
    pub software: SoftwareVersion,
    /// Number of requests that the server can run concurrently.
    pub slots: u32,
    /// Whether the server takes no new requests.
    pub draining: bool,
    /// Time until the server shuts down; `None` if it announced no shutdown.
    pub leaves_in: Option<TimeSpan>,
    /// Start time of the server's incarnation; `None` if the heartbeat has
    /// none.
    pub birth: Option<EngineBirth>,
    /// Sequence number of this heartbeat.
    pub heartbeat: HeartbeatCount,
    /// Models that the server has loaded and serves.
    pub models: Vec<HeldModel>,
    /// Models with a copy in host memory.
    pub in_memory: Vec<ModelName>,
    /// Models with a copy on local disk.
    pub on_disk: Vec<ModelName>,
}
