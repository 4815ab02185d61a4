//! One emulated day: requests wait for engines, are served, refused or lost.

use indexmap::IndexMap;
use ward_fleet::placement::{MemberKey, plan_tasks, slow_models};
use ward_fleet::{LoadReport, RunningCount, WaitingCount};
use ward_protocol::{BackendId, IdError, ModelName, MonoTime, TimeSpan};

use super::day::{DayPlan, SiteConfig};
use super::fleet::{EmulatedFleet, model_name};
use super::traffic::{CallerRequest, RequestKind};

/// Time between two steps of the emulation.
const STEP: TimeSpan = TimeSpan::from_millis(20);
/// Steps between two runs of the planner.
const STEPS_PER_PLAN: u64 = 3;
/// Time for which the fleet runs before the first request.
const WARM_UP: TimeSpan = TimeSpan::from_secs(10);
/// Window over which the store's limit of loads per second applies.
const RATE_WINDOW: TimeSpan = TimeSpan::from_secs(5);
/// Time in which an engine processes the prompt, before the first part of an answer.
pub(super) const PROMPT_TIME: TimeSpan = TimeSpan::from_millis(17);
/// Number of decoding steps of an answer.
const ANSWER_STEPS: u64 = 70;
/// Time of a decoding step on an engine without other requests.
const ANSWER_STEP_MICROS: u64 = 5_470;
/// Growth of a decoding step's time for each other request at the engine, in percent.
const BATCH_PERCENT: u64 = 2;

/// Outcome of the requests of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindOutcome {
    /// Number of requests.
    pub requests: usize,
    /// Answered on time.
    pub on_time: usize,
    /// Answered late.
    pub late: usize,
    /// Refused, with a time after which to retry.
    pub refused: usize,
    /// Neither answered nor refused before their caller left.
    pub lost: usize,
    /// Total worth of the answers, on time or late.
    pub earned_worth: f64,
    /// Total worth if all requests had been answered on time.
    pub max_worth: f64,
}

impl KindOutcome {
    pub(super) fn record_request(&mut self, kind: RequestKind) {
        self.requests += 1;
        self.max_worth += kind.worth().0;
    }

    pub(super) fn record_answer(&mut self, kind: RequestKind, waited: TimeSpan) {
        let (on_time, late) = kind.worth();
        if waited <= kind.target() {
            self.on_time += 1;
            self.earned_worth += on_time;
        } else {
            self.late += 1;
            self.earned_worth += late;
        }
    }

    /// Earned share of the maximum worth; 1 without requests.
    #[must_use]
    pub fn worth_ratio(&self) -> f64 {
        if self.max_worth > 0.0 {
            self.earned_worth / self.max_worth
        } else {
            1.0
        }
    }
}

/// Outcome of the requests of a day.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DayOutcome {
    /// Requests for busy models.
    pub busy: KindOutcome,
    /// Requests for rare models.
    pub rare: KindOutcome,
    /// Number of loads from the weight store.
    pub store_loads: usize,
    /// Outcome of the requests that arrived in each second of the day.
    pub by_second: Vec<KindOutcome>,
}

impl DayOutcome {
    pub(super) fn new(config: &SiteConfig) -> Self {
        let seconds = usize::try_from(config.length.millis() / 1_000 + 2).unwrap_or(1);
        Self {
            by_second: vec![KindOutcome::default(); seconds],
            ..Self::default()
        }
    }

    pub(super) fn update(&mut self, request: &CallerRequest, update: impl Fn(&mut KindOutcome)) {
        let kind = match request.kind {
            RequestKind::Busy => &mut self.busy,
            RequestKind::Rare => &mut self.rare,
        };
        update(kind);
        let since = request.arrives_at.since(MonoTime::default()).millis() / 1_000;
        let second = usize::try_from(since).unwrap_or(usize::MAX);
        if let Some(second) = self.by_second.get_mut(second) {
            update(second);
        }
    }

    /// Earned share of the maximum worth of all requests.
    #[must_use]
    pub fn worth_ratio(&self) -> f64 {
        (self.busy.earned_worth + self.rare.earned_worth)
            / (self.busy.max_worth + self.rare.max_worth).max(1.0)
    }
}

/// A request that runs on an engine.
struct RunningRequest {
    engine: BackendId,
    model: ModelName,
    ends: MonoTime,
}

struct DayRun {
    fleet: EmulatedFleet,
    waiting: Vec<CallerRequest>,
    running: Vec<RunningRequest>,
    arrivals: Vec<WaitingCount>,
    outcome: DayOutcome,
}

