//! Choosing engines for wanted replicas.

use indexmap::IndexMap;
use ward_policy::{EngineView, HeldReplica, PlaceChoice, PlaceRequest, place_replica};
use ward_protocol::{
    BackendId, CacheTier, ControlRecord, LoadEstimate, MemorySize, PlanRow, ReplicaKey,
    ReservationId, TimeSpan,
};
use ward_state::{BackendState, ReservationPhase};

use super::PendingEviction;
use super::demand::{ReplicaWant, ready_wanted};
use crate::core::ControlCore;
use crate::proposer::ProposalSubject;

/// Time after which room that was to be made is looked for elsewhere.
const EVICTION_LIMIT: TimeSpan = TimeSpan::from_secs(20);
/// When to come back if nothing can be loaded now.
const BLOCKED_PAUSE: TimeSpan = TimeSpan::from_secs(5);

impl ControlCore {
    pub(super) fn place_wants(&mut self, wants: Vec<ReplicaWant>) {
        self.models.estimates.clear();
        self.forget_evictions();
        let mut taken = self.proposed_memory();
        for want in wants {
            if let Some((backend, memory)) = self.place_want(&want, &taken) {
                let total = taken.entry(backend).or_default();
                *total = total.saturating_add(memory);
            }
        }
    }

    /// Memory that proposals on their way will take.
    fn proposed_memory(&self) -> IndexMap<BackendId, MemorySize> {
        let mut taken = IndexMap::new();
        for body in self.proposer.bodies() {
            if let ControlRecord::Reserve {
                backend, memory, ..
            } = body
            {
                let total: &mut MemorySize = taken.entry(backend.clone()).or_default();
                *total = total.saturating_add(*memory);
            }
        }
        taken
    }

    fn place_want(
        &mut self,
        want: &ReplicaWant,
        taken: &IndexMap<BackendId, MemorySize>,
    ) -> Option<(BackendId, MemorySize)> {
        let subject = ProposalSubject::Reserve(want.key.clone());
        if self.proposer.is_open(&subject) {
            return None;
        }
        let row = self.state.row(&want.key)?.clone();
        let request = self.place_request(want, &row);
        let engines = self.engine_views(&want.key, &row, taken);
        let pending = self.models.evictions.contains_key(&want.key);
        match place_replica(&request, &engines) {
            PlaceChoice::Place { backend } => {
                let body = ControlRecord::Reserve {
                    key: want.key.clone(),
                    backend: backend.clone(),
                    memory: row.memory,
                    priority: want.priority,
                    deadline: want.deadline,
                };
                self.propose(subject, body).then_some((backend, row.memory))
            }
            PlaceChoice::Evict { backend, victims } if !pending => {
                self.evict(want, backend, victims);
                None
            }
            PlaceChoice::Evict { .. } => None,
            PlaceChoice::Impossible => {
                self.note_impossible(want, &row);
                None
            }
        }
    }

    fn place_request(&self, want: &ReplicaWant, row: &PlanRow) -> PlaceRequest {
        let zones = self.active_ids(&want.key).into_iter().filter_map(|id| {
            let backend = &self.state.reservations()[&id].backend;
            let state = self.state.backends().get(backend)?;
            Some(state.info.zone.clone())
        });
        PlaceRequest {
            key: want.key.clone(),
            memory: row.memory,
            priority: want.priority,
            zones: row.zones.clone(),
            roles: row.roles.clone(),
            taken: zones.collect(),
        }
    }

    fn engine_views(
        &self,
        key: &ReplicaKey,
        row: &PlanRow,
        taken: &IndexMap<BackendId, MemorySize>,
    ) -> Vec<EngineView> {
        self.state
            .backends()
            .iter()
            .filter(|(_, state)| state.is_loadable())
            .filter(|(_, state)| row.zones.is_empty() || row.zones.contains(&state.info.zone))
            .filter(|(backend, _)| !self.is_leaving(backend))
            .map(|(backend, state)| {
                let proposed = taken.get(backend).copied().unwrap_or_default();
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
        let duty = self.engines.owned.get(backend);
        let status = duty.and_then(|duty| duty.status.as_ref());
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

    fn held_replica(&self, id: ReservationId) -> Option<HeldReplica> {
        let state = self.state.reservations().get(&id)?;
        if state.draining {
            return None;
        }
        let row = self.state.row(&state.key);
        let wanted = row.is_some_and(|row| self.active(&state.key) <= ready_wanted(row, self.wall));
        let busy = self.is_waited_for(&state.key);
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

    fn evict(&mut self, want: &ReplicaWant, backend: BackendId, victims: Vec<ReservationId>) {
        for victim in &victims {
            let body = ControlRecord::Drain {
                reservation: *victim,
            };
            self.propose(ProposalSubject::Drain(*victim), body);
        }
        let eviction = PendingEviction {
            backend,
            victims,
            since: self.now,
        };
        self.models.evictions.insert(want.key.clone(), eviction);
    }

    fn forget_evictions(&mut self) {
        let now = self.now;
        let state = &self.state;
        self.models.evictions.retain(|_, eviction| {
            let held = eviction
                .victims
                .iter()
                .any(|id| state.reservations().contains_key(id));
            let there = state.backends().contains_key(&eviction.backend);
            held && there && now.since(eviction.since) < EVICTION_LIMIT
        });
    }

    fn note_impossible(&mut self, want: &ReplicaWant, row: &PlanRow) {
        let based = !want.key.is_adapter() || self.active(&want.key.base()) > 0;
        self.ask_standby(want, row);
        let estimate = LoadEstimate {
            start: self.load_time(&want.key),
            blocked: based && want.waiting && !self.has_standby(row),
            retry_after: BLOCKED_PAUSE,
        };
        self.models.estimates.insert(want.key.clone(), estimate);
    }

    /// Expected time of a load that is reserved now.
    pub(crate) fn load_time(&self, key: &ReplicaKey) -> TimeSpan {
        let memory = self.state.row(key).map(|row| row.memory);
        let policy = &self.config.policy;
        self.models
            .pace
            .load_time(key, memory.unwrap_or_default(), policy)
    }

    /// Expected time until a reserved replica answers.
    pub(crate) fn load_left(&self, id: ReservationId, key: &ReplicaKey) -> TimeSpan {
        let whole = self.load_time(key);
        let age = self.models.pace.age(id, self.now);
        TimeSpan::from_micros(whole.micros().saturating_sub(age.micros()))
    }
}
