//! What a backend server says about itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use ward_protocol::{AdapterName, BackendId, ModelName, ServiceName, TimeSpan, ZoneName};

/// Start of one incarnation of an engine, in milliseconds since 1970; tells a
/// restarted engine from the one that had its id before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EngineBirth(pub i64);

/// Number of orders that an engine has accepted in this incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderSequence(pub u64);

impl OrderSequence {
    /// The number after one more order.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Number of a heartbeat in an engine's incarnation; tells old news from new.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatCount(pub u64);

/// A model in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub model: ModelName,
    /// Its adapters that are ready too.
    pub adapters: Vec<AdapterName>,
}

/// The newest heartbeat of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineEntry {
    /// Its id.
    pub id: BackendId,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// Time until it is gone, when it said so.
    pub leaves_in: Option<TimeSpan>,
    /// Start of its incarnation, when it said so.
    pub birth: Option<EngineBirth>,
    /// Number of this heartbeat.
    pub heartbeat: HeartbeatCount,
    /// Models in its memory.
    pub models: Vec<HeldModel>,
    /// Models with a copy in host memory.
    pub in_memory: Vec<ModelName>,
    /// Models with a copy on disk.
    pub on_disk: Vec<ModelName>,
}
