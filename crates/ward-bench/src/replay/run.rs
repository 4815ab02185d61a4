//! One replay of a trace under one policy.
//!
//! Engines are modelled as memory and request slots, loads as durations, with a
//! limited number of loads from the weight store at a time; nothing else is
//! simulated. All policies share placement, the plan's limits and the standby rule.

use hdrhistogram::CreationError;
use indexmap::IndexSet;
use quick_error::quick_error;
use ward_policy::{PickCandidate, admits_priority, pick_replica};
use ward_protocol::id::IdError;
use ward_protocol::{MonoTime, TimeSpan};

use super::event::{EventQueue, ReplayEvent};
use super::outcome::{ReplayOutcome, WaitCause};
use super::rule::ReplayPolicy;
use super::state::{ModelState, QueuedRequest, ReplayState, ReplicaPhase, fleet_engines};
use super::store::StoreQueue;
use super::trace::{RequestTrace, WEEK};
use super::trouble::ReplayTrouble;
use super::workload::FleetShape;

/// Requests that one replica runs at a time.
const REPLICA_SLOTS: u32 = 16;
/// Maximum number of waiting requests in the whole system.
pub(super) const MAX_WAITING: u32 = 1_024;

quick_error! {
    /// A replay that cannot run.
    #[derive(Debug)]
    pub enum ReplayError {
        /// A histogram cannot be made.
        Histogram(cause: CreationError) {
            from()
            display("cannot make a histogram: {cause}")
            source(cause)
        }
        /// A name made from the workload is not valid.
        Name(cause: IdError) {
            from()
            display("a name of the workload is not valid: {cause}")
            source(cause)
        }
    }
}

/// A replay in progress.
#[derive(Debug)]
pub(super) struct ReplayRun<'a> {
    pub(super) trace: &'a RequestTrace,
    pub(super) policy: &'a ReplayPolicy,
    pub(super) trouble: ReplayTrouble,
    pub(super) state: ReplayState,
    pub(super) events: EventQueue,
    pub(super) store: StoreQueue,
    pub(super) outcome: ReplayOutcome,
    /// Models for which no engine had memory; retried when a replica goes idle.
    pub(super) starved: IndexSet<usize>,
    /// Indices of each model's adapters.
    pub(super) adapters: Vec<Vec<usize>>,
    pub(super) adapters_loading: u32,
    waiting: u32,
}

/// Replays a trace under one policy.
///
/// # Errors
///
/// When a histogram or an engine's name cannot be made.
pub fn replay_trace(
    trace: &RequestTrace,
    shape: &FleetShape,
    policy: &ReplayPolicy,
    trouble: ReplayTrouble,
) -> Result<ReplayOutcome, ReplayError> {
    let mut run = ReplayRun::new(trace, shape, policy, trouble)?;
    run.schedule_sheet();
    run.schedule_fill();
    for request in 0..trace.requests.len() {
        let event_time = trace.requests[request].arrives_at;
        run.events.push(event_time, ReplayEvent::Arrive { request });
    }
    let end = MonoTime::default() + WEEK;
    while let Some((event_time, event)) = run.events.pop() {
        if event_time > end {
            break;
        }
        run.state.now = event_time;
        run.handle_event(event);
    }
    run.state.now = end;
    Ok(run.finish())
}

impl<'a> ReplayRun<'a> {
    fn new(
        trace: &'a RequestTrace,
        shape: &FleetShape,
        policy: &'a ReplayPolicy,
        trouble: ReplayTrouble,
    ) -> Result<Self, ReplayError> {
        let mut models = vec![ModelState::default(); trace.models.len()];
        let mut adapters = vec![Vec::new(); trace.models.len()];
        for request in &trace.requests {
            let base = trace.models[request.model].base.unwrap_or(request.model);
            models[base].arrival_times.push(request.arrives_at);
        }
        for (index, model) in trace.models.iter().enumerate() {
            if let Some(base) = model.base {
                adapters[base].push(index);
            }
        }
        let loads = usize::from(ward_protocol::StoreLimits::default().model_loads);
        Ok(Self {
            trace,
            policy,
            trouble,
            state: ReplayState {
                now: MonoTime::default(),
                models,
                replicas: Vec::new(),
                engines: fleet_engines(shape, trace)?,
            },
            events: EventQueue::default(),
            store: StoreQueue::new(policy.order, loads),
            outcome: ReplayOutcome::new()?,
            starved: IndexSet::new(),
            adapters,
            adapters_loading: 0,
            waiting: 0,
        })
    }

