//! Bringing an engine in line with what is reserved on it.

use ward_protocol::{
    BackendId, BackendStatus, ControlRecord, MemorySize, OrderKind, OrderRefusal, OrderResult,
    ReleaseReason, ReplicaKey, ReservationId, ResidentPhase, ResidentReplica, TimeSpan,
};
use ward_state::{ReservationPhase, ReservationState};

use crate::core::ControlCore;
use crate::defect::DefectKind;
use crate::proposer::ProposalSubject;

/// Orders to load a replica before it counts as failed.
const LOAD_TRIALS: u32 = 3;
/// Pause before a load is ordered again.
const LOAD_PAUSE: TimeSpan = TimeSpan::from_secs(1);

/// The replica of a key on an engine, unless its load failed.
fn resident<'a>(status: &'a BackendStatus, key: &ReplicaKey) -> Option<&'a ResidentReplica> {
    status
        .resident
        .iter()
        .find(|replica| replica.key == *key && replica.phase != ResidentPhase::Failed)
}

impl ControlCore {
    pub(super) fn reconcile(&mut self, backend: &BackendId) {
        self.forget_orders(backend);
        let Some(status) = self.valid_status(backend) else {
            return;
        };
        let Some(state) = self.state.backends().get(backend) else {
            return;
        };
        let held = state.reservations.clone();
        self.count_unexplained(backend, &status);
        for id in held {
            let Some(reservation) = self.state.reservations().get(&id).cloned() else {
                continue;
            };
            self.reconcile_one(id, &reservation, &status);
        }
        self.reconcile_role(backend, &status);
    }

    fn reconcile_one(
        &mut self,
        id: ReservationId,
        reservation: &ReservationState,
        status: &BackendStatus,
    ) {
        let found = resident(status, &reservation.key).cloned();
        if self.engines.releasing.contains(&id) && found.is_none() {
            self.release(id, reservation, ReleaseReason::Unloaded);
            return;
        }
        if reservation.draining {
            self.unload(id, reservation, found.as_ref(), status);
            return;
        }
        match (reservation.phase, found) {
            (ReservationPhase::Waiting, _) => {
                if self.config.defects.has(DefectKind::OrderUnadmitted) {
                    self.load(id, reservation, status);
                }
            }
            (ReservationPhase::Loading, Some(replica)) => {
                if replica.phase == ResidentPhase::Ready {
                    let body = ControlRecord::Ready { reservation: id };
                    self.propose(ProposalSubject::Ready(id), body);
                }
            }
            (ReservationPhase::Loading, None) => self.load(id, reservation, status),
            (ReservationPhase::Ready, None) => {
                self.release(id, reservation, ReleaseReason::Restarted);
            }
            (ReservationPhase::Ready | ReservationPhase::Found, _) => {}
        }
    }

    /// Orders a load that is admitted and not under way.
    fn load(&mut self, id: ReservationId, reservation: &ReservationState, status: &BackendStatus) {
        let backend = &reservation.backend;
        let leaving = status.leaving
            || self.hosts.says_leaving(backend)
            || self
                .state
                .backends()
                .get(backend)
                .is_none_or(|state| state.leaving);
        if leaving && !self.config.defects.has(DefectKind::LoadLeaving) {
            self.release(id, reservation, ReleaseReason::Withdrawn);
            return;
        }
        let Some(duty) = self.engines.owned.get(backend) else {
            return;
        };
        let trial = duty
            .loads
            .get(&reservation.key)
            .filter(|trial| trial.reservation == id)
            .copied();
        if let Some(trial) = trial {
            // The status must be younger than the last order to tell its effect.
            let told = duty
                .status
                .as_ref()
                .is_some_and(|(started, _)| *started > trial.last);
            if self.has_pending(backend, &reservation.key) || !told {
                return;
            }
            if trial.count >= LOAD_TRIALS || self.load_is_hopeless(backend, &reservation.key) {
                self.release(id, reservation, ReleaseReason::LoadFailed);
                return;
            }
            if self.now.since(trial.last) < LOAD_PAUSE {
                return;
            }
        }
        let kind = OrderKind::Load {
            key: reservation.key.clone(),
            memory: reservation.memory,
        };
        self.order(backend, kind);
    }

    fn load_is_hopeless(&self, backend: &BackendId, key: &ReplicaKey) -> bool {
        let Some(duty) = self.engines.owned.get(backend) else {
            return false;
        };
        let refusal = OrderResult::Refused(OrderRefusal::Leaving);
        duty.orders.values().any(|order| {
            matches!(&order.kind, OrderKind::Load { key: ordered, .. } if ordered == key)
                && order.result.as_ref() == Some(&refusal)
        })
    }

