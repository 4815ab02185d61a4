//! Reservations: replicas whose memory is reserved on engines.

use serde::{Deserialize, Serialize};
use ward_protocol::{BackendId, MemorySize, PriorityLevel, ReplicaKey, WallTime};

/// Stage of a reservation's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReservationPhase {
    /// Memory is reserved; the load waits for admission to the weight store.
    Waiting,
    /// The load is admitted: the engine's owner may order it.
    Loading,
    /// The replica is loaded and can answer requests.
    Ready,
    /// The replica was found on the engine without a reservation and is to be unloaded.
    Found,
}

/// A replica on an engine and the memory reserved for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationState {
    /// Model or adapter and its version.
    pub key: ReplicaKey,
    /// Engine that holds or is to load the replica.
    pub backend: BackendId,
    /// Memory reserved on the engine: the plan row's value, or what the engine reports
    /// if that is more.
    pub memory: MemorySize,
    /// Priority among loads that wait for admission.
    pub priority: PriorityLevel,
    /// Earliest deadline of the requests that wait for the replica; orders loads of equal
    /// priority that wait for admission, earliest first.
    pub deadline: WallTime,
    /// Current stage.
    pub phase: ReservationPhase,
    /// Whether the replica gets no new requests and is to be unloaded.
    pub draining: bool,
}

impl ReservationState {
    /// Whether new requests may be sent to the replica.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.phase == ReservationPhase::Ready && !self.draining
    }
}
