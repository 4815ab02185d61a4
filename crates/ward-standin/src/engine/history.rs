//! History of an engine over all of its incarnations, for checks by tests.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::{
    BackendOrder, MemorySize, OrderRefusal, ReplicaKey, RequestId, ResidentReplica, WallTime,
};

/// Why an order appears in the history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderCause {
    /// The order was received for the first time and executed at once.
    Received,
    /// The order was received again and answered as before, without effect.
    Again,
    /// The order was executed some time after its acceptance (fault `order_delay_ms`).
    Delayed,
    /// The order was executed a second time (fault `order_repeat_ms`).
    Repeated,
}

/// One order that was executed, refused or received again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderEntry {
    /// Time of the execution, refusal or repeated receipt.
    pub at: WallTime,
    /// Incarnation of the engine.
    pub boot: u64,
    /// The order as received.
    pub order: BackendOrder,
    /// Why the order appears in the history.
    pub cause: OrderCause,
    /// Reason for the refusal; absent if the order was accepted.
    pub refusal: Option<OrderRefusal>,
}

/// Replicas and memory in use on an engine after a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingEntry {
    /// Time of the change in microseconds since 1970: finer than other times, so that
    /// changes on several engines can be put in order.
    pub at_micros: u64,
    /// Incarnation of the engine.
    pub boot: u64,
    /// Memory in use by all replicas.
    pub memory: MemorySize,
    /// Whether the memory in use exceeds the engine's memory.
    pub overcommitted: bool,
    /// Replicas on the engine, with their phases.
    pub replicas: Vec<ResidentReplica>,
}

/// History of the requests with one id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEntry {
    /// Replica that the first of these requests named.
    pub key: ReplicaKey,
    /// Number of times that the id was received for a ready replica.
    pub received: u32,
    /// Time at which the id was last received for a ready replica.
    pub last_received: WallTime,
    /// Number of generations that started from the prompt, including those that crash the engine.
    pub runs: u32,
    /// Number of generations that continued on this engine after an import.
    pub imports: u32,
    /// Number of generations that finished.
    pub finished: u32,
    /// Whether a running generation was cancelled.
    pub cancelled: bool,
}

/// A crash of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEntry {
    /// Time of the crash.
    pub at: WallTime,
    /// Incarnation that ended.
    pub boot: u64,
}

/// History of an engine, answered to `GET /history`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHistory {
    /// Orders in the sequence in which they were executed, refused or received again.
    pub orders: Vec<OrderEntry>,
    /// Replicas and memory in use after each change, oldest first.
    pub holdings: Vec<HoldingEntry>,
    /// Maximum memory in use at the same time.
    pub peak_memory: MemorySize,
    /// Number of changes after which more memory was in use than the engine has.
    pub overcommits: u32,
    /// Requests for ready replicas, by id.
    pub requests: IndexMap<RequestId, RunEntry>,
    /// Number of requests for replicas that were not ready.
    pub not_run: u32,
    /// Crashes, oldest first.
    pub crashes: Vec<CrashEntry>,
}