    /// Whether an order about a key has no answer yet.
    fn has_pending(&self, backend: &BackendId, key: &ReplicaKey) -> bool {
        let Some(duty) = self.engines.owned.get(backend) else {
            return false;
        };
        duty.orders.values().any(|order| {
            let about = match &order.kind {
                OrderKind::Load { key: ordered, .. } | OrderKind::Unload { key: ordered } => {
                    ordered == key
                }
                OrderKind::Touch | OrderKind::Role { .. } => false,
            };
            about && order.is_pending(self.now, &self.config)
        })
    }

    /// Unloads a draining replica, its adapters first, and releases it once gone.
    fn unload(
        &mut self,
        id: ReservationId,
        reservation: &ReservationState,
        found: Option<&ResidentReplica>,
        status: &BackendStatus,
    ) {
        let Some(replica) = found else {
            let reason = match reservation.phase {
                ReservationPhase::Waiting => ReleaseReason::Withdrawn,
                ReservationPhase::Loading | ReservationPhase::Ready | ReservationPhase::Found => {
                    ReleaseReason::Unloaded
                }
            };
            self.release(id, reservation, reason);
            return;
        };
        let key = &reservation.key;
        let carries = !key.is_adapter()
            && status.resident.iter().any(|other| {
                other.key.is_adapter()
                    && other.key.base() == *key
                    && other.phase != ResidentPhase::Failed
            });
        let told = self.is_told(&reservation.backend, key);
        if carries || replica.phase == ResidentPhase::Unloading || !told {
            return;
        }
        if !self.has_pending(&reservation.backend, key) {
            self.order(&reservation.backend, OrderKind::Unload { key: key.clone() });
        }
    }

    /// Whether the status is younger than the last order to unload the key.
    fn is_told(&self, backend: &BackendId, key: &ReplicaKey) -> bool {
        let Some(duty) = self.engines.owned.get(backend) else {
            return false;
        };
        let started = duty.status.as_ref().map(|(started, _)| *started);
        let unloads = duty.orders.values().filter(
            |order| matches!(&order.kind, OrderKind::Unload { key: ordered } if ordered == key),
        );
        let last = unloads.map(|order| order.sent).max();
        started > last || last.is_none()
    }

    /// Proposes a release once no order can bring the replica back.
    fn release(
        &mut self,
        id: ReservationId,
        reservation: &ReservationState,
        reason: ReleaseReason,
    ) {
        let Some(duty) = self.engines.owned.get(&reservation.backend) else {
            return;
        };
        let early = self.config.defects.has(DefectKind::EarlyRelease);
        let life = self.config.order_life();
        let started = duty.status.as_ref().map(|(started, _)| *started);
        let quiet = duty
            .loads
            .get(&reservation.key)
            .is_none_or(|trial| started >= Some(trial.last + life));
        let safe = quiet && duty.is_settled();
        if !early && !safe {
            return;
        }
        let reason = match (reason, duty.restarted) {
            (ReleaseReason::Restarted, None) => ReleaseReason::Unloaded,
            (reason, _) => reason,
        };
        let body = ControlRecord::Release {
            reservation: id,
            reason,
        };
        self.engines.releasing.insert(id);
        self.propose(ProposalSubject::Release(id), body);
    }

    /// Has replicas counted that no reservation explains.
    fn count_unexplained(&mut self, backend: &BackendId, status: &BackendStatus) {
        if self.config.defects.has(DefectKind::IgnoreFound) {
            return;
        }
        let settled = self
            .engines
            .owned
            .get(backend)
            .is_some_and(super::EngineDuty::is_settled);
        if !settled {
            return;
        }
        for replica in &status.resident {
            if replica.phase == ResidentPhase::Failed || self.explains(backend, replica) {
                continue;
            }
            let body = ControlRecord::Found {
                backend: backend.clone(),
                key: replica.key.clone(),
                memory: replica.memory,
            };
            let subject = ProposalSubject::Found(backend.clone(), replica.key.clone());
            self.propose(subject, body);
        }
    }

    fn explains(&self, backend: &BackendId, replica: &ResidentReplica) -> bool {
        let counted = self
            .state
            .reservation_on(&replica.key, backend)
            .and_then(|id| self.state.reservations().get(&id))
            .map_or(MemorySize::ZERO, |reservation| reservation.memory);
        counted >= replica.memory && counted > MemorySize::ZERO
    }
}
