//! Diagnostic dump of a daemon's control state, as JSON for operators.

use serde::Serialize;
use ward_protocol::{
    BackendId, DaemonId, FenceNumber, Incarnation, LogOffset, MemberInfo, MonoTime, PlanRevision,
    ReplicaKey, ReservationId, StoreLimits, ViewMode,
};
use ward_state::{BackendState, ReservationState};

use crate::core::ControlCore;

/// A reservation with its id.
#[derive(Debug, Clone, Serialize)]
pub struct ReservationDump {
    /// Id of the reservation.
    pub id: ReservationId,
    /// Key, engine, memory and phase of the reservation.
    #[serde(flatten)]
    pub state: ReservationState,
}

/// A backend server with the reservations on it.
#[derive(Debug, Clone, Serialize)]
pub struct BackendDump {
    /// The replicated state of the backend server.
    #[serde(flatten)]
    pub state: BackendState,
    /// Ids of the reservations on this backend server.
    pub held: Vec<ReservationId>,
}

/// An engine that this daemon owns.
#[derive(Debug, Clone, Serialize)]
pub struct EngineDump {
    /// Id of the engine.
    pub backend: BackendId,
    /// Fencing number of this daemon's ownership.
    pub fence: FenceNumber,
    /// When this daemon learned that it owns the engine, by its own monotonic clock.
    pub taken: MonoTime,
    /// Whether orders of earlier owners are known to have expired.
    pub settled: bool,
    /// Whether this daemon has received a status from the engine.
    pub heard: bool,
}

/// Control state of a daemon for diagnosis.
#[derive(Debug, Clone, Serialize)]
pub struct ControlDump {
    /// Id of the daemon that produced the dump.
    pub daemon: DaemonId,
    /// Incarnation under which the daemon joins.
    pub incarnation: Incarnation,
    /// Whether the daemon is starting, only routes, performs all duties or stops.
    pub mode: ViewMode,
    /// Whether the daemon is a member with a valid read lease.
    pub lease: bool,
    /// Offset of the last control record applied.
    pub applied: LogOffset,
    /// Offset of the last plan record read.
    pub plan_read: LogOffset,
    /// Whether a record of a newer format was read; nothing after it is applied.
    pub newer_format: bool,
    /// Number of control records skipped because they could not be decoded.
    pub skipped: u64,
    /// Plan revision in force.
    pub adopted: PlanRevision,
    /// Newest accepted plan revision.
    pub newest_plan: PlanRevision,
    /// Limits on concurrent loads in force.
    pub limits: StoreLimits,
    /// Daemons that are members.
    pub members: Vec<MemberInfo>,
    /// All known backend servers.
    pub backends: Vec<BackendDump>,
    /// All reservations, sorted by id.
    pub reservations: Vec<ReservationDump>,
    /// Engines owned by this daemon.
    pub engines: Vec<EngineDump>,
    /// Keys that requests wait for, as reported to this daemon.
    pub wanted: Vec<ReplicaKey>,
    /// Number of proposals that are neither applied nor known to be lost.
    pub proposals: usize,
}

impl ControlCore {
    /// Returns the control state for diagnosis.
    #[must_use]
    pub fn dump(&self) -> ControlDump {
        let state = &self.state;
        let members = state.members().values();
        ControlDump {
            daemon: self.config.member.daemon.clone(),
            incarnation: self.incarnation,
            mode: self.mode(),
            lease: self.has_authority(),
            applied: state.applied(),
            plan_read: state.plans().applied(),
            newer_format: self.reader.newer_format,
            skipped: state.skipped(),
            adopted: state.adopted(),
            newest_plan: state.plans().head(),
            limits: state.limits().0,
            members: members.map(|member| member.info.clone()).collect(),
            backends: state.backends().values().map(dump_backend).collect(),
            reservations: self.dump_reservations(),
            engines: self.dump_engines(),
            wanted: self.wanted_keys(),
            proposals: self.proposer.len(),
        }
    }

    fn dump_reservations(&self) -> Vec<ReservationDump> {
        let reservations = self.state.reservations().iter();
        let mut dumps: Vec<_> = reservations
            .map(|(id, state)| ReservationDump {
                id: *id,
                state: state.clone(),
            })
            .collect();
        dumps.sort_by_key(|dump| dump.id);
        dumps
    }

    fn dump_engines(&self) -> Vec<EngineDump> {
        let owned = self.engines.owned.iter();
        owned
            .map(|(backend, engine)| EngineDump {
                backend: backend.clone(),
                fence: engine.fence,
                taken: engine.owned_since,
                settled: engine.takeover_completed.is_some(),
                heard: engine.status.is_some(),
            })
            .collect()
    }
}

fn dump_backend(state: &BackendState) -> BackendDump {
    BackendDump {
        state: state.clone(),
        held: state.reservations.clone(),
    }
}
