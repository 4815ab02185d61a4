//! Bringing engines back from standby.

use ward_protocol::{BackendId, EngineRole, PeerMessage, PlanRow, WakeHint};
use ward_state::BackendState;

use super::demand::ReplicaDemand;
use crate::core::ControlCore;

fn is_suitable_standby(row: &PlanRow, state: &BackendState) -> bool {
    let zone = row.zones.is_empty() || row.zones.contains(&state.info.zone);
    let role = row.roles.is_empty() || row.roles.contains(&EngineRole::Serving);
    let standby = state.role == Some(EngineRole::Standby) && !state.leaving;
    standby && zone && role && state.info.memory >= row.memory
}

impl ControlCore {
    pub(super) fn has_standby(&self, row: &PlanRow) -> bool {
        self.first_standby(row).is_some()
    }

    /// An engine in standby that could hold a row's replica.
    fn first_standby(&self, row: &PlanRow) -> Option<BackendId> {
        let backends = self.state.backends().iter();
        backends
            .filter(|(_, state)| is_suitable_standby(row, state))
            .map(|(backend, _)| backend.clone())
            .min()
    }

    /// Asks the owner of an engine in standby to bring it back.
    pub(super) fn request_standby_engine(&mut self, demand: &ReplicaDemand, row: &PlanRow) {
        let Some(backend) = self.first_standby(row) else {
            return;
        };
        let owner = self.state.backends()[&backend].owner.clone();
        let Some(owner) = owner else {
            return;
        };
        if owner == *self.own_id() {
            self.propose_role(&backend, EngineRole::Serving);
            return;
        }
        let hint = WakeHint {
            key: demand.key.clone(),
            waiting: 1,
            priority: demand.priority,
            deadline: demand.deadline,
        };
        self.send(&owner, PeerMessage::Wake(hint));
    }

    /// A model owner found no engine: bring back one of this daemon's own.
    pub(super) fn wake_engine(&mut self, hint: &WakeHint) {
        if !self.has_authority() {
            return;
        }
        let Some(row) = self.state.row(&hint.key).cloned() else {
            return;
        };
        let Some(backend) = self.first_standby(&row) else {
            return;
        };
        if self.engines.owned.contains_key(&backend) {
            self.propose_role(&backend, EngineRole::Serving);
        }
    }
}