/// Emulates a day with the placement code of the daemons.
///
/// # Errors
/// When a name made for the day is not valid.
pub fn run_day(
    config: &SiteConfig,
    plan: &DayPlan,
    requests: &[CallerRequest],
) -> Result<DayOutcome, IdError> {
    let warm_up_steps = WARM_UP.millis() / STEP.millis();
    let day_steps = (config.length + RequestKind::Rare.timeout()).millis() / STEP.millis();
    let mut run = DayRun {
        fleet: EmulatedFleet::new(config, &delayed_plan(plan))?,
        waiting: Vec::new(),
        running: Vec::new(),
        arrivals: Vec::new(),
        outcome: DayOutcome::new(config),
    };
    let mut remaining = requests.iter().peekable();
    for step in 0..warm_up_steps + day_steps {
        let now = MonoTime::default() + TimeSpan::from_millis(step * STEP.millis());
        run.fleet.advance(now)?;
        run.running.retain(|request| request.ends > now);
        while let Some(request) = remaining.next_if(|request| request.arrives_at + WARM_UP <= now) {
            run.receive(request)?;
        }
        run.serve(now)?;
        if step % STEPS_PER_PLAN == 0 {
            run.plan(now);
        }
    }
    run.outcome.store_loads = run.fleet.store_loads;
    Ok(run.outcome)
}

/// The plan on the run's clock, which starts `WARM_UP` before the day; only replacements are moved.
fn delayed_plan(plan: &DayPlan) -> DayPlan {
    let mut plan = plan.clone();
    for replacement in &mut plan.replacements {
        replacement.drains_at = replacement.drains_at + WARM_UP;
    }
    plan
}

impl DayRun {
    fn receive(&mut self, request: &CallerRequest) -> Result<(), IdError> {
        self.outcome
            .update(request, |kind| kind.record_request(request.kind));
        self.arrivals.push(WaitingCount {
            service: self.fleet.service.clone(),
            model: model_name(request.model)?,
            adapter: None,
            software: None,
            count: 1,
        });
        self.waiting.push(*request);
        Ok(())
    }

    fn serve(&mut self, now: MonoTime) -> Result<(), IdError> {
        let slow = slow_models(&self.fleet.state, &self.fleet.manifest, now);
        for request in std::mem::take(&mut self.waiting) {
            let model = model_name(request.model)?;
            let since = request.arrives_at + WARM_UP;
            if let Some(engine) = self.choose_engine(&model) {
                self.start(&request, engine, model, now);
                continue;
            }
            let timeout = request.kind.timeout();
            let forecast = slow.iter().find(|slow| slow.model == model);
            let late = forecast.is_some_and(|slow| now + slow.ready_in > since + timeout);
            if late {
                self.outcome.update(&request, |kind| kind.refused += 1);
            } else if now.since(since) >= timeout {
                self.outcome.update(&request, |kind| kind.lost += 1);
            } else {
                self.waiting.push(request);
            }
        }
        Ok(())
    }

    /// The engine with the fewest requests among those that hold the model and have a free slot.
    fn choose_engine(&self, model: &ModelName) -> Option<BackendId> {
        let engines = self.fleet.state.engines.iter().filter(|(_, engine)| {
            let held = engine.held.get(model);
            !engine.info.draining && held.is_some_and(|held| !held.unloading)
        });
        let loads = engines.map(|(id, engine)| (self.running_at(id), engine.info.slots, id));
        let with_free_slot = loads.filter(|(load, slots, _)| load < slots);
        with_free_slot
            .min_by_key(|(load, _, _)| *load)
            .map(|(_, _, id)| id.clone())
    }

    fn running_at(&self, engine: &BackendId) -> u32 {
        let running = self.running.iter();
        let load = running.filter(|request| request.engine == *engine).count();
        u32::try_from(load).unwrap_or(u32::MAX)
    }

    fn start(
        &mut self,
        request: &CallerRequest,
        engine: BackendId,
        model: ModelName,
        now: MonoTime,
    ) {
        let others = u64::from(self.running_at(&engine));
        let decode_micros =
            ANSWER_STEPS * ANSWER_STEP_MICROS * (100 + BATCH_PERCENT * others) / 100;
        let first = now + PROMPT_TIME;
        let waited = first.since(request.arrives_at + WARM_UP);
        self.outcome
            .update(request, |kind| kind.record_answer(request.kind, waited));
        self.running.push(RunningRequest {
            engine,
            model,
            ends: first + TimeSpan::from_millis(decode_micros / 1_000),
        });
    }

    fn plan(&mut self, now: MonoTime) {
        let report = LoadReport {
            running: self.running_counts(),
            waiting: self.waiting_counts(),
            arrivals: std::mem::take(&mut self.arrivals),
            ..LoadReport::default()
        };
        let fleet = &mut self.fleet;
        fleet.state.apply_report(MemberKey(0), report);
        fleet.state.recompute(now);
        let tasks = plan_tasks(&mut fleet.state, &fleet.manifest, RATE_WINDOW, now);
        for task in tasks {
            fleet.begin_task(task, now);
        }
    }

    fn running_counts(&self) -> Vec<RunningCount> {
        let counts = self.running.iter().map(|request| RunningCount {
            engine: request.engine.clone(),
            model: Some(request.model.clone()),
            adapter: None,
            count: 1,
        });
        counts.collect()
    }

    fn waiting_counts(&self) -> Vec<WaitingCount> {
        let mut counts: IndexMap<usize, u32> = IndexMap::new();
        for request in &self.waiting {
            *counts.entry(request.model).or_default() += 1;
        }
        let counts = counts.into_iter().filter_map(|(model, count)| {
            Some(WaitingCount {
                service: self.fleet.service.clone(),
                model: model_name(model).ok()?,
                adapter: None,
                software: None,
                count,
            })
        });
        counts.collect()
    }
}
