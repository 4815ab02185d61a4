//! What the host list and the weight store remember for checks.

use serde::{Deserialize, Serialize};
use ward_protocol::{BackendId, MemorySize, ReplicaKey, WallTime};

/// One load from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// What was loaded.
    pub key: ReplicaKey,
    /// For which engine.
    pub engine: BackendId,
    /// Its size.
    pub memory: MemorySize,
    /// When it was asked for.
    pub asked: WallTime,
    /// When its bytes had arrived; absent while it runs and when it broke off.
    pub arrived: Option<WallTime>,
}

/// Loads in flight from some time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadLevel {
    /// Since when.
    pub at: WallTime,
    /// Model loads in flight.
    pub models: u32,
    /// Adapter loads in flight.
    pub adapters: u32,
}

/// What happened at a host list and weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostsHistory {
    /// Loads in the order in which they were asked for.
    pub loads: Vec<LoadEntry>,
    /// Loads in flight over time.
    pub levels: Vec<LoadLevel>,
    /// Most model loads in flight at a time.
    pub peak_models: u32,
    /// Most adapter loads in flight at a time.
    pub peak_adapters: u32,
}
