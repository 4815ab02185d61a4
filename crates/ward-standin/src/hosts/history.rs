//! History of the weight store, for checks by tests.

use serde::{Deserialize, Serialize};
use ward_protocol::{BackendId, MemorySize, ReplicaKey, WallTime};

/// One load from the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// Replica whose weights were requested.
    pub key: ReplicaKey,
    /// Engine that requested the load.
    pub engine: BackendId,
    /// Size of the weights.
    pub memory: MemorySize,
    /// Time of the request.
    pub asked: WallTime,
    /// Time at which the load was complete; absent while it runs and if it was cut.
    pub arrived: Option<WallTime>,
}

/// Number of loads in flight after a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadLevel {
    /// Time of the change.
    pub at: WallTime,
    /// Model loads in flight.
    pub models: u32,
    /// Adapter loads in flight.
    pub adapters: u32,
}

/// History of a host list and weight store, answered to `GET /history`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostsHistory {
    /// Loads in the order of their requests.
    pub loads: Vec<LoadEntry>,
    /// Number of loads in flight after each change, oldest first.
    pub levels: Vec<LoadLevel>,
    /// Maximum number of model loads in flight at the same time.
    pub peak_models: u32,
    /// Maximum number of adapter loads in flight at the same time.
    pub peak_adapters: u32,
}
