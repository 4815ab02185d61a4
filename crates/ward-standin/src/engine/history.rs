//! What an engine remembers for checks, over all its lives.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::{
    BackendOrder, MemorySize, OrderRefusal, ReplicaKey, RequestId, ResidentReplica, WallTime,
};

/// How an order came to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderCause {
    /// It was received for the first time.
    Received,
    /// It was received again and changed nothing.
    Again,
    /// It took effect some time after it was taken.
    Delayed,
    /// It took effect a second time.
    Repeated,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderEntry {
    /// When.
    pub at: WallTime,
    /// The engine's life.
    pub boot: u64,
    /// The order.
    pub order: BackendOrder,
    /// How it came to take effect.
    pub cause: OrderCause,
    /// Why it was refused, if it was.
    pub refusal: Option<OrderRefusal>,
}

/// What an engine held from some time on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingEntry {
    /// Since when, in microseconds since 1970: finer than other times, so that
    /// holdings of several engines can be put in order.
    pub at_micros: u64,
    /// The engine's life.
    pub boot: u64,
    /// Memory in use.
    pub memory: MemorySize,
    /// Whether that is more than the engine has.
    pub overcommitted: bool,
    /// The replicas.
    pub replicas: Vec<ResidentReplica>,
}

/// What happened to one request id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEntry {
    /// Its replica.
    pub key: ReplicaKey,
    /// Times that it was received for a ready replica.
    pub received: u32,
    /// When it was last received.
    pub last_received: WallTime,
    /// Times that it began to run.
    pub runs: u32,
    /// Times that it went on here after an import.
    pub imports: u32,
    /// Times that it ran to its end.
    pub finished: u32,
    /// Whether a caller cancelled it.
    pub cancelled: bool,
}

/// A crash of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEntry {
    /// When.
    pub at: WallTime,
    /// The life that ended.
    pub boot: u64,
}

/// What happened to an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHistory {
    /// Orders in the order in which they took effect or were refused.
    pub orders: Vec<OrderEntry>,
    /// What it held over time.
    pub holdings: Vec<HoldingEntry>,
    /// Most memory in use at a time.
    pub peak_memory: MemorySize,
    /// Times that more memory was in use than it has.
    pub overcommits: u32,
    /// Requests by id.
    pub requests: IndexMap<RequestId, RunEntry>,
    /// Requests for replicas that were not ready.
    pub not_run: u32,
    /// Crashes in order.
    pub crashes: Vec<CrashEntry>,
}