    fn handle_event(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrive { request } => self.receive_request(request),
            ReplayEvent::Loaded { replica } => self.finish_load(replica),
            ReplayEvent::Finished { replica } => self.finish_request(replica),
            ReplayEvent::KeepCheck {
                replica,
                generation,
            } => self.keep_check(replica, generation),
            ReplayEvent::Preload { model, arrivals } => self.preload(model, arrivals),
            ReplayEvent::Expire { request } => self.expire_request(request),
            ReplayEvent::Retry { model } => self.load_for_waiting(model),
            ReplayEvent::SheetBegin { model } => self.sheet_begin(model),
            ReplayEvent::SheetEnd { model } => self.sheet_end(model),
            ReplayEvent::HoldCheck { engine, generation } => self.hold_check(engine, generation),
            ReplayEvent::FillCheck => self.fill_check(),
            ReplayEvent::EmptyCheck { engine, generation } => self.empty_check(engine, generation),
        }
    }

    /// The base model of a model or adapter.
    pub(super) fn base_of(&self, model: usize) -> usize {
        self.trace.models[model].base.unwrap_or(model)
    }

    /// A model and its adapters.
    pub(super) fn with_adapters(&self, base: usize) -> Vec<usize> {
        let adapters = self.adapters[base].iter().copied();
        std::iter::once(base).chain(adapters).collect()
    }

    fn receive_request(&mut self, request: usize) {
        let arrival = self.trace.requests[request];
        let base = self.base_of(arrival.model);
        let decay = self.policy.values.gap_decay;
        self.state.models[base]
            .history
            .observe(self.state.now, decay);
        self.state.models[base].arrivals += 1;
        if let Some(replica) = self.pick_ready(arrival.model, arrival.prefix) {
            self.start_request(replica, request, None);
            return;
        }
        if !self.admits(request) || !self.can_start(arrival.model) {
            self.outcome.counts_of(arrival.priority).refused += 1;
            self.record_wait(request, arrival.deadline);
            return;
        }
        let queued = QueuedRequest {
            request,
            cause: None,
        };
        self.state.models[arrival.model].queue.push_back(queued);
        self.waiting += 1;
        let deadline = arrival.arrives_at + arrival.deadline;
        self.events.push(deadline, ReplayEvent::Expire { request });
        self.load_for_waiting(arrival.model);
    }

    fn admits(&self, request: usize) -> bool {
        if !self.policy.urgency {
            return self.waiting < MAX_WAITING;
        }
        let priority = self.trace.requests[request].priority;
        admits_priority(priority, self.waiting, MAX_WAITING, &self.policy.values)
    }

    /// Whether a model has a replica, or may get one now.
    fn can_start(&self, model: usize) -> bool {
        let base = self.base_of(model);
        let held = !self.state.models[base].replicas.is_empty();
        held || !self.trouble.is_log_down(self.state.now)
    }

    fn pick_ready(&self, model: usize, prefix: u64) -> Option<usize> {
        let ready: Vec<usize> = self
            .state
            .replicas_in_phase(model, ReplicaPhase::Ready)
            .collect();
        let candidates: Vec<PickCandidate> = ready
            .iter()
            .map(|replica| self.pick_candidate(*replica))
            .collect();
        let index = pick_replica(&candidates, REPLICA_SLOTS, prefix)?;
        Some(ready[index])
    }

    fn pick_candidate(&self, replica: usize) -> PickCandidate {
        let base_replica = self.base_replica(replica);
        let running = self.state.replicas[base_replica].running;
        let engine = &self.state.engines[self.state.replicas[replica].engine];
        PickCandidate {
            backend: engine.backend.clone(),
            outstanding: running,
            reported: running,
            same_zone: false,
        }
    }

    /// The base model's replica on which an adapter runs, or the replica itself.
    fn base_replica(&self, replica: usize) -> usize {
        let state = &self.state.replicas[replica];
        let base = self.base_of(state.model);
        let on_engine = |other: &usize| self.state.replicas[*other].engine == state.engine;
        let replicas = self.state.models[base].replicas.iter().copied();
        replicas.into_iter().find(on_engine).unwrap_or(replica)
    }

    fn start_request(&mut self, replica: usize, request: usize, cause: Option<WaitCause>) {
        let arrival = self.trace.requests[request];
        let wait = self.state.now.since(arrival.arrives_at);
        self.record_wait(request, wait);
        self.outcome.counts_of(arrival.priority).served += 1;
        let cause = cause.unwrap_or(WaitCause::Warm);
        if let Some(recorder) = self.outcome.causes.get_mut(&cause) {
            recorder.record(wait);
        }
        self.take_slot(replica);
        let end = self.state.now + arrival.service;
        self.events.push(end, ReplayEvent::Finished { replica });
    }

    fn record_wait(&mut self, request: usize, wait: TimeSpan) {
        let priority = self.trace.requests[request].priority;
        if priority < self.policy.values.slack_from {
            self.outcome.waits.record(wait);
        } else {
            self.outcome.slack.record(wait);
        }
    }

    fn take_slot(&mut self, replica: usize) {
        let base_replica = self.base_replica(replica);
        if base_replica != replica {
            self.state.replicas[replica].running += 1;
        }
        self.add_idle_time(base_replica);
        let engine = self.state.replicas[replica].engine;
        self.add_awake_time(engine);
        let state = &mut self.state.replicas[base_replica];
        state.running += 1;
        state.unused = false;
        state.generation += 1;
        let engine_state = &mut self.state.engines[engine];
        engine_state.running += 1;
        engine_state.hold_generation += 1;
    }

    fn finish_request(&mut self, replica: usize) {
        let now = self.state.now;
        let base_replica = self.base_replica(replica);
        if base_replica != replica {
            self.state.replicas[replica].running -= 1;
            self.state.replicas[replica].idle_since = now;
        }
        let engine = self.state.replicas[replica].engine;
        let state = &mut self.state.replicas[base_replica];
        state.running -= 1;
        let idle = state.running == 0;
        let base = state.model;
        state.idle_since = now;
        let engine_state = &mut self.state.engines[engine];
        engine_state.running -= 1;
        engine_state.idle_since = now;
        self.serve_with_adapters(base);
        if idle {
            self.retry_starved();
            self.schedule_keep(base_replica);
        }
        self.schedule_hold(engine);
    }

    /// Starts waiting requests of a model and its adapters while slots are free.
    pub(super) fn serve_with_adapters(&mut self, base: usize) {
        for model in self.with_adapters(base) {
            self.serve_model(model);
        }
    }

    fn serve_model(&mut self, model: usize) {
        while let Some(queued) = self.state.models[model].queue.front().copied() {
            let prefix = self.trace.requests[queued.request].prefix;
            let Some(replica) = self.pick_ready(model, prefix) else {
                return;
            };
            self.state.models[model].queue.pop_front();
            self.waiting -= 1;
            self.start_request(replica, queued.request, queued.cause);
        }
    }

    fn expire_request(&mut self, request: usize) {
        let arrival = self.trace.requests[request];
        let queue = &mut self.state.models[arrival.model].queue;
        let Some(index) = queue.iter().position(|queued| queued.request == request) else {
            return;
        };
        queue.remove(index);
        self.waiting -= 1;
        self.outcome.counts_of(arrival.priority).late += 1;
        self.record_wait(request, arrival.deadline);
    }
}
