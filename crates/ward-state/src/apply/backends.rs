//! Rules for records on backend servers: seen, leaving, gone, yielded, change of role.

use ward_protocol::{
    BackendId, BackendInfo, BackendKind, DaemonId, EngineRole, FenceNumber, Incarnation, MemorySize,
};

use super::{ProposalOrigin, RuleResult};
use crate::backend::{BackendState, FormerOwner};
use crate::cluster::ClusterState;
use crate::outcome::RejectReason;
use crate::ownership::MoveCause;

/// Maximum number of removed backend servers whose ids are kept, so that one that is listed
/// again counts as having had an owner.
const MAX_GONE_BACKENDS: usize = 4_096;

impl ClusterState {
    pub(super) fn backend_seen(
        &mut self,
        origin: &ProposalOrigin,
        info: BackendInfo,
    ) -> RuleResult {
        let id = info.backend.clone();
        if let Some(state) = self.backends.get_mut(&id) {
            // A stale copy of the platform's host list must not clear an engine's `leaving`
            // flag. The engine's owner may clear it, because the engine itself reports to its
            // owner whether it is leaving.
            let trusted = match state.info.kind {
                BackendKind::Engine => state.owner.as_ref() == Some(&origin.sender),
                BackendKind::Service => true,
            };
            let ends_leaving = state.leaving && trusted;
            if state.info == info && !ends_leaving {
                return Err(RejectReason::NoChange);
            }
            state.info = info;
            state.leaving &= !ends_leaving;
            return Ok(());
        }
        let former = self
            .gone
            .shift_remove(&id)
            .map(|_| unknown_former_owner(&origin.sender));
        let state = BackendState {
            info,
            leaving: false,
            role: None,
            owner: None,
            fence: FenceNumber(origin.offset.0),
            former,
            takeover_complete: false,
            yielded: Vec::new(),
            reservations: Vec::new(),
            reserved_memory: MemorySize::ZERO,
        };
        self.backends.insert(id.clone(), state);
        let owner = self.choose_owner(&id);
        self.move_engine(&id, owner, origin.offset, MoveCause::Other);
        Ok(())
    }

    pub(super) fn backend_leaving(&mut self, backend: &BackendId) -> RuleResult {
        let state = self.backend_mut(backend)?;
        if state.leaving {
            return Err(RejectReason::NoChange);
        }
        state.leaving = true;
        Ok(())
    }

    pub(super) fn backend_gone(
        &mut self,
        origin: &ProposalOrigin,
        backend: &BackendId,
    ) -> RuleResult {
        // A stale copy of the platform's host list must not remove an engine that its owner
        // still reaches.
        if self.backend_mut(backend)?.owner.is_some() {
            self.check_owner(origin, backend)?;
        }
        let ids = self.backend_mut(backend)?.reservations.clone();
        for id in ids {
            self.remove_reservation(id);
        }
        self.backends.swap_remove(backend);
        self.gone.insert(backend.clone(), origin.offset);
        if self.gone.len() > MAX_GONE_BACKENDS {
            self.gone.shift_remove_index(0);
        }
        self.owner_version += 1;
        Ok(())
    }

    pub(super) fn yield_engine(
        &mut self,
        origin: &ProposalOrigin,
        backend: &BackendId,
    ) -> RuleResult {
        self.check_owner(origin, backend)?;
        let state = self.backend_mut(backend)?;
        state.yielded.push(origin.sender.clone());
        let owner = self.choose_owner(backend);
        self.move_engine(backend, owner, origin.offset, MoveCause::Other);
        Ok(())
    }

    pub(super) fn change_role(
        &mut self,
        origin: &ProposalOrigin,
        backend: &BackendId,
        role: EngineRole,
    ) -> RuleResult {
        self.check_owner(origin, backend)?;
        let state = self.backend_mut(backend)?;
        if state.role == Some(role) {
            return Err(RejectReason::NoChange);
        }
        if role == EngineRole::Standby && !state.reservations.is_empty() {
            return Err(RejectReason::NotEmpty(backend.clone()));
        }
        state.role = Some(role);
        Ok(())
    }

    pub(super) fn backend_mut(
        &mut self,
        backend: &BackendId,
    ) -> Result<&mut BackendState, RejectReason> {
        self.backends
            .get_mut(backend)
            .ok_or_else(|| RejectReason::UnknownBackend(backend.clone()))
    }

    /// Rejects a record whose sender doesn't own the engine at the record's offset.
    pub(super) fn check_owner(&self, origin: &ProposalOrigin, backend: &BackendId) -> RuleResult {
        let state = self
            .backends
            .get(backend)
            .ok_or_else(|| RejectReason::UnknownBackend(backend.clone()))?;
        let is_engine = state.info.kind == BackendKind::Engine;
        if is_engine && state.owner.as_ref() == Some(&origin.sender) {
            return Ok(());
        }
        Err(RejectReason::NotOwner(backend.clone()))
    }
}

/// Placeholder for the unknown former owner of a backend server that was removed and is
/// listed again. No daemon has this incarnation, so no release notice can shorten the
/// wait of the new owner.
fn unknown_former_owner(daemon: &DaemonId) -> FormerOwner {
    FormerOwner {
        daemon: daemon.clone(),
        incarnation: Incarnation::default(),
        fence: FenceNumber::default(),
        clean: false,
    }
}
