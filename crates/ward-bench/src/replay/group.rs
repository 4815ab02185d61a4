//! Idle engines of a replay, which keep all of their replicas or none, and preloads into
//! free memory.

use ward_policy::{IdleReplica, KeepTerms, keep_value, keeps_engine_awake, rank_preloads};
use ward_protocol::{EngineRole, ReservationId, TimeSpan};

use super::event::ReplayEvent;
use super::rule::KeepRule;
use super::run::ReplayRun;
use super::state::ReplicaPhase;

/// Time between two checks whether an idle engine keeps its replicas.
const HOLD_CHECK_INTERVAL: TimeSpan = TimeSpan::from_secs(20);
/// Time between two checks whether free memory can take preloads.
const FILL_CHECK_INTERVAL: TimeSpan = TimeSpan::from_secs(20);

impl ReplayRun<'_> {
    /// Schedules the next check whether an idle engine keeps its replicas.
    pub(super) fn schedule_hold(&mut self, engine: usize) {
        let engine_state = &mut self.state.engines[engine];
        if !self.policy.holds_engines() || engine_state.running > 0 {
            return;
        }
        engine_state.hold_generation += 1;
        let generation = engine_state.hold_generation;
        let event = ReplayEvent::HoldCheck { engine, generation };
        self.events
            .push(self.state.now + HOLD_CHECK_INTERVAL, event);
    }

    /// Unloads all replicas of an idle engine whose expected worth is below the cost of its idle
    /// time.
    pub(super) fn hold_check(&mut self, engine: usize, generation: u32) {
        let engine_state = &self.state.engines[engine];
        let stale =
            engine_state.hold_generation != generation || engine_state.role == EngineRole::Standby;
        if stale || engine_state.replicas.is_empty() {
            return;
        }
        if !self.can_unload_all(engine) || self.is_worth_holding(engine) {
            self.schedule_hold(engine);
            return;
        }
        for replica in self.state.engines[engine].replicas.clone() {
            if self.state.replicas[replica].phase != ReplicaPhase::Unloaded {
                self.unload(replica);
            }
        }
    }

    fn can_unload_all(&self, engine: usize) -> bool {
        let mut replicas = self.state.engines[engine].replicas.iter().copied();
        replicas.all(|replica| {
            let state = &self.state.replicas[replica];
            let waiting = self.waiting_with_adapters(self.base_of(state.model)) > 0;
            state.phase == ReplicaPhase::Ready && !waiting && !self.is_wanted(replica)
        })
    }

    /// Base models on an engine.
    fn bases_on(&self, engine: usize) -> impl Iterator<Item = usize> + '_ {
        let replicas = self.state.engines[engine].replicas.iter();
        let models = replicas.map(|replica| self.state.replicas[*replica].model);
        models.filter(|model| self.trace.models[*model].base.is_none())
    }

    fn is_worth_holding(&self, engine: usize) -> bool {
        if self.policy.keep == KeepRule::Clairvoyant {
            return self.covers_next_requests(engine);
        }
        let views = self.bases_on(engine).map(|model| self.idle_replica(model));
        keeps_engine_awake(views, &self.policy.values)
    }

    /// Expected worth of keeping an idle replica, in idle accelerator seconds per second.
    pub(super) fn replica_worth(&self, reservation: ReservationId) -> f64 {
        let replica = usize::try_from(reservation.0).unwrap_or(usize::MAX);
        let model = self.state.replicas[replica].model;
        if self.trace.models[model].base.is_some() {
            return 0.0;
        }
        if self.policy.keep == KeepRule::Clairvoyant {
            let next = self
                .time_to_next(model)
                .map_or(f64::INFINITY, TimeSpan::seconds);
            return self.shortest_load_time(model).seconds() / next.max(1.0);
        }
        keep_value(&self.idle_replica(model), &self.policy.values)
    }

    fn idle_replica(&self, model: usize) -> IdleReplica<'_> {
        let history = &self.state.models[model].history;
        let last = history.last_request().unwrap_or_default();
        IdleReplica {
            history,
            age: self.state.now.since(last),
            load_time: self.shortest_load_time(model),
        }
    }

    /// Whether the loads that upcoming requests would save are worth the engine's idle time until
    /// then.
    fn covers_next_requests(&self, engine: usize) -> bool {
        let mut upcoming: Vec<(TimeSpan, f64)> = self
            .bases_on(engine)
            .filter_map(|model| {
                let load_time = self.shortest_load_time(model) + self.policy.values.standby_back;
                let terms = KeepTerms {
                    load_time,
                    share: 1.0,
                };
                let worth = terms.break_even(&self.policy.values);
                Some((self.time_to_next(model)?, worth))
            })
            .collect();
        upcoming.sort_by_key(|(next, _)| *next);
        let worths = upcoming.iter().scan(0.0, |sum, (next, worth)| {
            *sum += worth;
            Some((next.seconds(), *sum))
        });
        worths.into_iter().any(|(next, worth)| next <= worth)
    }

    /// Schedules the next check of free memory; only under the rule `Gaps`.
    pub(super) fn schedule_fill(&mut self) {
        if self.policy.keep == KeepRule::Gaps {
            let event_time = self.state.now + FILL_CHECK_INTERVAL;
            self.events.push(event_time, ReplayEvent::FillCheck);
        }
    }

    /// Preloads the models that are worth most where that needs no eviction.
    pub(super) fn fill_check(&mut self) {
        self.schedule_fill();
        if self.trouble.is_log_down(self.state.now) {
            return;
        }
        let cold: Vec<usize> = (0..self.trace.models.len())
            .filter(|model| self.trace.models[*model].base.is_none())
            .filter(|model| self.state.models[*model].history.last_request().is_some())
            .filter(|model| self.state.models[*model].replicas.is_empty())
            .collect();
        let views: Vec<IdleReplica<'_>> =
            cold.iter().map(|model| self.idle_replica(*model)).collect();
        let candidates = rank_preloads(&views, &self.policy.values);
        for candidate in candidates {
            if !self.store.is_quiet() {
                return;
            }
            let model = cold[candidate.index];
            if !candidate.worth_waking && !self.has_free_memory(model) {
                continue;
            }
            if self.place_with_wake(model, true, candidate.worth_waking) {
                self.record_preload();
            }
        }
    }

    fn has_free_memory(&self, model: usize) -> bool {
        let memory = self.trace.models[model].memory;
        let engines = self.state.engines.iter();
        let mut awake = engines.filter(|engine| engine.role != EngineRole::Standby);
        awake.any(|engine| {
            let counted = self.state.counted_memory(self.trace, engine);
            engine.memory.saturating_sub(counted) >= memory
        })
    }

    /// Time until a model's next request.
    pub(super) fn time_to_next(&self, model: usize) -> Option<TimeSpan> {
        let arrival_times = &self.state.models[model].arrival_times;
        let next = arrival_times.partition_point(|arrival| *arrival <= self.state.now);
        arrival_times
            .get(next)
            .map(|arrival| arrival.since(self.state.now))
    }
}
