//! Reservations from their proposal to their release.

use ward_protocol::{BackendId, MemorySize, PriorityLevel, ReplicaKey, ReservationId, WallTime};

use super::plan::{allows_role, allows_zone};
use super::{ProposalOrigin, Verdict};
use crate::cluster::ClusterState;
use crate::outcome::RejectReason;
use crate::reservation::{ReservationPhase, ReservationState};

/// A replica that somebody wants counted.
#[derive(Debug, Clone)]
pub(super) struct ReserveProposal {
    pub(super) key: ReplicaKey,
    pub(super) backend: BackendId,
    pub(super) memory: MemorySize,
    pub(super) priority: PriorityLevel,
    pub(super) deadline: WallTime,
}

impl ClusterState {
    pub(super) fn reserve(
        &mut self,
        origin: &ProposalOrigin,
        proposal: ReserveProposal,
    ) -> Verdict {
        self.check_row(&proposal)?;
        self.check_engine(&proposal)?;
        let state = ReservationState {
            key: proposal.key,
            backend: proposal.backend,
            memory: proposal.memory,
            priority: proposal.priority,
            deadline: proposal.deadline,
            phase: ReservationPhase::Waiting,
            draining: false,
        };
        self.insert_reservation(ReservationId(origin.offset.0), state);
        Ok(())
    }

    fn check_row(&self, proposal: &ReserveProposal) -> Verdict {
        let key = &proposal.key;
        let row = self
            .row(key)
            .ok_or_else(|| RejectReason::NoRow(key.clone()))?;
        if self.reservations_of(key).len() >= usize::from(row.replicas) {
            return Err(RejectReason::ReplicaLimit(key.clone(), row.replicas));
        }
        if proposal.memory != row.memory {
            return Err(RejectReason::WrongMemory(row.memory));
        }
        let backend = self
            .backends
            .get(&proposal.backend)
            .ok_or_else(|| RejectReason::UnknownBackend(proposal.backend.clone()))?;
        if !allows_zone(row, backend) {
            return Err(RejectReason::WrongZone(proposal.backend.clone()));
        }
        if !allows_role(row, backend) {
            return Err(RejectReason::WrongRole(proposal.backend.clone()));
        }
        Ok(())
    }

    fn check_engine(&mut self, proposal: &ReserveProposal) -> Verdict {
        let id = &proposal.backend;
        let held = self.reservation_on(&proposal.key, id);
        let base = self.reservation_on(&proposal.key.base(), id);
        let based = base.is_some_and(|base| self.reservations[&base].is_serving());
        let backend = self.known_backend(id)?;
        if !backend.is_loadable() {
            return Err(RejectReason::NotLoadable(id.clone()));
        }
        if held.is_some() {
            return Err(RejectReason::AlreadyHeld(id.clone()));
        }
        if proposal.memory > backend.free() {
            return Err(RejectReason::NoMemory(id.clone(), backend.free()));
        }
        if proposal.key.is_adapter() && !based {
            return Err(RejectReason::NoBase(id.clone()));
        }
        Ok(())
    }

    pub(super) fn ready(&mut self, origin: &ProposalOrigin, id: ReservationId) -> Verdict {
        let state = self.owned_reservation(origin, id)?;
        if state.phase != ReservationPhase::Loading {
            return Err(RejectReason::WrongPhase(id));
        }
        let before = state.clone();
        self.gate.forget(id, &before);
        if let Some(state) = self.reservations.get_mut(&id) {
            state.phase = ReservationPhase::Ready;
        }
        Ok(())
    }

    pub(super) fn drain(&mut self, id: ReservationId) -> Verdict {
        let Some(state) = self.reservations.get(&id) else {
            return Err(RejectReason::UnknownReservation(id));
        };
        if state.draining {
            return Err(RejectReason::NoChange);
        }
        self.start_drain(id);
        Ok(())
    }

    pub(super) fn release(&mut self, origin: &ProposalOrigin, id: ReservationId) -> Verdict {
        let state = self.owned_reservation(origin, id)?.clone();
        self.start_drain(id);
        self.remove_reservation(id);
        self.settle(&state.backend);
        Ok(())
    }

    /// Counts a replica that an engine holds, even beyond plan or memory: it is there.
    pub(super) fn found(
        &mut self,
        origin: &ProposalOrigin,
        backend: BackendId,
        key: ReplicaKey,
        memory: MemorySize,
    ) -> Verdict {
        self.check_owner(origin, &backend)?;
        self.settle(&backend);
        if let Some(id) = self.reservation_on(&key, &backend) {
            if memory <= self.reservations[&id].memory {
                return Err(RejectReason::NoChange);
            }
            self.grow_reservation(id, memory);
            return Ok(());
        }
        let state = ReservationState {
            key,
            backend,
            memory,
            priority: PriorityLevel::LAST,
            deadline: WallTime::default(),
            phase: ReservationPhase::Found,
            draining: true,
        };
        self.insert_reservation(ReservationId(origin.offset.0), state);
        Ok(())
    }

    fn owned_reservation(
        &self,
        origin: &ProposalOrigin,
        id: ReservationId,
    ) -> Result<&ReservationState, RejectReason> {
        let state = self
            .reservations
            .get(&id)
            .ok_or(RejectReason::UnknownReservation(id))?;
        self.check_owner(origin, &state.backend)?;
        Ok(state)
    }

    /// Owners write releases and finds only once orders of earlier owners are over.
    fn settle(&mut self, backend: &BackendId) {
        if let Some(state) = self.backends.get_mut(backend) {
            state.takeover_complete = true;
        }
    }
}
