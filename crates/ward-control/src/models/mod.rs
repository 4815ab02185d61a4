//! Decisions about the models that this daemon owns: which replicas are demanded,
//! on which engines they are placed, and how long idle ones are kept.

mod demand;
mod hints;
mod keep;
mod leaving;
pub(crate) mod load_times;
pub(crate) mod own;
mod place;
mod wake;

use indexmap::IndexMap;
use ward_policy::GapHistory;
use ward_protocol::{
    BackendId, DaemonId, LoadEstimate, LogOffset, MonoTime, PriorityLevel, ReplicaKey,
    ReservationId, RowTarget, WallTime,
};

use crate::core::ControlCore;
use load_times::LoadTimes;
use own::OwnKeys;

/// Requests of one daemon that wait for a key, as last reported.
#[derive(Debug, Clone)]
struct WaitingHint {
    waiting: u32,
    priority: PriorityLevel,
    deadline: WallTime,
    received: MonoTime,
}

/// When a key was used, as far as this daemon knows.
#[derive(Debug, Default)]
struct KeyUsage {
    /// Times between requests.
    gaps: GapHistory,
    /// Last use of the key or, for a base model, of one of its adapters.
    last_use: Option<MonoTime>,
    /// When the use was last reported to other daemons.
    last_report: Option<MonoTime>,
}

/// Loads of a key that failed in a row, and when the last one did.
#[derive(Debug, Clone, Copy)]
struct FailedLoads {
    count: u32,
    last: MonoTime,
}

/// Replicas that are drained to make room for a key on an engine.
#[derive(Debug)]
struct PendingEviction {
    backend: BackendId,
    victims: Vec<ReservationId>,
    started: MonoTime,
}

/// What this daemon knows about models and their replicas.
#[derive(Debug, Default)]
pub(crate) struct ModelTable {
    /// Waiting requests by key and by the daemon at which they wait.
    hints: IndexMap<ReplicaKey, IndexMap<DaemonId, WaitingHint>>,
    usage: IndexMap<ReplicaKey, KeyUsage>,
    /// Evictions in progress, by the key that they make room for.
    evictions: IndexMap<ReplicaKey, PendingEviction>,
    failed_loads: IndexMap<ReplicaKey, FailedLoads>,
    /// Reservations that were neither ready nor draining at `failed_loads_checked`.
    loading: IndexMap<ReservationId, ReplicaKey>,
    /// Control offset applied when failed loads were last counted.
    failed_loads_checked: LogOffset,
    pub(crate) own_keys: OwnKeys,
    /// Keys that this daemon decides about and that the plan wants ready at some time.
    planned: Vec<ReplicaKey>,
    /// Member version and plan revision for which `planned` was computed.
    version: Option<(u64, u64)>,
    /// When `planned` was last computed. Idle times count from here at the earliest, since
    /// this daemon may have begun to decide about a key only then.
    deciding_since: Option<MonoTime>,
    /// Estimate of load times.
    pub(crate) load_times: LoadTimes,
    /// Estimates for keys that can't be placed on any engine now.
    pub(crate) estimates: IndexMap<ReplicaKey, LoadEstimate>,
}

impl ModelTable {
    /// Makes the next step compute again which keys this daemon decides about.
    pub(crate) fn reset(&mut self) {
        self.version = None;
        self.own_keys.reset();
    }
}

impl ControlCore {
    pub(crate) fn run_models(&mut self) {
        self.sync_planned();
        self.sync_own_keys();
        self.record_failed_loads();
        self.remove_expired_hints();
        self.drain_leaving_engines();
        let demands = self.collect_demands();
        self.place_demands(demands);
        self.drain_idle_replicas();
    }

    /// Whether this daemon decides about a key.
    pub(crate) fn owns_model(&self, key: &ReplicaKey) -> bool {
        self.state.model_owner(key) == Some(self.own_id())
    }

    fn sync_planned(&mut self) {
        let version = (self.state.member_version(), self.state.adopted().0);
        if self.models.version == Some(version) {
            return;
        }
        self.models.version = Some(version);
        let rows = self.state.content().values();
        let planned = rows
            .filter(|row| row.ready > 0)
            .filter_map(|row| match &row.target {
                RowTarget::Replica(key) => Some(key),
                RowTarget::Service(_) => None,
            })
            .filter(|key| self.owns_model(key))
            .cloned()
            .collect();
        self.models.planned = planned;
        self.models.deciding_since = Some(self.now);
    }
}
