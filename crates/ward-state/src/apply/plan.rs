//! Adoption of an accepted plan revision, which brings it into force.

use ward_protocol::{BackendId, PlanRevision, PlanRow, ReplicaKey, ReservationId};

use super::RuleResult;
use crate::backend::BackendState;
use crate::cluster::ClusterState;
use crate::outcome::RejectReason;
use crate::reservation::{ReservationPhase, ReservationState};

impl ClusterState {
    pub(super) fn adopt(&mut self, revision: PlanRevision) -> RuleResult {
        if revision <= self.adopted {
            return Err(RejectReason::OldRevision(self.adopted));
        }
        let content = self
            .plans
            .content_at(revision)
            .ok_or(RejectReason::UnknownRevision(revision))?;
        self.adopted = revision;
        self.content = content;
        let keys: Vec<_> = self.by_key.keys().cloned().collect();
        for key in keys {
            self.drain_surplus(&key);
        }
        Ok(())
    }

    /// Drains the replicas of a key that the plan in force no longer allows.
    ///
    /// Every daemon makes the same choice: replicas on engines that the row doesn't allow
    /// are drained first, then those that aren't ready, then those with the highest
    /// reservation ids.
    pub(crate) fn drain_surplus(&mut self, key: &ReplicaKey) {
        let row = self.row(key).cloned();
        let allowed = row.as_ref().map_or(0, |row| usize::from(row.replicas));
        let mut kept: Vec<_> = self
            .reservations_of(key)
            .iter()
            .filter(|id| !self.reservations[*id].draining)
            .copied()
            .collect();
        kept.sort_by_key(|id| self.keep_rank(*id, row.as_deref()));
        let misplaced = kept
            .iter()
            .filter(|id| !self.is_placement_allowed(**id, row.as_deref()))
            .count();
        let surplus = kept.len().saturating_sub(allowed).max(misplaced);
        for id in kept.iter().rev().take(surplus) {
            self.start_drain(*id);
        }
    }

    /// Order in which reservations of a key are kept, lowest first.
    fn keep_rank(&self, id: ReservationId, row: Option<&PlanRow>) -> (bool, bool, ReservationId) {
        let ready = self.reservations[&id].phase == ReservationPhase::Ready;
        (!self.is_placement_allowed(id, row), !ready, id)
    }

    fn is_placement_allowed(&self, id: ReservationId, row: Option<&PlanRow>) -> bool {
        let backend = &self.reservations[&id].backend;
        match (row, self.backends.get(backend)) {
            (Some(row), Some(state)) => row_allows(row, state),
            (None, _) | (_, None) => false,
        }
    }

    /// Marks a reservation as draining and, for a base model, its adapters on the engine.
    pub(crate) fn start_drain(&mut self, id: ReservationId) {
        let Some(state) = self.reservations.get_mut(&id) else {
            return;
        };
        if state.draining {
            return;
        }
        let before = state.clone();
        state.draining = true;
        self.gate.remove(id, &before);
        if !before.key.is_adapter() {
            for adapter in self.adapters_on(&before.key, &before.backend) {
                self.start_drain(adapter);
            }
        }
    }

    /// Reservations of adapters of a base model on an engine.
    fn adapters_on(&self, base: &ReplicaKey, backend: &BackendId) -> Vec<ReservationId> {
        let Some(state) = self.backends.get(backend) else {
            return Vec::new();
        };
        let depends =
            |state: &ReservationState| state.key.is_adapter() && state.key.base() == *base;
        state
            .reservations
            .iter()
            .copied()
            .filter(|id| self.reservations.get(id).is_some_and(depends))
            .collect()
    }
}

/// Whether a plan row allows the availability zone and role of an engine.
pub(super) fn row_allows(row: &PlanRow, state: &BackendState) -> bool {
    allows_zone(row, state) && allows_role(row, state)
}

pub(super) fn allows_zone(row: &PlanRow, state: &BackendState) -> bool {
    row.zones.is_empty() || row.zones.contains(&state.info.zone)
}

pub(super) fn allows_role(row: &PlanRow, state: &BackendState) -> bool {
    row.roles.is_empty() || row.roles.contains(&state.effective_role())
}
