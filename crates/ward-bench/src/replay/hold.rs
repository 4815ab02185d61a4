//! Idle replicas of a replay: how long they are kept, and when they are loaded again.

use ward_policy::{
    ReadyTerms, StandbyChoice, StandbyView, WarmSchedule, standby_choice, time_until_order,
};
use ward_protocol::{CacheTier, EngineRole, MonoTime, TimeSpan};

use super::event::ReplayEvent;
use super::outcome::ReplayOutcome;
use super::rule::KeepContext;
use super::run::ReplayRun;
use super::state::ReplicaPhase;
use super::trace::WEEK;

const DAY: TimeSpan = TimeSpan::from_secs(24 * 3_600);
/// Time after which a load that the plan sheet requires is tried again.
const SHEET_RETRY_SECONDS: u64 = 60;

impl ReplayRun<'_> {
    /// Unloads a replica that has become idle, or schedules the end of its keep time.
    pub(super) fn schedule_keep(&mut self, replica: usize) {
        let state = &self.state.replicas[replica];
        let not_idle = state.phase != ReplicaPhase::Ready || state.running > 0;
        // Requests may still wait for one of its adapters.
        let waited_for = self.waiting_with_adapters(self.base_of(state.model)) > 0;
        let held = self.policy.holds_engines();
        if held || not_idle || waited_for || self.is_wanted(replica) {
            return;
        }
        let (schedule, age) = self.keep_schedule(replica);
        let reload = self.shortest_load_time(self.state.replicas[replica].model);
        let Some(until) = schedule.kept_until(age, reload) else {
            self.unload_idle(replica, &schedule, age);
            return;
        };
        let state = &mut self.state.replicas[replica];
        state.generation += 1;
        let event = ReplayEvent::KeepCheck {
            replica,
            generation: state.generation,
        };
        // One microsecond more, so that the check never comes before the end of the keep time.
        let remaining = until.micros().saturating_sub(age.micros()) + 1;
        let event_time = self.state.now + TimeSpan::from_micros(remaining);
        self.events.push(event_time, event);
    }

    /// Handles the end of a keep time, unless the check is stale.
    pub(super) fn keep_check(&mut self, replica: usize, generation: u32) {
        if self.state.replicas[replica].generation == generation {
            self.schedule_keep(replica);
        }
    }

    fn keep_schedule(&self, replica: usize) -> (WarmSchedule, TimeSpan) {
        let now = self.state.now;
        let state = &self.state.replicas[replica];
        let model = &self.state.models[state.model];
        let last = model.history.last_request().unwrap_or(state.idle_since);
        let age = now.since(last);
        let next = model
            .arrival_times
            .partition_point(|arrival| *arrival <= now);
        let context = KeepContext {
            load: self.shortest_load_time(state.model),
            age,
            idle: now.since(state.idle_since),
            next: model
                .arrival_times
                .get(next)
                .map(|arrival| arrival.since(now)),
        };
        (self.policy.schedule(&context), age)
    }

    fn unload_idle(&mut self, replica: usize, schedule: &WarmSchedule, age: TimeSpan) {
        let model = self.state.replicas[replica].model;
        self.unload(replica);
        let Some(from) = schedule.next_start(age) else {
            return;
        };
        let lead = self.shortest_load_time(model) + self.policy.values.ahead_slack;
        let remaining = from.micros().saturating_sub(age.micros() + lead.micros());
        let event_time = self.state.now + TimeSpan::from_micros(remaining);
        let arrivals = self.state.models[model].arrivals;
        self.events
            .push(event_time, ReplayEvent::Preload { model, arrivals });
    }

    /// Loads a model ahead of its next expected request, unless requests for it have arrived since
    /// this preload was scheduled, it has a replica, or the log is down.
    pub(super) fn preload(&mut self, model: usize, arrivals: u32) {
        let target = &self.state.models[model];
        let outdated = target.arrivals != arrivals || !target.replicas.is_empty();
        if outdated || self.trouble.is_log_down(self.state.now) {
            return;
        }
        if self.place_replica(model, true) {
            self.record_preload();
        }
    }

    /// Counts a preload and marks the newest replica as not used yet.
    pub(super) fn record_preload(&mut self) {
        self.outcome.preloads += 1;
        if let Some(replica) = self.state.replicas.last_mut() {
            replica.unused = true;
        }
    }

    /// Unloads a replica and the adapters on it.
    pub(super) fn unload(&mut self, replica: usize) {
        let (model, engine) = {
            let state = &self.state.replicas[replica];
            (state.model, state.engine)
        };
        for adapter in self.adapters_on(replica) {
            self.unload(adapter);
        }
        self.add_idle_time(replica);
        let state = &mut self.state.replicas[replica];
        state.phase = ReplicaPhase::Unloaded;
        state.generation += 1;
        let is_other = |other: &usize| *other != replica;
        self.state.models[model].replicas.retain(is_other);
        let engine_state = &mut self.state.engines[engine];
        engine_state.replicas.retain(is_other);
        if engine_state.replicas.is_empty() {
            engine_state.generation += 1;
            let event = ReplayEvent::EmptyCheck {
                engine,
                generation: engine_state.generation,
            };
            let event_time = self.state.now + self.policy.values.standby_after;
            self.events.push(event_time, event);
        }
    }

    fn adapters_on(&self, replica: usize) -> Vec<usize> {
        let state = &self.state.replicas[replica];
        let on_replica = |other: &usize| {
            let adapter = &self.state.replicas[*other];
            self.trace.models[adapter.model].base == Some(state.model)
        };
        let replicas = self.state.engines[state.engine].replicas.iter();
        replicas.copied().filter(on_replica).collect()
    }

    /// Puts an engine on standby that has been empty for `standby_after`, unless the check is
    /// stale.
    pub(super) fn empty_check(&mut self, engine: usize, generation: u32) {
        if self.state.engines[engine].generation != generation {
            return;
        }
        let view = StandbyView {
            role: self.state.engines[engine].role,
            empty_for: Some(self.policy.values.standby_after),
            needed_in: None,
            load_time: TimeSpan::ZERO,
        };
        if standby_choice(&view, &self.policy.values) == StandbyChoice::EnterStandby {
            self.add_awake_time(engine);
            self.state.engines[engine].role = EngineRole::Standby;
        }
    }

    /// Caches a checkpoint on the disk of an engine's host; beyond the limit, the least recently
    /// loaded one is dropped.
    pub(super) fn cache_checkpoint(&mut self, engine: usize, model: usize) {
        let engine_state = &mut self.state.engines[engine];
        engine_state.disk_models.retain(|other| *other != model);
        engine_state.disk_models.push_back(model);
        engine_state.tiers[model] = CacheTier::Disk.min(engine_state.tiers[model]);
        if engine_state.disk_models.len() > engine_state.max_disk_models
            && let Some(oldest) = engine_state.disk_models.pop_front()
        {
            engine_state.tiers[oldest] = CacheTier::Remote;
        }
    }

    /// Whether the plan sheet requires a replica to be ready now: it is one of the model's first
    /// `ready` replicas, within the sheet's hours.
    pub(super) fn is_wanted(&self, replica: usize) -> bool {
        let index = self.state.replicas[replica].model;
        let model = &self.trace.models[index];
        if model.ready == 0 || !self.in_sheet_hours(index) {
            return false;
        }
        let required = self.state.models[index].replicas.iter();
        let mut required = required.take(usize::from(model.ready));
        required.any(|other| *other == replica)
    }

    fn in_sheet_hours(&self, model: usize) -> bool {
        time_until_order(&self.ready_terms(model), &self.policy.values) == TimeSpan::ZERO
    }

    fn ready_terms(&self, model: usize) -> ReadyTerms {
        ReadyTerms {
            from: self.trace.models[model].ready_from,
            time_of_day: TimeSpan::from_micros(self.state.now.0 % DAY.micros()),
            load_time: self.policy.values.load_remote + self.policy.values.standby_back,
        }
    }

    /// Schedules the start and end of the plan sheet's hours on each day of the week.
    pub(super) fn schedule_sheet(&mut self) {
        for model in 0..self.trace.models.len() {
            if self.trace.models[model].ready == 0 {
                continue;
            }
            let begin = time_until_order(&self.ready_terms(model), &self.policy.values);
            let mut day = MonoTime::default();
            while day < MonoTime::default() + WEEK {
                let event = ReplayEvent::SheetBegin { model };
                self.events.push(day + begin, event);
                day = day + DAY;
                self.events.push(day, ReplayEvent::SheetEnd { model });
            }
        }
    }

    /// Loads a model until it has as many replicas as the plan sheet requires.
    pub(super) fn sheet_begin(&mut self, model: usize) {
        if self.trouble.is_log_down(self.state.now) {
            let back = self.trouble.log_back_at();
            self.events.push(back, ReplayEvent::SheetBegin { model });
            return;
        }
        let wanted = usize::from(self.trace.models[model].ready);
        while self.state.models[model].replicas.len() < wanted {
            if !self.place_replica(model, false) {
                // Memory may become free when another model goes idle.
                let later = self.state.now + TimeSpan::from_secs(SHEET_RETRY_SECONDS);
                self.events.push(later, ReplayEvent::SheetBegin { model });
                return;
            }
        }
    }

    /// Starts the keep time of replicas that the plan sheet no longer requires.
    pub(super) fn sheet_end(&mut self, model: usize) {
        for replica in self.state.models[model].replicas.clone() {
            self.schedule_keep(replica);
        }
    }

    /// Share of its engine's memory that a replica takes.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn memory_share(&self, replica: usize) -> f64 {
        let state = &self.state.replicas[replica];
        let memory = self.trace.models[state.model].memory.bytes() as f64;
        memory / self.state.engines[state.engine].memory.bytes() as f64
    }

    /// Adds the idle time of a base model's replica since the last call to the outcome, weighted
    /// by its share of the engine's memory.
    pub(super) fn add_idle_time(&mut self, replica: usize) {
        let state = &self.state.replicas[replica];
        let adapter = self.trace.models[state.model].base.is_some();
        if state.running > 0 || adapter {
            return;
        }
        let idle = self.state.now.since(state.idle_since).seconds();
        self.outcome.held_seconds += idle * self.memory_share(replica);
        self.state.replicas[replica].idle_since = self.state.now;
    }

    /// Adds the time for which an engine has been awake without requests since the last call to
    /// the outcome.
    pub(super) fn add_awake_time(&mut self, engine: usize) {
        let now = self.state.now;
        let engine_state = &mut self.state.engines[engine];
        if engine_state.running > 0 || engine_state.role == EngineRole::Standby {
            return;
        }
        self.outcome.idle_seconds += now.since(engine_state.idle_since).seconds();
        engine_state.idle_since = now;
    }

    /// Adds the idle times up to the end of the week and returns the outcome.
    pub(super) fn finish(mut self) -> ReplayOutcome {
        let held: Vec<usize> = self
            .state
            .models
            .iter()
            .flat_map(|model| model.replicas.iter().copied())
            .collect();
        for replica in held {
            self.add_idle_time(replica);
        }
        for engine in 0..self.state.engines.len() {
            self.add_awake_time(engine);
        }
        self.outcome
    }
}
