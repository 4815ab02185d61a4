//! The snapshot of the control state that traffic threads use for routing.
//!
//! The control thread publishes a new [`RoutingView`] after each change; traffic
//! threads read it without locks and never change it. Successive views share the
//! parts that change rarely.

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

/// Which duties a daemon may currently perform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViewMode {
    /// The daemon has no control state yet and refuses every request.
    #[default]
    Starting,
    /// The daemon routes requests to ready replicas and orders no loads.
    RoutingOnly,
    /// The daemon performs all duties.
    Full,
    /// The daemon is stopping: it finishes the requests that it has.
    Stopping,
}

/// A replica that answers requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReadyReplica {
    /// Reservation under which the replica was loaded.
    pub reservation: ReservationId,
    /// Engine that holds the replica.
    pub backend: BackendId,
}

/// A replica that is reserved or being loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LoadingReplica {
    /// Reservation of the replica.
    pub reservation: ReservationId,
    /// Engine on which the replica is reserved.
    pub backend: BackendId,
    /// When the replica is expected to be ready, by this host's clock.
    pub expected: WallTime,
}

/// A backend server that traffic threads can route to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BackendRoute {
    /// Address at which the backend server listens.
    pub address: SocketAddr,
    /// Availability zone of the backend server.
    pub zone: ZoneName,
    /// Whether the backend server is leaving and gets no new requests.
    pub leaving: bool,
    /// Number of requests running and waiting in the engine's last report, which lags
    /// behind; 0 without a report.
    pub load: u32,
}

/// The versions of a model in the plan, in the order of their rows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ModelEntry {
    /// Versions whose row allows replicas. A request that names no version gets the
    /// first one, or for an adapter the first one with a row for that adapter.
    pub versions: Vec<VersionTag>,
}

/// A plain service in the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ServiceEntry {
    /// Backend servers that answer calls to the service.
    pub backends: Vec<BackendId>,
}

/// The adopted plan, indexed for routing; rebuilt at each adoption.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct PlanCatalog {
    /// Revision of the adopted plan.
    pub revision: PlanRevision,
    /// Rows by target.
    pub rows: IndexMap<RowTarget, Arc<PlanRow>>,
    /// Models by name; rows of adapters are not included.
    pub models: IndexMap<ModelName, ModelEntry>,
}

/// The address at which callers reach a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryAddress {
    /// The daemon.
    pub daemon: DaemonId,
    /// Availability zone of the daemon.
    pub zone: ZoneName,
    /// Address to which callers connect.
    pub address: SocketAddr,
}

/// How long a load would take for a key that has neither a replica nor a
/// reservation, and when to retry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LoadEstimate {
    /// Time until a replica would be ready if its load were ordered now.
    pub start: TimeSpan,
    /// Whether no engine has room for the replica at present; requests for it are then
    /// refused.
    pub blocked: bool,
    /// Time after which callers may retry.
    pub retry_after: TimeSpan,
}

/// The snapshot of the control state that traffic threads use for routing.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RoutingView {
    /// Which duties this daemon may currently perform.
    pub mode: ViewMode,
    /// Offset of the newest control record that the view reflects.
    pub applied: LogOffset,
    /// The adopted plan.
    pub catalog: Arc<PlanCatalog>,
    /// Ready replicas by key.
    pub ready: IndexMap<ReplicaKey, Vec<ReadyReplica>>,
    /// Replicas that are reserved or being loaded, by key.
    pub loading: IndexMap<ReplicaKey, Vec<LoadingReplica>>,
    /// Requested keys that have neither a replica nor a reservation.
    pub estimates: IndexMap<ReplicaKey, LoadEstimate>,
    /// Backend servers by id.
    pub backends: IndexMap<BackendId, BackendRoute>,
    /// Plain services in the plan, by name.
    pub services: IndexMap<ServiceName, ServiceEntry>,
    /// Daemons that callers may connect to.
    pub entries: Vec<EntryAddress>,
    /// Number of backend server crashes during requests with this fingerprint.
    pub suspects: IndexMap<RequestFingerprint, u32>,
}

impl RoutingView {
    /// The row of a target in the adopted plan.
    #[must_use]
    pub fn row(&self, target: &RowTarget) -> Option<&PlanRow> {
        self.catalog.rows.get(target).map(AsRef::as_ref)
    }

    /// Default priority of requests for a target, for those that name none.
    #[must_use]
    pub fn priority(&self, target: &RowTarget) -> PriorityLevel {
        self.row(target)
            .map_or(PriorityLevel::default(), |row| row.priority)
    }
}
