//! Rules for records on reservations: reserve, ready, drain, release and found.

use ward_protocol::{BackendId, MemorySize, PriorityLevel, ReplicaKey, ReservationId, WallTime};

use super::plan::{allows_role, allows_zone};
use super::{ProposalOrigin, RuleResult};
use crate::cluster::ClusterState;
use crate::outcome::RejectReason;
use crate::reservation::{ReservationPhase, ReservationState};

/// Content of a `Reserve` record: a replica to load and its memory.
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
    ) -> RuleResult {
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

    /// Checks a proposal against the plan's row for its key: replicas, memory, zone and role.
    fn check_row(&self, proposal: &ReserveProposal) -> RuleResult {
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

    /// Checks that the engine is loadable, has no reservation of the key, has the memory and,
    /// for an adapter, serves the base model.
    fn check_engine(&mut self, proposal: &ReserveProposal) -> RuleResult {
        let id = &proposal.backend;
        let existing = self.reservation_on(&proposal.key, id);
        let base = self.reservation_on(&proposal.key.base(), id);
        let base_is_serving = base.is_some_and(|base| self.reservations[&base].is_serving());
        let backend = self.backend_mut(id)?;
        if !backend.is_loadable() {
            return Err(RejectReason::NotLoadable(id.clone()));
        }
        if existing.is_some() {
            return Err(RejectReason::AlreadyHeld(id.clone()));
        }
        if proposal.memory > backend.free() {
            return Err(RejectReason::NoMemory(id.clone(), backend.free()));
        }
        if proposal.key.is_adapter() && !base_is_serving {
            return Err(RejectReason::NoBase(id.clone()));
        }
        Ok(())
    }

    pub(super) fn ready(&mut self, origin: &ProposalOrigin, id: ReservationId) -> RuleResult {
        let state = self.owned_reservation(origin, id)?;
        if state.phase != ReservationPhase::Loading {
            return Err(RejectReason::WrongPhase(id));
        }
        let before = state.clone();
        self.gate.remove(id, &before);
        if let Some(state) = self.reservations.get_mut(&id) {
            state.phase = ReservationPhase::Ready;
        }
        Ok(())
    }

    pub(super) fn drain(&mut self, id: ReservationId) -> RuleResult {
        let Some(state) = self.reservations.get(&id) else {
            return Err(RejectReason::UnknownReservation(id));
        };
        if state.draining {
            return Err(RejectReason::NoChange);
        }
        self.start_drain(id);
        Ok(())
    }

    pub(super) fn release(&mut self, origin: &ProposalOrigin, id: ReservationId) -> RuleResult {
        let state = self.owned_reservation(origin, id)?.clone();
        self.start_drain(id);
        self.remove_reservation(id);
        self.complete_takeover(&state.backend);
        Ok(())
    }

    /// Reserves memory for a replica that an engine already holds, or raises the memory of
    /// its reservation. The limits of the plan and of the engine's memory don't apply,
    /// because the replica already takes the memory.
    pub(super) fn found(
        &mut self,
        origin: &ProposalOrigin,
        backend: BackendId,
        key: ReplicaKey,
        memory: MemorySize,
    ) -> RuleResult {
        self.check_owner(origin, &backend)?;
        self.complete_takeover(&backend);
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

    /// Records that the owner's takeover is complete. Owners write `Release` and `Found`
    /// records only once all orders of earlier owners have expired.
    fn complete_takeover(&mut self, backend: &BackendId) {
        if let Some(state) = self.backends.get_mut(backend) {
            state.takeover_complete = true;
        }
    }
}
