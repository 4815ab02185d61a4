//! What a daemon knows and does, for people.

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
    /// Its id.
    pub id: ReservationId,
    /// What it says.
    #[serde(flatten)]
    pub state: ReservationState,
}

/// A backend server with what is counted on it.
#[derive(Debug, Clone, Serialize)]
pub struct BackendDump {
    /// What the log says.
    #[serde(flatten)]
    pub state: BackendState,
    /// Reservations on it.
    pub held: Vec<ReservationId>,
}

/// Duty for one engine.
#[derive(Debug, Clone, Serialize)]
pub struct EngineDump {
    /// The engine.
    pub backend: BackendId,
    /// Fencing number of this daemon's ownership.
    pub fence: FenceNumber,
    /// When this daemon saw that it owns the engine.
    pub taken: MonoTime,
    /// Whether orders of earlier owners are known to be over.
    pub settled: bool,
    /// Whether its status was read.
    pub heard: bool,
}

/// What a daemon knows and does.
#[derive(Debug, Clone, Serialize)]
pub struct ControlDump {
    /// This daemon.
    pub daemon: DaemonId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// What it may do.
    pub mode: ViewMode,
    /// Whether its read lease holds.
    pub lease: bool,
    /// Control offset applied.
    pub applied: LogOffset,
    /// Plan offset read.
    pub plan_read: LogOffset,
    /// Records of a newer format were met.
    pub newer_format: bool,
    /// Records skipped because they can't be decoded.
    pub skipped: u64,
    /// Revision in force.
    pub adopted: PlanRevision,
    /// Newest accepted revision.
    pub newest_plan: PlanRevision,
    /// Limits in force.
    pub limits: StoreLimits,
    /// Members.
    pub members: Vec<MemberInfo>,
    /// Backend servers.
    pub backends: Vec<BackendDump>,
    /// Reservations.
    pub reservations: Vec<ReservationDump>,
    /// Engines owned by this daemon.
    pub engines: Vec<EngineDump>,
    /// Keys that requests wait for here.
    pub wanted: Vec<ReplicaKey>,
    /// Proposals on their way.
    pub proposals: usize,
}

impl ControlCore {
    /// What this daemon knows and does.
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
            .map(|(backend, duty)| EngineDump {
                backend: backend.clone(),
                fence: duty.fence,
                taken: duty.owned_since,
                settled: duty.former_orders_expired.is_some(),
                heard: duty.status.is_some(),
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
