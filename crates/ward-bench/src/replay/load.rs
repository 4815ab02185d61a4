//! Loads of a replay: demand, placement and the weight store.

use ward_policy::{
    HeldReplica, PlaceChoice, PlaceRequest, ScaleView, SlackView, choose_engine_to_wake,
    max_load_delay, place_replica_by, should_scale_out,
};
use ward_protocol::{
    BackendId, CacheTier, EngineRole, MonoTime, PriorityLevel, ReservationId, TimeSpan,
};

use super::event::ReplayEvent;
use super::outcome::WaitCause;
use super::run::ReplayRun;
use super::state::{ReplicaPhase, ReplicaState, ReplicaUse};
use super::store::LoadUrgency;

/// Number of adapters that load at full speed at the same time.
const FULL_SPEED_ADAPTERS: u32 = 30;
/// Later than any deadline.
const NO_DEADLINE: MonoTime = MonoTime(u64::MAX);

impl ReplayRun<'_> {
    /// Starts the loads that a model's waiting requests need; schedules a retry while the log is
    /// down or the requests have slack.
    pub(super) fn load_for_waiting(&mut self, model: usize) {
        let base = self.base_of(model);
        let waiting = self.waiting_with_adapters(base);
        if waiting == 0 {
            self.starved.swap_remove(&model);
            return;
        }
        if self.trouble.is_log_down(self.state.now) {
            let back = self.trouble.log_back_at();
            self.events.push(back, ReplayEvent::Retry { model });
            return;
        }
        if let Some(delay) = self.slack_with_adapters(base) {
            let later = self.state.now + delay;
            self.events.push(later, ReplayEvent::Retry { model });
            return;
        }
        if self.needs_replica(base, waiting) {
            self.place_replica(base, false);
        }
        let queued = u32::try_from(self.state.models[model].queue.len()).unwrap_or(u32::MAX);
        let base_ready = self
            .state
            .replicas_in_phase(base, ReplicaPhase::Ready)
            .count()
            > 0;
        if model != base && base_ready && queued > 0 && self.needs_replica(model, queued) {
            self.place_replica(model, false);
        }
    }

    pub(super) fn waiting_with_adapters(&self, base: usize) -> u32 {
        let models = self.with_adapters(base);
        let waiting: usize = models
            .iter()
            .map(|model| self.state.models[*model].queue.len())
            .sum();
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    fn needs_replica(&self, model: usize, waiting: u32) -> bool {
        let count = |phase| {
            let count = self.state.replicas_in_phase(model, phase).count();
            u32::try_from(count).unwrap_or(u32::MAX)
        };
        let view = ScaleView {
            ready: count(ReplicaPhase::Ready),
            loading: count(ReplicaPhase::Loading),
            max_replicas: u32::from(self.trace.models[model].replicas),
            waiting,
            service_time: self.trace.models[model].service,
            load_time: self.shortest_load_time(model),
        };
        should_scale_out(&view, &self.policy.values)
    }

    /// How long the load of a model without replicas may be put off.
    fn slack_with_adapters(&self, base: usize) -> Option<TimeSpan> {
        if !self.policy.urgency || !self.state.models[base].replicas.is_empty() {
            return None;
        }
        let shortest_load = self.shortest_load_time(base);
        let models = self.with_adapters(base);
        let requests = models
            .iter()
            .flat_map(|model| self.state.models[*model].queue.iter());
        let delays: Option<Vec<TimeSpan>> = requests
            .map(|queued| self.request_slack(queued.request, shortest_load))
            .collect();
        delays?.into_iter().min()
    }

    fn request_slack(&self, request: usize, shortest_load: TimeSpan) -> Option<TimeSpan> {
        let arrival = self.trace.requests[request];
        let waited = self.state.now.since(arrival.arrives_at);
        let view = SlackView {
            priority: arrival.priority,
            waited,
            time_left: (arrival.arrives_at + arrival.deadline).since(self.state.now),
            load_time: shortest_load,
            service_time: arrival.service,
        };
        max_load_delay(&view, &self.policy.values)
    }

    /// Load time from a tier, without a wait for or a slowdown of the weight store.
    fn tier_load_time(&self, tier: CacheTier) -> TimeSpan {
        let values = &self.policy.values;
        match tier {
            CacheTier::Memory => values.load_memory,
            CacheTier::Disk => values.load_disk,
            CacheTier::Remote => values.load_remote,
        }
    }

    /// Shortest time in which any engine could load a model, including its return from standby.
    pub(super) fn shortest_load_time(&self, model: usize) -> TimeSpan {
        if self.trace.models[model].base.is_some() {
            return self.policy.values.load_adapter;
        }
        let load_times = self.state.engines.iter().map(|engine| {
            let load = self.tier_load_time(engine.tiers[model]);
            match engine.role {
                EngineRole::Standby => load + self.policy.values.standby_back,
                EngineRole::Serving | EngineRole::Prefill | EngineRole::Decode => load,
            }
        });
        load_times.min().unwrap_or(self.policy.values.load_remote)
    }

    /// Starts the load of a replica and returns whether an engine was found; a preload evicts
    /// nothing.
    pub(super) fn place_replica(&mut self, model: usize, is_preload: bool) -> bool {
        let may_wake = !self.trace.models[model].key.is_adapter();
        self.place_with_wake(model, is_preload, may_wake)
    }

    /// Like `place_replica`, but wakes an engine from standby only if `may_wake` is set.
    pub(super) fn place_with_wake(
        &mut self,
        model: usize,
        is_preload: bool,
        may_wake: bool,
    ) -> bool {
        let request = self.place_request(model, is_preload);
        let views = self
            .state
            .engine_views(self.trace, model, |replica| self.replica_use(replica));
        let without_wake = place_replica_by(&request, &views, |_, held| {
            let only_free_memory = is_preload && self.policy.holds_engines();
            if only_free_memory {
                f64::INFINITY
            } else {
                self.cost_before_wake(held)
            }
        });
        if without_wake != PlaceChoice::Impossible {
            return self.apply_choice(model, without_wake);
        }
        if may_wake && let Some(backend) = choose_engine_to_wake(&request, &views) {
            return self.reserve(model, &backend, self.policy.values.standby_back);
        }
        if is_preload {
            return false;
        }
        let choice = place_replica_by(&request, &views, |_, held| self.evict_cost(held));
        self.apply_choice(model, choice)
    }

    fn apply_choice(&mut self, model: usize, choice: PlaceChoice) -> bool {
        match choice {
            PlaceChoice::Place { backend } => self.reserve(model, &backend, TimeSpan::ZERO),
            PlaceChoice::Evict { backend, victims } => {
                self.evict(&victims);
                self.reserve(model, &backend, TimeSpan::ZERO)
            }
            PlaceChoice::Impossible => {
                if self.waiting_with_adapters(self.base_of(model)) > 0 {
                    self.starved.insert(model);
                }
                false
            }
        }
    }

    /// Cost of an eviction while an engine might be woken instead: only replicas whose worth is
    /// below that of one idle accelerator (1.0) are evicted, and none under policies that don't
    /// estimate worth.
    fn cost_before_wake(&self, held: &HeldReplica) -> f64 {
        if !self.policy.holds_engines() {
            return f64::INFINITY;
        }
        let worth = self.replica_worth(held.reservation);
        if worth < 1.0 { worth } else { f64::INFINITY }
    }

    #[allow(clippy::cast_precision_loss)]
    fn evict_cost(&self, held: &HeldReplica) -> f64 {
        if self.policy.holds_engines() {
            return self.replica_worth(held.reservation);
        }
        held.memory.bytes() as f64
    }

    fn replica_use(&self, replica: usize) -> ReplicaUse {
        let state = &self.state.replicas[replica];
        let base = self.base_of(state.model);
        ReplicaUse {
            busy: state.running > 0 || self.waiting_with_adapters(base) > 0,
            wanted: self.is_wanted(replica),
        }
    }

    fn place_request(&self, model: usize, is_preload: bool) -> PlaceRequest {
        let target = &self.trace.models[model];
        let held = self.state.models[model].replicas.iter();
        let zone = |replica: &usize| {
            let engine = self.state.replicas[*replica].engine;
            self.state.engines[engine].zone.clone()
        };
        PlaceRequest {
            key: target.key.clone(),
            memory: target.memory,
            priority: if is_preload {
                PriorityLevel::LAST
            } else {
                target.priority
            },
            zones: Vec::new(),
            roles: Vec::new(),
            occupied_zones: held.map(zone).collect(),
        }
    }

    fn evict(&mut self, victims: &[ReservationId]) {
        for victim in victims {
            let replica = usize::try_from(victim.0).unwrap_or(usize::MAX);
            if self.state.replicas[replica].phase != ReplicaPhase::Unloaded {
                self.outcome.evictions += 1;
                self.unload(replica);
            }
        }
    }

    fn reserve(&mut self, model: usize, backend: &BackendId, wake_time: TimeSpan) -> bool {
        let engines = &self.state.engines;
        let found = engines.iter().position(|engine| engine.backend == *backend);
        let Some(engine) = found else {
            return false;
        };
        self.starved.swap_remove(&model);
        self.wake_up(engine);
        let replica = self.state.replicas.len();
        let tier = self.state.engines[engine].tiers[model];
        let adapter = self.trace.models[model].base.is_some();
        let cause = if adapter {
            WaitCause::Adapter
        } else {
            WaitCause::from(tier)
        };
        self.state.replicas.push(ReplicaState {
            model,
            engine,
            phase: ReplicaPhase::Loading,
            cause,
            running: 0,
            idle_since: self.state.now,
            generation: 0,
            unused: false,
            wake_time,
        });
        self.state.models[model].replicas.push(replica);
        self.state.engines[engine].replicas.push(replica);
        self.begin_load(replica);
        true
    }

    fn wake_up(&mut self, engine: usize) {
        let engine_state = &mut self.state.engines[engine];
        engine_state.generation += 1;
        if engine_state.role == EngineRole::Standby {
            engine_state.role = EngineRole::Serving;
            engine_state.idle_since = self.state.now;
        }
    }

    fn begin_load(&mut self, replica: usize) {
        let state = &self.state.replicas[replica];
        let (cause, wake_time) = (state.cause, state.wake_time);
        let ready = match cause {
            WaitCause::Warm | WaitCause::Remote => {
                self.outcome.loads += 1;
                self.store.push(replica);
                self.start_store_loads();
                return;
            }
            WaitCause::Memory => self.record_host_load(CacheTier::Memory) + wake_time,
            WaitCause::Disk => self.record_host_load(CacheTier::Disk) + wake_time,
            WaitCause::Adapter => self.begin_adapter_load(),
        };
        let event_time = self.state.now + ready;
        self.events
            .push(event_time, ReplayEvent::Loaded { replica });
    }

    fn record_host_load(&mut self, tier: CacheTier) -> TimeSpan {
        self.outcome.loads += 1;
        self.tier_load_time(tier)
    }

    fn begin_adapter_load(&mut self) -> TimeSpan {
        self.adapters_loading += 1;
        self.outcome.adapter_loads += 1;
        let factor = self.adapters_loading.div_ceil(FULL_SPEED_ADAPTERS);
        let load = self.policy.values.load_adapter.duration() * factor;
        TimeSpan::from(load)
    }

    /// Starts waiting loads up to the limit of the weight store.
    pub(super) fn start_store_loads(&mut self) {
        loop {
            let urgency = |replica| self.load_urgency(replica);
            let Some(replica) = self.store.next_load(urgency) else {
                return;
            };
            self.store.begin_load(replica);
            let factor = self.trouble.store_slowdown(self.state.now);
            let load = TimeSpan::from(self.policy.values.load_remote.duration() * factor);
            let ready = self.state.now + load + self.state.replicas[replica].wake_time;
            self.events.push(ready, ReplayEvent::Loaded { replica });
        }
    }

    fn load_urgency(&self, replica: usize) -> LoadUrgency {
        let models = self.with_adapters(self.state.replicas[replica].model);
        let fronts = models
            .iter()
            .filter_map(|model| self.state.models[*model].queue.front());
        fronts
            .map(|queued| self.trace.requests[queued.request])
            .map(|arrival| (arrival.priority, arrival.arrives_at + arrival.deadline))
            .min()
            .unwrap_or((PriorityLevel::LAST, NO_DEADLINE))
    }

    /// Marks a loaded replica as ready and serves the requests that wait for it.
    pub(super) fn finish_load(&mut self, replica: usize) {
        self.add_idle_time(replica);
        let now = self.state.now;
        let state = &mut self.state.replicas[replica];
        state.phase = ReplicaPhase::Ready;
        state.idle_since = now;
        let (model, engine, cause) = (state.model, state.engine, state.cause);
        match cause {
            WaitCause::Adapter => self.adapters_loading -= 1,
            WaitCause::Remote => self.store.finish_load(),
            WaitCause::Warm | WaitCause::Memory | WaitCause::Disk => {}
        }
        self.set_wait_cause(model, cause);
        if cause == WaitCause::Adapter {
            self.serve_with_adapters(self.base_of(model));
            return;
        }
        self.cache_checkpoint(engine, model);
        self.start_store_loads();
        self.serve_with_adapters(model);
        for adapter in self.adapters[model].clone() {
            if !self.state.models[adapter].queue.is_empty() {
                self.load_for_waiting(adapter);
            }
        }
        if self.state.replicas[replica].running == 0 {
            self.retry_starved();
            self.schedule_keep(replica);
        }
        self.schedule_hold(engine);
    }

    fn set_wait_cause(&mut self, model: usize, cause: WaitCause) {
        for member in self.with_adapters(model) {
            for queued in &mut self.state.models[member].queue {
                queued.cause.get_or_insert(cause);
            }
        }
    }

    /// Retries models for which no engine had memory, highest priority first.
    pub(super) fn retry_starved(&mut self) {
        let mut models: Vec<usize> = self.starved.iter().copied().collect();
        models.sort_by_key(|model| self.trace.models[*model].priority);
        for model in models {
            self.load_for_waiting(model);
        }
    }
}
