//! What traffic threads see of the control state.
//!
//! The control thread publishes a new [`RoutingView`] after each change;
//! traffic threads read it without locks and never change it. The parts that
//! change rarely are shared between successive views.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{
    BackendId, DaemonId, LogOffset, ModelName, PlanRevision, RequestFingerprint, ReservationId,
    ServiceName, VersionTag, ZoneName,
};
use crate::plan::{PlanRow, ReplicaKey, RowTarget};
use crate::time::{TimeSpan, WallTime};
use crate::unit::PriorityLevel;

/// How much a daemon may do at the moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViewMode {
    /// No state yet: every request is refused.
    #[default]
    Starting,
    /// Ready replicas are served; nothing new is loaded.
    RoutingOnly,
    /// All duties.
    Full,
    /// Stopping: what it has is finished.
    Stopping,
}

/// A replica that answers requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReadyReplica {
    /// Its reservation.
    pub reservation: ReservationId,
    /// Its engine.
    pub backend: BackendId,
}

/// A replica on its way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LoadingReplica {
    /// Its reservation.
    pub reservation: ReservationId,
    /// Its engine.
    pub backend: BackendId,
    /// When it should answer, by this host's clock.
    pub expected: WallTime,
}

/// A backend server as seen by traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BackendRoute {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is leaving and gets nothing new.
    pub leaving: bool,
    /// Reported requests, running and waiting; lags.
    pub load: u32,
}

/// The versions of a model in the plan, newest row last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ModelEntry {
    /// Version that an unpinned name means: the first row of the plan with replicas.
    pub versions: Vec<VersionTag>,
}

/// A plain service in the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ServiceEntry {
    /// Backend servers that answer it.
    pub backends: Vec<BackendId>,
}

/// The adopted plan as traffic needs it; rebuilt at each adoption.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct PlanCatalog {
    /// Revision in force.
    pub revision: PlanRevision,
    /// Rows by target.
    pub rows: IndexMap<RowTarget, Arc<PlanRow>>,
    /// Models by name, base rows only.
    pub models: IndexMap<ModelName, ModelEntry>,
}

/// The address of a daemon for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryAddress {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub address: SocketAddr,
}

/// Why a key has no replica on its way, and when to ask again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LoadEstimate {
    /// Time until a replica could answer if it were ordered now.
    pub start: TimeSpan,
    /// Whether a load is impossible for now.
    pub blocked: bool,
    /// When to come back.
    pub retry_after: TimeSpan,
}

/// What traffic threads see of the control state.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RoutingView {
    /// What this daemon may do.
    pub mode: ViewMode,
    /// Control offset that the view reflects.
    pub applied: LogOffset,
    /// The adopted plan.
    pub catalog: Arc<PlanCatalog>,
    /// Replicas that answer requests.
    pub ready: IndexMap<ReplicaKey, Vec<ReadyReplica>>,
    /// Replicas on their way.
    pub loading: IndexMap<ReplicaKey, Vec<LoadingReplica>>,
    /// Wanted keys without a replica on its way.
    pub estimates: IndexMap<ReplicaKey, LoadEstimate>,
    /// Backend servers.
    pub backends: IndexMap<BackendId, BackendRoute>,
    /// Plain services.
    pub services: IndexMap<ServiceName, ServiceEntry>,
    /// Daemons that callers may use.
    pub entries: Vec<EntryAddress>,
    /// Crashes counted per request fingerprint.
    pub suspects: IndexMap<RequestFingerprint, u32>,
}

impl RoutingView {
    /// The row of a target in the adopted plan.
    #[must_use]
    pub fn row(&self, target: &RowTarget) -> Option<&PlanRow> {
        self.catalog.rows.get(target).map(AsRef::as_ref)
    }

    /// The priority of a target's requests that name none.
    #[must_use]
    pub fn priority(&self, target: &RowTarget) -> PriorityLevel {
        self.row(target)
            .map_or(PriorityLevel::default(), |row| row.priority)
    }
}
