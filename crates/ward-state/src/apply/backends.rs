//! Backend servers coming, leaving, changing role and owner.

use ward_protocol::{
    BackendId, BackendInfo, BackendKind, DaemonId, EngineRole, FenceNumber, Incarnation, MemorySize,
};

use super::{ProposalOrigin, Verdict};
use crate::backend::{BackendState, FormerOwner};
use crate::cluster::ClusterState;
use crate::outcome::RejectReason;
use crate::ownership::MoveCause;

/// Backend servers that are remembered after they have gone.
const GONE_LIMIT: usize = 4_096;

impl ClusterState {
    pub(super) fn backend_seen(&mut self, origin: &ProposalOrigin, info: BackendInfo) -> Verdict {
        let id = info.backend.clone();
        if let Some(state) = self.backends.get_mut(&id) {
            // A copy of the list that lags must not take back that an engine
            // leaves; its owner may, who hears it from the engine itself.
            let trusted = match state.info.kind {
                BackendKind::Engine => state.owner.as_ref() == Some(&origin.sender),
                BackendKind::Service => true,
            };
            let stays = state.leaving && trusted;
            if state.info == info && !stays {
                return Err(RejectReason::NoChange);
            }
            state.info = info;
            state.leaving &= !stays;
            return Ok(());
        }
        let former = self
            .gone
            .shift_remove(&id)
            .map(|_| unknown_former(&origin.sender));
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

    pub(super) fn backend_leaving(&mut self, backend: &BackendId) -> Verdict {
        let state = self.known_backend(backend)?;
        if state.leaving {
            return Err(RejectReason::NoChange);
        }
        state.leaving = true;
        Ok(())
    }

    pub(super) fn backend_gone(&mut self, origin: &ProposalOrigin, backend: &BackendId) -> Verdict {
        // A list that lags must not make others forget an engine that its owner hears.
        if self.known_backend(backend)?.owner.is_some() {
            self.check_owner(origin, backend)?;
        }
        let held = self.known_backend(backend)?.reservations.clone();
        for id in held {
            self.remove_reservation(id);
        }
        self.backends.swap_remove(backend);
        self.gone.insert(backend.clone(), origin.offset);
        if self.gone.len() > GONE_LIMIT {
            self.gone.shift_remove_index(0);
        }
        self.owner_version += 1;
        Ok(())
    }

    pub(super) fn yield_engine(&mut self, origin: &ProposalOrigin, backend: &BackendId) -> Verdict {
        self.check_owner(origin, backend)?;
        let state = self.known_backend(backend)?;
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
    ) -> Verdict {
        self.check_owner(origin, backend)?;
        let state = self.known_backend(backend)?;
        if state.role == Some(role) {
            return Err(RejectReason::NoChange);
        }
        if role == EngineRole::Standby && !state.reservations.is_empty() {
            return Err(RejectReason::NotEmpty(backend.clone()));
        }
        state.role = Some(role);
        Ok(())
    }

    pub(super) fn known_backend(
        &mut self,
        backend: &BackendId,
    ) -> Result<&mut BackendState, RejectReason> {
        self.backends
            .get_mut(backend)
            .ok_or_else(|| RejectReason::UnknownBackend(backend.clone()))
    }

    /// Whether the sender owns an engine at its record's offset.
    pub(super) fn check_owner(&self, origin: &ProposalOrigin, backend: &BackendId) -> Verdict {
        let state = self
            .backends
            .get(backend)
            .ok_or_else(|| RejectReason::UnknownBackend(backend.clone()))?;
        let engine = state.info.kind == BackendKind::Engine;
        if engine && state.owner.as_ref() == Some(&origin.sender) {
            return Ok(());
        }
        Err(RejectReason::NotOwner(backend.clone()))
    }
}

/// Stands for whoever owned a backend server that was gone and has come back:
/// no daemon has this life, so no release notice can end the wait early.
fn unknown_former(daemon: &DaemonId) -> FormerOwner {
    FormerOwner {
        daemon: daemon.clone(),
        incarnation: Incarnation::default(),
        fence: FenceNumber::default(),
        clean: false,
    }
}
