//! Moves replicas off engines that are leaving.

use ward_protocol::{BackendId, ControlRecord, ReplicaKey, ReservationId};
use ward_state::ReservationPhase;

use crate::core::ControlCore;
use crate::proposer::ProposalSubject;

impl ControlCore {
    /// Whether an engine is leaving according to the state, the host list or its own status.
    /// An unknown engine counts as leaving.
    pub(crate) fn is_leaving(&self, backend: &BackendId) -> bool {
        let logged = self
            .state
            .backends()
            .get(backend)
            .is_none_or(|state| state.leaving);
        logged || self.hosts.is_marked_leaving(backend) || self.reports_leaving(backend)
    }

    /// Whether an engine of this daemon reports in its status that it is leaving.
    pub(crate) fn reports_leaving(&self, backend: &BackendId) -> bool {
        let engine = self.engines.owned.get(backend);
        let status = engine.and_then(|engine| engine.status.as_ref());
        status.is_some_and(|(_, status)| status.leaving)
    }

    /// Drains replicas on leaving engines. A ready replica is drained only once another one
    /// is ready elsewhere, or if the plan's replica limit leaves no room for another.
    pub(super) fn drain_leaving_engines(&mut self) {
        self.propose_leaving();
        let reservations = self.state.reservations();
        let held = self
            .models
            .own_keys
            .iter()
            .flat_map(|key| self.state.reservations_of(key));
        let mut leaving: Vec<_> = held
            .map(|id| (*id, &reservations[id]))
            .filter(|(_, state)| !state.draining && self.is_leaving(&state.backend))
            .map(|(id, state)| (id, state.key.clone()))
            .collect();
        leaving.sort_by_key(|(id, _)| *id);
        for (reservation, key) in leaving {
            if self.may_drain(reservation, &key) {
                let body = ControlRecord::Drain { reservation };
                self.propose(ProposalSubject::Drain(reservation), body);
            }
        }
    }

    /// Whether a reservation on a leaving engine may be drained now.
    fn may_drain(&self, id: ReservationId, key: &ReplicaKey) -> bool {
        let reservations = self.state.reservations();
        if reservations[&id].phase != ReservationPhase::Ready {
            return true;
        }
        let Some(row) = self.state.row(key) else {
            return true;
        };
        let others = self.active_ids(key).into_iter();
        let staying: Vec<_> = others
            .map(|other| &reservations[&other])
            .filter(|state| !self.is_leaving(&state.backend))
            .collect();
        if staying.is_empty() {
            return !self.may_add(key, row);
        }
        staying
            .iter()
            .any(|state| state.phase == ReservationPhase::Ready)
    }

    /// Proposes `BackendLeaving` for engines of this daemon that report that they are leaving
    /// before the state says so.
    fn propose_leaving(&mut self) {
        let reported: Vec<_> = self
            .engines
            .owned
            .keys()
            .filter(|backend| self.reports_leaving(backend))
            .filter(|backend| {
                let state = self.state.backends().get(*backend);
                state.is_some_and(|state| !state.leaving)
            })
            .cloned()
            .collect();
        for backend in reported {
            let body = ControlRecord::BackendLeaving {
                backend: backend.clone(),
            };
            self.propose(ProposalSubject::Backend(backend), body);
        }
    }
}
