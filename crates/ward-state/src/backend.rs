//! Backend servers and who owns the engines among them.

use serde::{Deserialize, Serialize};
use ward_protocol::{
    BackendInfo, BackendKind, DaemonId, EngineRole, FenceNumber, Incarnation, MemorySize,
    ReservationId,
};

/// The owner before the present one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerOwner {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Fencing number of its ownership; one daemon may own an engine twice.
    pub fence: FenceNumber,
    /// Whether it ended its orders and left, with no order of an older owner outstanding.
    pub clean: bool,
}

/// A backend server as the log made it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendState {
    /// What the platform says of it.
    pub info: BackendInfo,
    /// Whether it is being reclaimed.
    pub leaving: bool,
    /// Decided role; nothing as long as nobody has decided one.
    pub role: Option<EngineRole>,
    /// The daemon that orders it; nothing without members or for a service.
    pub owner: Option<DaemonId>,
    /// Offset at which ownership last moved.
    pub fence: FenceNumber,
    /// The owner before.
    pub former: Option<FormerOwner>,
    /// Whether the owner has shown that orders of earlier owners are over.
    #[serde(rename = "settled")]
    pub takeover_complete: bool,
    /// Daemons that gave it up.
    pub yielded: Vec<DaemonId>,
    /// Reservations on it, derived.
    #[serde(skip)]
    pub reservations: Vec<ReservationId>,
    /// Memory counted by reservations, derived.
    #[serde(skip)]
    pub reserved_memory: MemorySize,
}

impl BackendState {
    /// The role that rows are matched against.
    #[must_use]
    pub fn effective_role(&self) -> EngineRole {
        self.role.unwrap_or(EngineRole::Serving)
    }

    /// Whether it is an engine that takes loads.
    #[must_use]
    pub fn is_loadable(&self) -> bool {
        self.info.kind == BackendKind::Engine
            && !self.leaving
            && self.effective_role() != EngineRole::Standby
    }

    /// Memory not counted by any reservation.
    #[must_use]
    pub const fn free(&self) -> MemorySize {
        self.info.memory.saturating_sub(self.reserved_memory)
    }
}
