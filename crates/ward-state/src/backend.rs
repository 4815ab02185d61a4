//! Backend servers, and the daemons that own the engines among them.

use serde::{Deserialize, Serialize};
use ward_protocol::{
    BackendInfo, BackendKind, DaemonId, EngineRole, FenceNumber, Incarnation, MemorySize,
    ReservationId,
};

/// The owner of an engine before the current one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerOwner {
    /// The daemon that owned the engine.
    pub daemon: DaemonId,
    /// Incarnation of that daemon; 0, which no daemon has, if the former owner is unknown.
    pub incarnation: Incarnation,
    /// Fencing number of that ownership; tells apart several ownerships by one daemon.
    pub fence: FenceNumber,
    /// Whether that daemon left after its orders had expired and its own takeover was
    /// complete, so that no order of a still earlier owner can be outstanding either. The
    /// next owner may then start at once.
    pub clean: bool,
}

/// A backend server as built from the control records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendState {
    /// Kind, availability zone, address and memory as the platform lists them.
    pub info: BackendInfo,
    /// Whether the platform is reclaiming it; it then takes no new loads.
    pub leaving: bool,
    /// Role that its owner has set; `None` until the first `Role` record.
    pub role: Option<EngineRole>,
    /// The daemon that may send it orders; `None` for a service, and for an engine as long
    /// as there are no members.
    pub owner: Option<DaemonId>,
    /// Fencing number of the current ownership: offset of the record that last changed
    /// the owner.
    pub fence: FenceNumber,
    /// The previous owner; `None` if the engine had none.
    pub former: Option<FormerOwner>,
    /// Whether the owner has shown that all orders of earlier owners have expired; also true
    /// if there was no earlier owner.
    #[serde(rename = "settled")]
    pub takeover_complete: bool,
    /// Daemons that have given up the engine and aren't chosen as its owner until they
    /// join again or all members have yielded it.
    pub yielded: Vec<DaemonId>,
    /// Reservations on the engine; derived, not part of a snapshot.
    #[serde(skip)]
    pub reservations: Vec<ReservationId>,
    /// Sum of the memory of its reservations; derived, not part of a snapshot.
    #[serde(skip)]
    pub reserved_memory: MemorySize,
}

impl BackendState {
    /// The role that plan rows are matched against: serving unless another one is set.
    #[must_use]
    pub fn effective_role(&self) -> EngineRole {
        self.role.unwrap_or(EngineRole::Serving)
    }

    /// Whether it is an engine that new replicas may be loaded on.
    #[must_use]
    pub fn is_loadable(&self) -> bool {
        self.info.kind == BackendKind::Engine
            && !self.leaving
            && self.effective_role() != EngineRole::Standby
    }

    /// Memory not taken by any reservation; 0 if the engine is overcommitted.
    #[must_use]
    pub const fn free(&self) -> MemorySize {
        self.info.memory.saturating_sub(self.reserved_memory)
    }
}
