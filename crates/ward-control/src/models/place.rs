//! Places demanded replicas on engines.

use indexmap::IndexMap;
use ward_policy::{EngineView, HeldReplica, PlaceChoice, PlaceRequest, place_replica};
use ward_protocol::{
    BackendId, CacheTier, ControlRecord, LoadEstimate, MemorySize, PlanRow, ReplicaKey,
    ReservationId, TimeSpan,
};
use ward_state::{BackendState, ReservationPhase};

use super::PendingEviction;
use super::demand::{ReplicaDemand, ready_target};
use crate::core::ControlCore;
use crate::proposer::ProposalSubject;

/// Time after which an unfinished eviction no longer holds back another one for its key.
const EVICTION_TIMEOUT: TimeSpan = TimeSpan::from_secs(20);
/// Retry time given to callers if nothing can be loaded now.
const BLOCKED_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(5);

impl ControlCore {
    pub(super) fn place_demands(&mut self, demands: Vec<ReplicaDemand>) {
        self.models.estimates.clear();
        self.remove_ended_evictions();
        let mut pending_memory = self.proposed_memory();
        for demand in demands {
            if let Some((backend, memory)) = self.place_demand(&demand, &pending_memory) {
                let total = pending_memory.entry(backend).or_default();
                *total = total.saturating_add(memory);
            }
        }
    }

    /// Memory per engine that open proposals will take if they are applied.
    fn proposed_memory(&self) -> IndexMap<BackendId, MemorySize> {
        let mut pending_memory = IndexMap::new();
        for body in self.proposer.bodies() {
            if let ControlRecord::Reserve {
                backend, memory, ..
            } = body
            {
                let total: &mut MemorySize = pending_memory.entry(backend.clone()).or_default();
                *total = total.saturating_add(*memory);
            }
        }
        pending_memory
    }

    /// Proposes a reservation for a demand. Returns its engine and memory, or `None` if
    /// none was proposed: one is open already, replicas have to be evicted first, or no
    /// engine is suitable.
    fn place_demand(
        &mut self,
        demand: &ReplicaDemand,
        pending_memory: &IndexMap<BackendId, MemorySize>,
    ) -> Option<(BackendId, MemorySize)> {
        let subject = ProposalSubject::Reserve(demand.key.clone());
        if self.proposer.is_open(&subject) {
            return None;
        }
        let row = self.state.row(&demand.key)?.clone();
        let request = self.place_request(demand, &row);
        let engines = self.engine_views(&demand.key, &row, pending_memory);
        let pending = self.models.evictions.contains_key(&demand.key);
        match place_replica(&request, &engines) {
            PlaceChoice::Place { backend } => {
                let body = ControlRecord::Reserve {
                    key: demand.key.clone(),
                    backend: backend.clone(),
                    memory: row.memory,
                    priority: demand.priority,
                    deadline: demand.deadline,
                };
                self.propose(subject, body).then_some((backend, row.memory))
            }
            PlaceChoice::Evict { backend, victims } if !pending => {
                self.evict(demand, backend, victims);
                None
            }
            PlaceChoice::Evict { .. } => None,
            PlaceChoice::Impossible => {
                self.handle_no_engine(demand, &row);
                None
            }
        }
    }

    fn place_request(&self, demand: &ReplicaDemand, row: &PlanRow) -> PlaceRequest {
        let zones = self.active_ids(&demand.key).into_iter().filter_map(|id| {
            let backend = &self.state.reservations()[&id].backend;
            let state = self.state.backends().get(backend)?;
            Some(state.info.zone.clone())
        });
        PlaceRequest {
            key: demand.key.clone(),
            memory: row.memory,
            priority: demand.priority,
            zones: row.zones.clone(),
            roles: row.roles.clone(),
            occupied_zones: zones.collect(),
        }
    }

    fn engine_views(
        &self,
        key: &ReplicaKey,
        row: &PlanRow,
        pending_memory: &IndexMap<BackendId, MemorySize>,
    ) -> Vec<EngineView> {
        self.state
            .backends()
            .iter()
            .filter(|(_, state)| state.is_loadable())
            .filter(|(_, state)| row.zones.is_empty() || row.zones.contains(&state.info.zone))
            .filter(|(backend, _)| !self.is_leaving(backend))
            .map(|(backend, state)| {
                let proposed = pending_memory.get(backend).copied().unwrap_or_default();
                self.engine_view(key, backend, state, proposed)
            })
            .collect()
    }

