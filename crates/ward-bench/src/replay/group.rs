//! Idle engines of a replay: held as a whole, or cleared.

use ward_policy::{IdleReplica, KeepTerms, keep_value, keeps_engine_awake, rank_preloads};
use ward_protocol::{EngineRole, ReservationId, TimeSpan};

use super::event::ReplayEvent;
use super::rule::KeepRule;
use super::run::ReplayRun;
use super::state::ReplicaPhase;

/// Time between looks at an idle engine.
const HOLD_STEP: TimeSpan = TimeSpan::from_secs(20);
/// Time between looks at free memory.
const FILL_STEP: TimeSpan = TimeSpan::from_secs(20);

impl ReplayRun<'_> {
    /// Looks at an engine that runs nothing, now and from time to time.
    pub(super) fn schedule_hold(&mut self, engine: usize) {
        let host = &mut self.state.engines[engine];
        if !self.policy.holds_engines() || host.running > 0 {
            return;
        }
        host.hold_stamp += 1;
        let stamp = host.hold_stamp;
        let event = ReplayEvent::HoldCheck { engine, stamp };
        self.events.push(self.state.now + HOLD_STEP, event);
    }

    /// Clears an idle engine that is not worth its time.
    pub(super) fn hold_check(&mut self, engine: usize, stamp: u32) {
        let host = &self.state.engines[engine];
        let stale = host.hold_stamp != stamp || host.role == EngineRole::Standby;
        if stale || host.replicas.is_empty() {
            return;
        }
        if !self.may_clear(engine) || self.worth_holding(engine) {
            self.schedule_hold(engine);
            return;
        }
        for replica in self.state.engines[engine].replicas.clone() {
            if self.state.replicas[replica].phase != ReplicaPhase::Gone {
                self.unload(replica);
            }
        }
    }

    fn may_clear(&self, engine: usize) -> bool {
        let mut replicas = self.state.engines[engine].replicas.iter().copied();
        replicas.all(|replica| {
            let state = &self.state.replicas[replica];
            let waiting = self.family_waiting(self.base_of(state.model)) > 0;
            state.phase == ReplicaPhase::Ready && !waiting && !self.is_wanted(replica)
        })
    }

    /// Base models on an engine.
    fn bases_on(&self, engine: usize) -> impl Iterator<Item = usize> + '_ {
        let replicas = self.state.engines[engine].replicas.iter();
        let models = replicas.map(|replica| self.state.replicas[*replica].model);
        models.filter(|model| self.trace.models[*model].base.is_none())
    }

    fn worth_holding(&self, engine: usize) -> bool {
        if self.policy.keep == KeepRule::Clairvoyant {
            return self.next_worth(engine);
        }
        let views = self.bases_on(engine).map(|model| self.hold_view(model));
        keeps_engine_awake(views, &self.policy.values)
    }

    /// What an idle replica is expected to be worth per second.
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
            return self.best_load(model).seconds() / next.max(1.0);
        }
        keep_value(&self.hold_view(model), &self.policy.values)
    }

    fn hold_view(&self, model: usize) -> IdleReplica<'_> {
        let history = &self.state.models[model].history;
        let last = history.last().unwrap_or_default();
        IdleReplica {
            history,
            age: self.state.now.since(last),
            load_time: self.best_load(model),
        }
    }

    /// Whether the engine's coming requests are worth the time until they come.
    fn next_worth(&self, engine: usize) -> bool {
        let mut coming: Vec<(TimeSpan, f64)> = self
            .bases_on(engine)
            .filter_map(|model| {
                let load = self.best_load(model) + self.policy.values.standby_back;
                let terms = KeepTerms {
                    load_time: load,
                    share: 1.0,
                };
                let worth = terms.break_even(&self.policy.values);
                Some((self.time_to_next(model)?, worth))
            })
            .collect();
        coming.sort_by_key(|(next, _)| *next);
        let worths = coming.iter().scan(0.0, |sum, (next, worth)| {
            *sum += worth;
            Some((next.seconds(), *sum))
        });
        worths.into_iter().any(|(next, worth)| next <= worth)
    }

    /// Looks at free memory from time to time.
    pub(super) fn schedule_fill(&mut self) {
        if self.policy.keep == KeepRule::Gaps {
            let at = self.state.now + FILL_STEP;
            self.events.push(at, ReplayEvent::FillCheck);
        }
    }

    /// Makes the most wanted models ready where that costs no eviction.
    pub(super) fn fill_check(&mut self) {
        self.schedule_fill();
        if self.trouble.is_log_down(self.state.now) {
            return;
        }
        let cold: Vec<usize> = (0..self.trace.models.len())
            .filter(|model| self.trace.models[*model].base.is_none())
            .filter(|model| self.state.models[*model].history.last().is_some())
            .filter(|model| self.state.models[*model].replicas.is_empty())
            .collect();
        let views: Vec<IdleReplica<'_>> = cold.iter().map(|model| self.hold_view(*model)).collect();
        let picks = rank_preloads(&views, &self.policy.values);
        for pick in picks {
            if !self.store.is_quiet() {
                return;
            }
            let model = cold[pick.index];
            if !pick.worth_waking && !self.has_room(model) {
                continue;
            }
            if self.place_with(model, true, pick.worth_waking) {
                self.note_ahead();
            }
        }
    }

    fn has_room(&self, model: usize) -> bool {
        let memory = self.trace.models[model].memory;
        let engines = self.state.engines.iter();
        let mut awake = engines.filter(|engine| engine.role != EngineRole::Standby);
        awake.any(|engine| {
            let counted = self.state.counted(self.trace, engine);
            engine.memory.saturating_sub(counted) >= memory
        })
    }

    /// Time until a model's next request.
    pub(super) fn time_to_next(&self, model: usize) -> Option<TimeSpan> {
        let future = &self.state.models[model].future;
        let next = future.partition_point(|at| *at <= self.state.now);
        future.get(next).map(|at| at.since(self.state.now))
    }
}
