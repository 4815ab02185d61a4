//! Drains idle replicas.

use ward_protocol::{ControlRecord, ReplicaKey, ReservationId};
use ward_state::ReservationPhase;

use super::demand::ready_target;
use crate::core::ControlCore;
use crate::proposer::ProposalSubject;

impl ControlCore {
    /// Drains replicas that have been idle for their keep time, one per key at a time and down
    /// to the number that the plan wants ready.
    pub(super) fn drain_idle_replicas(&mut self) {
        // Only keys with reservations can be idle, and most plan rows have none.
        let own = self.models.own_keys.iter();
        let idle: Vec<_> = own.filter_map(|key| self.idle_replica(key)).collect();
        for reservation in idle {
            let body = ControlRecord::Drain { reservation };
            self.propose(ProposalSubject::Drain(reservation), body);
        }
    }

    /// The newest replica of a key, if it is ready and to be drained: the key has been idle
    /// for its keep time, the plan wants fewer replicas ready, and no adapter needs this one.
    fn idle_replica(&self, key: &ReplicaKey) -> Option<ReservationId> {
        let row = self.state.row(key)?;
        let active = self.staying_ids(key);
        if active.len() <= ready_target(row, self.wall) || self.has_waiting_requests(key) {
            return None;
        }
        let last = self.last_use(key)?;
        let load = self.load_time(key);
        let values = &self.config.policy;
        let usage = self.models.usage.get(key);
        let keep = usage.map_or_else(
            || load.clamp(values.keep_shortest, values.keep_longest),
            |usage| usage.gaps.keep_time(values, load),
        );
        if self.now.since(last) < keep {
            return None;
        }
        let newest = active.into_iter().max()?;
        let state = self.state.reservations().get(&newest)?;
        let has_adapter = !key.is_adapter() && self.has_active_adapter(newest);
        (state.phase == ReservationPhase::Ready && !has_adapter).then_some(newest)
    }

    /// Whether requests wait for a key or for one of its adapters.
    pub(super) fn has_waiting_requests(&self, key: &ReplicaKey) -> bool {
        let hints = &self.models.hints;
        hints.contains_key(key)
            || (!key.is_adapter() && hints.keys().any(|waited| waited.base() == *key))
    }

    fn has_active_adapter(&self, id: ReservationId) -> bool {
        let reservations = self.state.reservations();
        let base = &reservations[&id];
        let Some(backend) = self.state.backends().get(&base.backend) else {
            return false;
        };
        backend.reservations.iter().any(|other| {
            let state = &reservations[other];
            state.key.is_adapter() && state.key.base() == base.key && !state.draining
        })
    }
}
