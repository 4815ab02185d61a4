//! Brings the replicas on an engine in line with its reservations.

use ward_protocol::{
    BackendId, BackendStatus, ControlRecord, MemorySize, OrderKind, OrderRefusal, OrderResult,
    ReleaseReason, ReplicaKey, ReservationId, ResidentPhase, ResidentReplica, TimeSpan,
};
use ward_state::{ReservationPhase, ReservationState};

use crate::core::ControlCore;
use crate::defect::DefectKind;
use crate::proposer::ProposalSubject;

/// Number of load orders after which the load counts as failed.
const MAX_LOAD_ATTEMPTS: u32 = 3;
/// Minimum time between two orders to load the same replica.
const LOAD_RETRY_DELAY: TimeSpan = TimeSpan::from_secs(1);

/// The replica of a key that an engine reports, unless its load failed.
fn resident<'a>(status: &'a BackendStatus, key: &ReplicaKey) -> Option<&'a ResidentReplica> {
    status
        .resident
        .iter()
        .find(|replica| replica.key == *key && replica.phase != ResidentPhase::Failed)
}

impl ControlCore {
    /// Orders loads, unloads and role changes on an engine and proposes records for what its
    /// status shows; does nothing while it has no valid status.
    pub(super) fn reconcile(&mut self, backend: &BackendId) {
        self.remove_expired_orders(backend);
        let Some(status) = self.valid_status(backend) else {
            return;
        };
        let Some(state) = self.state.backends().get(backend) else {
            return;
        };
        let reservations = state.reservations.clone();
        self.propose_found_replicas(backend, &status);
        for id in reservations {
            let Some(reservation) = self.state.reservations().get(&id).cloned() else {
                continue;
            };
            self.reconcile_reservation(id, &reservation, &status);
        }
        self.reconcile_role(backend, &status);
    }

    fn reconcile_reservation(
        &mut self,
        id: ReservationId,
        reservation: &ReservationState,
        status: &BackendStatus,
    ) {
        let found = resident(status, &reservation.key).cloned();
        if self.engines.releasing.contains(&id) && found.is_none() {
            self.propose_release(id, reservation, ReleaseReason::Unloaded);
            return;
        }
        if reservation.draining {
            self.order_unload(id, reservation, found.as_ref(), status);
            return;
        }
        match (reservation.phase, found) {
            (ReservationPhase::Waiting, _) => {
                if self.config.defects.has(DefectKind::OrderUnadmitted) {
                    self.order_load(id, reservation, status);
                }
            }
            (ReservationPhase::Loading, Some(replica)) => {
                if replica.phase == ResidentPhase::Ready {
                    let body = ControlRecord::Ready { reservation: id };
                    self.propose(ProposalSubject::Ready(id), body);
                }
            }
            (ReservationPhase::Loading, None) => self.order_load(id, reservation, status),
            (ReservationPhase::Ready, None) => {
                self.propose_release(id, reservation, ReleaseReason::Restarted);
            }
            (ReservationPhase::Ready | ReservationPhase::Found, _) => {}
        }
    }

    /// Orders the load of an admitted reservation, unless the effect of the last order isn't
    /// known yet or it was sent less than [`LOAD_RETRY_DELAY`] ago. Proposes to release the
    /// reservation instead if the engine is leaving or too many load orders have failed.
    fn order_load(
        &mut self,
        id: ReservationId,
        reservation: &ReservationState,
        status: &BackendStatus,
    ) {
        let backend = &reservation.backend;
        let leaving = status.leaving
            || self.hosts.is_marked_leaving(backend)
            || self
                .state
                .backends()
                .get(backend)
                .is_none_or(|state| state.leaving);
        if leaving && !self.config.defects.has(DefectKind::LoadLeaving) {
            self.propose_release(id, reservation, ReleaseReason::Withdrawn);
            return;
        }
        let Some(engine) = self.engines.owned.get(backend) else {
            return;
        };
        let attempts = engine
            .loads
            .get(&reservation.key)
            .filter(|attempts| attempts.reservation == id)
            .copied();
        if let Some(attempts) = attempts {
            // Only a status requested after the last order shows the order's effect.
            let status_is_newer = engine
                .status
                .as_ref()
                .is_some_and(|(started, _)| *started > attempts.last);
            if self.has_pending_order(backend, &reservation.key) || !status_is_newer {
                return;
            }
            if attempts.count >= MAX_LOAD_ATTEMPTS
                || self.is_load_refused_as_leaving(backend, &reservation.key)
            {
                self.propose_release(id, reservation, ReleaseReason::LoadFailed);
                return;
            }
            if self.now.since(attempts.last) < LOAD_RETRY_DELAY {
                return;
            }
        }
        let kind = OrderKind::Load {
            key: reservation.key.clone(),
            memory: reservation.memory,
        };
        self.send_order(backend, kind);
    }

