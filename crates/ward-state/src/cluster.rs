//! The replicated state and its read access.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::{
    BackendId, DaemonId, Incarnation, LogOffset, MemorySize, PlanRevision, PlanRow, ReplicaKey,
    ReservationId, RowTarget, StoreLimits,
};

use crate::admission::LoadGate;
use crate::backend::BackendState;
use crate::member::MemberState;
use crate::plans::{PlanContent, PlanHistory};
use crate::recent::RecentIds;
use crate::reservation::ReservationState;
use crate::suspect::SuspectList;

/// The replicated control state of a deployment: plan in force, members, backend servers,
/// reservations, and requests suspected of crashing backend servers.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ClusterState {
    pub(crate) applied: LogOffset,
    pub(crate) skipped: u64,
    pub(crate) plans: PlanHistory,
    pub(crate) adopted: PlanRevision,
    pub(crate) limits: StoreLimits,
    pub(crate) limits_base: LogOffset,
    pub(crate) members: IndexMap<DaemonId, MemberState>,
    #[serde(rename = "last_lives")]
    pub(crate) last_incarnations: IndexMap<DaemonId, Incarnation>,
    pub(crate) backends: IndexMap<BackendId, BackendState>,
    /// Removed backend servers and the offsets of the records that removed them.
    pub(crate) gone: IndexMap<BackendId, LogOffset>,
    pub(crate) reservations: IndexMap<ReservationId, ReservationState>,
    pub(crate) suspects: SuspectList,
    /// Ids of the last control records, to detect duplicates.
    pub(crate) recent: RecentIds,
    /// Rows of the adopted plan; derived from `plans`.
    #[serde(skip)]
    pub(crate) content: Arc<PlanContent>,
    #[serde(skip)]
    pub(crate) by_key: IndexMap<ReplicaKey, Vec<ReservationId>>,
    #[serde(skip)]
    pub(crate) gate: LoadGate,
    #[serde(skip)]
    pub(crate) owner_version: u64,
    #[serde(skip)]
    pub(crate) member_version: u64,
}

impl ClusterState {
    /// Offset of the last control record that was applied, rejected or skipped.
    #[must_use]
    pub const fn applied(&self) -> LogOffset {
        self.applied
    }

    /// Number of control records that were skipped because they could not be decoded.
    #[must_use]
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    /// The plan revisions read so far, which may be ahead of the one in force.
    #[must_use]
    pub const fn plans(&self) -> &PlanHistory {
        &self.plans
    }

    /// The plan revision in force, set by the last `Adopt` record that was applied.
    #[must_use]
    pub const fn adopted(&self) -> PlanRevision {
        self.adopted
    }

    /// The rows of the plan in force.
    #[must_use]
    pub const fn content(&self) -> &Arc<PlanContent> {
        &self.content
    }

    /// The row of a replica key in the plan in force; `None` if the plan has none.
    #[must_use]
    pub fn row(&self, key: &ReplicaKey) -> Option<&Arc<PlanRow>> {
        self.content.get(&RowTarget::Replica(key.clone()))
    }

    /// Limits on concurrent loads from the weight store, and the offset of the record
    /// that set them, which the next change must name as its base.
    #[must_use]
    pub const fn limits(&self) -> (StoreLimits, LogOffset) {
        (self.limits, self.limits_base)
    }

    /// Current members by daemon id.
    #[must_use]
    pub const fn members(&self) -> &IndexMap<DaemonId, MemberState> {
        &self.members
    }

    /// Whether a daemon is a member with this incarnation.
    #[must_use]
    pub fn is_member(&self, daemon: &DaemonId, incarnation: Incarnation) -> bool {
        self.members
            .get(daemon)
            .is_some_and(|member| member.info.incarnation == incarnation)
    }

    /// The newest incarnation with which a daemon has joined; kept after it has left,
    /// for a limited number of daemons.
    #[must_use]
    pub fn last_incarnation(&self, daemon: &DaemonId) -> Option<Incarnation> {
        self.last_incarnations.get(daemon).copied()
    }

