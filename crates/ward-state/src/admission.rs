//! Admission of waiting loads to the weight store.
//!
//! Every daemon applies the same records, so all agree on the admitted loads without
//! further messages. A load takes a slot when it is admitted and frees it when its
//! reservation becomes ready, is drained or is released. A drained load frees its slot
//! at once, although its transfer may still run for a short time: otherwise a retreat
//! would wait for the loads that it cancels.

use std::collections::{BTreeSet, HashSet};

use ward_protocol::{PriorityLevel, ReservationId, StoreLimits, WallTime};

use crate::cluster::ClusterState;
use crate::reservation::{ReservationPhase, ReservationState};

type WaitingRank = (PriorityLevel, WallTime, ReservationId);

/// Loads of models, or of adapters: each kind has its own limit.
#[derive(Debug, Clone, Default)]
struct LoadQueue {
    waiting: BTreeSet<WaitingRank>,
    admitted: HashSet<ReservationId>,
}

/// Waiting and admitted loads, derived from the reservations.
#[derive(Debug, Clone, Default)]
pub(crate) struct LoadGate {
    models: LoadQueue,
    adapters: LoadQueue,
}

impl LoadGate {
    fn queue(&mut self, state: &ReservationState) -> &mut LoadQueue {
        if state.key.is_adapter() {
            &mut self.adapters
        } else {
            &mut self.models
        }
    }

    pub(crate) fn track(&mut self, id: ReservationId, state: &ReservationState) {
        let queue = self.queue(state);
        match state.phase {
            ReservationPhase::Waiting if !state.draining => {
                queue.waiting.insert((state.priority, state.deadline, id));
            }
            ReservationPhase::Loading if !state.draining => {
                queue.admitted.insert(id);
            }
            ReservationPhase::Waiting
            | ReservationPhase::Loading
            | ReservationPhase::Ready
            | ReservationPhase::Found => {}
        }
    }

    pub(crate) fn remove(&mut self, id: ReservationId, state: &ReservationState) {
        let queue = self.queue(state);
        queue.waiting.remove(&(state.priority, state.deadline, id));
        queue.admitted.remove(&id);
    }

    fn admit(&mut self, limits: StoreLimits) -> Vec<ReservationId> {
        let mut admitted = self.models.admit(limits.model_loads);
        admitted.extend(self.adapters.admit(limits.adapter_loads));
        admitted
    }
}

impl LoadQueue {
    fn admit(&mut self, limit: u16) -> Vec<ReservationId> {
        let mut admitted = Vec::new();
        while self.admitted.len() < usize::from(limit) {
            let Some((_, _, id)) = self.waiting.pop_first() else {
                break;
            };
            self.admitted.insert(id);
            admitted.push(id);
        }
        admitted
    }
}

impl ClusterState {
    /// Admits waiting loads up to the limits, by priority, deadline and reservation id.
    pub(crate) fn admit_loads(&mut self) {
        for id in self.gate.admit(self.limits) {
            if let Some(state) = self.reservations.get_mut(&id) {
                state.phase = ReservationPhase::Loading;
            }
        }
    }
}
