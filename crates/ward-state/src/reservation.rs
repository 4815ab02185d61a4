//! Replicas counted on engines.

use serde::{Deserialize, Serialize};
use ward_protocol::{BackendId, MemorySize, PriorityLevel, ReplicaKey, WallTime};

/// How far a reservation has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReservationPhase {
    /// Counted; nobody may order the load yet.
    Waiting,
    /// The load may be ordered.
    Loading,
    /// It answers requests.
    Ready,
    /// Found on the engine without a reservation; to be unloaded.
    Found,
}

/// A replica and its memory, counted on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationState {
    /// What is counted.
    pub key: ReplicaKey,
    /// Where.
    pub backend: BackendId,
    /// Memory counted.
    pub memory: MemorySize,
    /// Priority among waiting loads.
    pub priority: PriorityLevel,
    /// Deadline among waiting loads of equal priority.
    pub deadline: WallTime,
    /// How far it has come.
    pub phase: ReservationPhase,
    /// Whether it gets no new requests and is to be unloaded.
    pub draining: bool,
}

impl ReservationState {
    /// Whether requests may go to it.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.phase == ReservationPhase::Ready && !self.draining
    }
}
