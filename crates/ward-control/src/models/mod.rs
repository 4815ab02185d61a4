//! The models that this daemon decides about: who waits for them, where they
//! go, and how long idle ones are kept.

mod demand;
mod hints;
mod keep;
mod leaving;
pub(crate) mod pace;
mod place;
mod wake;

use indexmap::IndexMap;
use ward_policy::GapHistory;
use ward_protocol::{
    BackendId, DaemonId, LoadEstimate, MonoTime, PriorityLevel, ReplicaKey, ReservationId,
    RowTarget, WallTime,
};

use crate::core::ControlCore;
use pace::LoadPace;

/// Requests of one daemon that wait for a key.
#[derive(Debug, Clone)]
struct WaitingHint {
    waiting: u32,
    priority: PriorityLevel,
    deadline: WallTime,
    seen: MonoTime,
}

/// Use of a key.
#[derive(Debug, Default)]
struct KeyUsage {
    gaps: GapHistory,
    last: Option<MonoTime>,
    sent: Option<MonoTime>,
}

/// Loads of a key that failed in a row.
#[derive(Debug, Clone, Copy)]
struct FailedLoads {
    count: u32,
    last: MonoTime,
}

/// Replicas that are to make room for a key.
#[derive(Debug)]
struct PendingEviction {
    backend: BackendId,
    victims: Vec<ReservationId>,
    since: MonoTime,
}

/// What this daemon knows about models.
#[derive(Debug, Default)]
pub(crate) struct ModelTable {
    hints: IndexMap<ReplicaKey, IndexMap<DaemonId, WaitingHint>>,
    usage: IndexMap<ReplicaKey, KeyUsage>,
    evictions: IndexMap<ReplicaKey, PendingEviction>,
    failures: IndexMap<ReplicaKey, FailedLoads>,
    own: IndexMap<ReservationId, ReplicaKey>,
    /// Keys that this daemon decides about and that the plan wants ready at some time.
    planned: Vec<ReplicaKey>,
    version: Option<(u64, u64)>,
    /// When this daemon last began to decide.
    since: Option<MonoTime>,
    /// How long loads take.
    pub(crate) pace: LoadPace,
    /// Why keys have no replica on their way.
    pub(crate) estimates: IndexMap<ReplicaKey, LoadEstimate>,
}

impl ModelTable {
    /// Forces a new look at who decides about what.
    pub(crate) fn reset(&mut self) {
        self.version = None;
    }
}

impl ControlCore {
    pub(crate) fn run_models(&mut self) {
        self.sync_planned();
        self.note_failures();
        self.forget_hints();
        self.move_from_leaving();
        let wants = self.collect_wants();
        self.place_wants(wants);
        self.drop_idle();
    }

    /// Whether this daemon decides about a key.
    pub(crate) fn owns_model(&self, key: &ReplicaKey) -> bool {
        self.state.model_owner(key) == Some(self.me())
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
        self.models.since = Some(self.now);
    }
}