    fn engine_view(
        &self,
        key: &ReplicaKey,
        backend: &BackendId,
        state: &BackendState,
        proposed: MemorySize,
    ) -> EngineView {
        let engine = self.engines.owned.get(backend);
        let status = engine.and_then(|engine| engine.status.as_ref());
        let tier = status.and_then(|(_, status)| {
            let cached = status.cached.iter().find(|cached| cached.key == *key);
            cached.map(|cached| cached.tier)
        });
        EngineView {
            backend: backend.clone(),
            zone: state.info.zone.clone(),
            role: state.effective_role(),
            memory: state.info.memory,
            counted: state.reserved_memory.saturating_add(proposed),
            held: state
                .reservations
                .iter()
                .filter_map(|id| self.held_replica(*id))
                .collect(),
            tier: tier.unwrap_or(CacheTier::Remote),
            load: status.map_or(0, |(_, status)| status.running + status.queued),
        }
    }

    /// The replica of a reservation, as placement sees it; `None` while it is draining.
    fn held_replica(&self, id: ReservationId) -> Option<HeldReplica> {
        let state = self.state.reservations().get(&id)?;
        if state.draining {
            return None;
        }
        let row = self.state.row(&state.key);
        let wanted =
            row.is_some_and(|row| self.active_count(&state.key) <= ready_target(row, self.wall));
        let busy = self.has_waiting_requests(&state.key);
        let idle = match (self.last_use(&state.key), busy) {
            (Some(last), false) => Some(self.now.since(last)),
            (None, _) | (_, true) => None,
        };
        Some(HeldReplica {
            reservation: id,
            key: state.key.clone(),
            memory: state.memory,
            priority: row.map_or(state.priority, |row| row.priority),
            idle,
            wanted,
            ready: state.phase == ReservationPhase::Ready,
        })
    }

    /// Proposes to drain the victims and remembers the eviction.
    fn evict(&mut self, demand: &ReplicaDemand, backend: BackendId, victims: Vec<ReservationId>) {
        for victim in &victims {
            let body = ControlRecord::Drain {
                reservation: *victim,
            };
            self.propose(ProposalSubject::Drain(*victim), body);
        }
        let eviction = PendingEviction {
            backend,
            victims,
            started: self.now,
        };
        self.models.evictions.insert(demand.key.clone(), eviction);
    }

    /// Forgets evictions whose victims or engine are gone, or that have timed out.
    fn remove_ended_evictions(&mut self) {
        let now = self.now;
        let state = &self.state;
        self.models.evictions.retain(|_, eviction| {
            let held = eviction
                .victims
                .iter()
                .any(|id| state.reservations().contains_key(id));
            let engine_known = state.backends().contains_key(&eviction.backend);
            held && engine_known && now.since(eviction.started) < EVICTION_TIMEOUT
        });
    }

    /// Handles a demand that no engine can hold: wakes an engine in standby if one is
    /// suitable, and publishes an estimate for the requests that wait for the key.
    fn handle_no_engine(&mut self, demand: &ReplicaDemand, row: &PlanRow) {
        let base_active = !demand.key.is_adapter() || self.active_count(&demand.key.base()) > 0;
        self.request_standby_engine(demand, row);
        let estimate = LoadEstimate {
            start: self.load_time(&demand.key),
            blocked: base_active && demand.waiting && !self.has_suitable_standby(row),
            retry_after: BLOCKED_RETRY_AFTER,
        };
        self.models.estimates.insert(demand.key.clone(), estimate);
    }

    /// Expected time from the reservation of a replica until it is ready.
    pub(crate) fn load_time(&self, key: &ReplicaKey) -> TimeSpan {
        let memory = self.state.row(key).map(|row| row.memory);
        let policy = &self.config.policy;
        self.models
            .load_times
            .load_time(key, memory.unwrap_or_default(), policy)
    }

    /// Expected time until a reserved replica is ready.
    pub(crate) fn remaining_load_time(&self, id: ReservationId, key: &ReplicaKey) -> TimeSpan {
        let total = self.load_time(key);
        let age = self.models.load_times.age(id, self.now);
        TimeSpan::from_micros(total.micros().saturating_sub(age.micros()))
    }
}
