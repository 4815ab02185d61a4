//! Wakes engines, that is, returns them from standby to serving, for replicas that cannot
//! be placed on the engines that are awake.

use ward_protocol::{BackendId, EngineRole, PeerMessage, PlanRow, WakeHint};
use ward_state::BackendState;

use super::demand::ReplicaDemand;
use crate::core::ControlCore;

/// Whether an engine is in standby and, once serving, could hold a replica of a row.
fn is_suitable_standby(row: &PlanRow, state: &BackendState) -> bool {
    let zone = row.zones.is_empty() || row.zones.contains(&state.info.zone);
    let role = row.roles.is_empty() || row.roles.contains(&EngineRole::Serving);
    let standby = state.role == Some(EngineRole::Standby) && !state.leaving;
    standby && zone && role && state.info.memory >= row.memory
}

impl ControlCore {
    /// Whether an engine in standby could hold a replica of a row.
    pub(super) fn has_suitable_standby(&self, row: &PlanRow) -> bool {
        self.first_suitable_standby(row).is_some()
    }

    /// The engine with the lowest id that is in standby and could hold a replica of a row.
    fn first_suitable_standby(&self, row: &PlanRow) -> Option<BackendId> {
        let backends = self.state.backends().iter();
        backends
            .filter(|(_, state)| is_suitable_standby(row, state))
            .map(|(backend, _)| backend.clone())
            .min()
    }

    /// Wakes a suitable engine, or asks its owner to do so.
    pub(super) fn request_standby_engine(&mut self, demand: &ReplicaDemand, row: &PlanRow) {
        let Some(backend) = self.first_suitable_standby(row) else {
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
            // Any number but 0, which would report a use of the replica.
            waiting: 1,
            priority: demand.priority,
            deadline: demand.deadline,
        };
        self.send(&owner, PeerMessage::Wake(hint));
    }

    /// Handles the request of a model's owner that could not place a replica: wakes a
    /// suitable engine if this daemon owns it.
    pub(super) fn wake_engine(&mut self, hint: &WakeHint) {
        if !self.has_authority() {
            return;
        }
        let Some(row) = self.state.row(&hint.key).cloned() else {
            return;
        };
        let Some(backend) = self.first_suitable_standby(&row) else {
            return;
        };
        if self.engines.owned.contains_key(&backend) {
            self.propose_role(&backend, EngineRole::Serving);
        }
    }
}