    fn is_load_refused_as_leaving(&self, backend: &BackendId, key: &ReplicaKey) -> bool {
        let Some(engine) = self.engines.owned.get(backend) else {
            return false;
        };
        let refusal = OrderResult::Refused(OrderRefusal::Leaving);
        engine.orders.values().any(|order| {
            matches!(&order.kind, OrderKind::Load { key: ordered, .. } if ordered == key)
                && order.result.as_ref() == Some(&refusal)
        })
    }

    /// Whether a load or unload order for a key is unanswered and may still take effect.
    fn has_pending_order(&self, backend: &BackendId, key: &ReplicaKey) -> bool {
        let Some(engine) = self.engines.owned.get(backend) else {
            return false;
        };
        engine.orders.values().any(|order| {
            let concerns_key = match &order.kind {
                OrderKind::Load { key: ordered, .. } | OrderKind::Unload { key: ordered } => {
                    ordered == key
                }
                OrderKind::Touch | OrderKind::Role { .. } => false,
            };
            concerns_key && order.is_pending(self.now, &self.config)
        })
    }

    /// Unloads a draining replica after its adapters, and releases the reservation once the
    /// replica is gone.
    fn order_unload(
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
            self.propose_release(id, reservation, reason);
            return;
        };
        let key = &reservation.key;
        let has_adapter = !key.is_adapter()
            && status.resident.iter().any(|other| {
                other.key.is_adapter()
                    && other.key.base() == *key
                    && other.phase != ResidentPhase::Failed
            });
        let status_is_newer = self.has_status_after_unload(&reservation.backend, key);
        if has_adapter || replica.phase == ResidentPhase::Unloading || !status_is_newer {
            return;
        }
        if !self.has_pending_order(&reservation.backend, key) {
            self.send_order(&reservation.backend, OrderKind::Unload { key: key.clone() });
        }
    }

    /// Whether the status was requested after the last order to unload the key, or there
    /// was no such order.
    fn has_status_after_unload(&self, backend: &BackendId, key: &ReplicaKey) -> bool {
        let Some(engine) = self.engines.owned.get(backend) else {
            return false;
        };
        let started = engine.status.as_ref().map(|(started, _)| *started);
        let unloads = engine.orders.values().filter(
            |order| matches!(&order.kind, OrderKind::Unload { key: ordered } if ordered == key),
        );
        let last = unloads.map(|order| order.sent).max();
        started > last || last.is_none()
    }

    /// Proposes a release once no load order, of this or an earlier owner, can bring the
    /// replica back, and remembers that it was proposed.
    fn propose_release(
        &mut self,
        id: ReservationId,
        reservation: &ReservationState,
        reason: ReleaseReason,
    ) {
        let Some(engine) = self.engines.owned.get(&reservation.backend) else {
            return;
        };
        let skip_wait = self.config.defects.has(DefectKind::EarlyRelease);
        let order_life = self.config.order_life();
        let started = engine.status.as_ref().map(|(started, _)| *started);
        let loads_expired = engine
            .loads
            .get(&reservation.key)
            .is_none_or(|attempts| started >= Some(attempts.last + order_life));
        let safe = loads_expired && engine.status_after_takeover();
        if !skip_wait && !safe {
            return;
        }
        let reason = match (reason, engine.restart_seen) {
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

    /// Proposes `Found` records for replicas on the engine whose memory no reservation covers,
    /// so that it is counted. Replicas without a reservation are then unloaded.
    fn propose_found_replicas(&mut self, backend: &BackendId, status: &BackendStatus) {
        if self.config.defects.has(DefectKind::IgnoreFound) {
            return;
        }
        let status_is_safe = self
            .engines
            .owned
            .get(backend)
            .is_some_and(super::OwnedEngine::status_after_takeover);
        if !status_is_safe {
            return;
        }
        for replica in &status.resident {
            if replica.phase == ResidentPhase::Failed || self.is_accounted_for(backend, replica) {
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

    /// Whether a reservation on the engine covers the memory of the replica.
    fn is_accounted_for(&self, backend: &BackendId, replica: &ResidentReplica) -> bool {
        let counted = self
            .state
            .reservation_on(&replica.key, backend)
            .and_then(|id| self.state.reservations().get(&id))
            .map_or(MemorySize::ZERO, |reservation| reservation.memory);
        counted >= replica.memory && counted > MemorySize::ZERO
    }
}