    /// Backend servers (engines and services) by id.
    #[must_use]
    pub const fn backends(&self) -> &IndexMap<BackendId, BackendState> {
        &self.backends
    }

    /// Reservations by id.
    #[must_use]
    pub const fn reservations(&self) -> &IndexMap<ReservationId, ReservationState> {
        &self.reservations
    }

    /// Reservations of a replica key, oldest first; draining ones are included.
    #[must_use]
    pub fn reservations_of(&self, key: &ReplicaKey) -> &[ReservationId] {
        self.by_key.get(key).map_or(&[], Vec::as_slice)
    }

    /// Replica keys with at least one reservation.
    pub fn reserved_keys(&self) -> impl Iterator<Item = &ReplicaKey> {
        self.by_key.keys()
    }

    /// The reservation of a replica key on an engine.
    #[must_use]
    pub fn reservation_on(&self, key: &ReplicaKey, backend: &BackendId) -> Option<ReservationId> {
        self.reservations_of(key)
            .iter()
            .copied()
            .find(|id| self.reservations[id].backend == *backend)
    }

    /// Requests that were running when backend servers crashed.
    #[must_use]
    pub const fn suspects(&self) -> &SuspectList {
        &self.suspects
    }

    /// Counter that grows whenever an engine changes its owner or a backend server is
    /// added or removed; local to this process, not part of a snapshot.
    #[must_use]
    pub const fn owner_version(&self) -> u64 {
        self.owner_version
    }

    /// Counter that grows whenever the members change; local to this process, not part
    /// of a snapshot.
    #[must_use]
    pub const fn member_version(&self) -> u64 {
        self.member_version
    }

    pub(crate) fn insert_reservation(&mut self, id: ReservationId, state: ReservationState) {
        self.index_reservation(id, &state);
        self.reservations.insert(id, state);
    }

    pub(crate) fn remove_reservation(&mut self, id: ReservationId) -> Option<ReservationState> {
        let state = self.reservations.swap_remove(&id)?;
        if let Some(ids) = self.by_key.get_mut(&state.key) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.by_key.swap_remove(&state.key);
            }
        }
        if let Some(backend) = self.backends.get_mut(&state.backend) {
            backend.reservations.retain(|other| *other != id);
            backend.reserved_memory = backend.reserved_memory.saturating_sub(state.memory);
        }
        self.gate.remove(id, &state);
        Some(state)
    }

    /// Raises the memory of a reservation to `memory`, which its replica really takes.
    pub(crate) fn grow_reservation(&mut self, id: ReservationId, memory: MemorySize) {
        let Some(state) = self.reservations.get_mut(&id) else {
            return;
        };
        let growth = memory.saturating_sub(state.memory);
        state.memory = state.memory.saturating_add(growth);
        if let Some(backend) = self.backends.get_mut(&state.backend) {
            backend.reserved_memory = backend.reserved_memory.saturating_add(growth);
        }
    }

    /// Rebuilds the derived fields that a snapshot doesn't contain.
    pub(crate) fn rebuild_indexes(&mut self) {
        self.content = self.plans.content_at(self.adopted).unwrap_or_default();
        self.by_key.clear();
        self.gate = LoadGate::default();
        let mut all: Vec<_> = std::mem::take(&mut self.reservations).into_iter().collect();
        let mut sorted: Vec<_> = all.iter().map(|(id, state)| (*id, state.clone())).collect();
        sorted.sort_unstable_by_key(|(id, _)| *id);
        for (id, state) in &sorted {
            self.index_reservation(*id, state);
        }
        self.reservations = all.drain(..).collect();
    }

    fn index_reservation(&mut self, id: ReservationId, state: &ReservationState) {
        self.by_key.entry(state.key.clone()).or_default().push(id);
        if let Some(backend) = self.backends.get_mut(&state.backend) {
            backend.reservations.push(id);
            backend.reserved_memory = backend.reserved_memory.saturating_add(state.memory);
        }
        self.gate.track(id, state);
    }
}
