//! Bringing an accepted plan into force.

use ward_protocol::{BackendId, PlanRevision, PlanRow, ReplicaKey, ReservationId};

use super::Verdict;
use crate::backend::BackendState;
use crate::cluster::ClusterState;
use crate::outcome::RejectReason;
use crate::reservation::{ReservationPhase, ReservationState};

impl ClusterState {
    pub(super) fn adopt(&mut self, revision: PlanRevision) -> Verdict {
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

    /// Drains what the plan in force no longer allows of a key.
    ///
    /// Every daemon makes the same choice: replicas that aren't ready go first,
    /// then those with the highest reservation ids.
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
            .filter(|id| !self.is_allowed_place(**id, row.as_deref()))
            .count();
        let surplus = kept.len().saturating_sub(allowed).max(misplaced);
        for id in kept.iter().rev().take(surplus) {
            self.start_drain(*id);
        }
    }

    fn keep_rank(&self, id: ReservationId, row: Option<&PlanRow>) -> (bool, bool, ReservationId) {
        let ready = self.reservations[&id].phase == ReservationPhase::Ready;
        (!self.is_allowed_place(id, row), !ready, id)
    }

    fn is_allowed_place(&self, id: ReservationId, row: Option<&PlanRow>) -> bool {
        let backend = &self.reservations[&id].backend;
        match (row, self.backends.get(backend)) {
            (Some(row), Some(state)) => row_allows(row, state),
            (None, _) | (_, None) => false,
        }
    }

    /// Marks a reservation as draining, and the adapters that stand on it.
    pub(crate) fn start_drain(&mut self, id: ReservationId) {
        let Some(state) = self.reservations.get_mut(&id) else {
            return;
        };
        if state.draining {
            return;
        }
        let before = state.clone();
        state.draining = true;
        self.gate.forget(id, &before);
        if !before.key.is_adapter() {
            for adapter in self.adapters_on(&before.key, &before.backend) {
                self.start_drain(adapter);
            }
        }
    }

    /// Adapters of a base model on an engine.
    fn adapters_on(&self, base: &ReplicaKey, backend: &BackendId) -> Vec<ReservationId> {
        let Some(state) = self.backends.get(backend) else {
            return Vec::new();
        };
        let stands = |state: &ReservationState| state.key.is_adapter() && state.key.base() == *base;
        state
            .reservations
            .iter()
            .copied()
            .filter(|id| self.reservations.get(id).is_some_and(stands))
            .collect()
    }
}

/// Whether a row allows an engine's zone and role.
pub(super) fn row_allows(row: &PlanRow, state: &BackendState) -> bool {
    allows_zone(row, state) && allows_role(row, state)
}

pub(super) fn allows_zone(row: &PlanRow, state: &BackendState) -> bool {
    row.zones.is_empty() || row.zones.contains(&state.info.zone)
}

pub(super) fn allows_role(row: &PlanRow, state: &BackendState) -> bool {
    row.roles.is_empty() || row.roles.contains(&state.effective_role())
}
