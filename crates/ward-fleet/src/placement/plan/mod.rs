//! Plans the next tasks for engines.
//!
//! Audits and adapters come first. Model loads follow in order of need: models
//! that requests wait for and an engine has a local copy of; the same for models
//! that streams wait for at the software version that began them; models that the
//! weight store must deliver; further replicas of busy models; for an engine's
//! idle memory, models that it has a local copy of and no engine holds; busy
//! models for engines that hold nothing; and models that no engine has a copy
//! of, since these take longest when they are requested.

mod need;
mod store;

use indexmap::IndexMap;
use ward_protocol::{BackendId, MonoTime, ServiceName, TimeSpan};

use super::adapter::plan_adapters;
use super::demand::ModelKey;
use super::engine::{AuditState, EngineTask, LoadSource, PlacedEngine};
use super::outlook::{LossOutlook, loss_outlooks};
use super::spread::ReplicaCounts;
use super::state::PlacementState;
use super::task::{LoadReason, ModelLoadTask, PlannedTask};
use super::victim::{VictimChoice, VictimSearch};
use crate::manifest::{EngineClass, ServingManifest};

/// Cost of loading a model on an engine that runs requests, in milliseconds per
/// request.
const RUNNING_COST_MILLIS: f64 = 40.0;
/// Cost of loading a model on an engine that takes only a limited rate of requests, in
/// milliseconds.
const LIMITED_COST_MILLIS: f64 = 2_000.0;
/// Minimum concurrency for which a model may get another replica.
const MIN_REPLICA_CONCURRENCY: f64 = 1.0;

/// Plans tasks for engines that have none, and marks the engines as busy with
/// them. `load_window` is the time over which loads from the weight store are
/// counted to limit their rate.
pub fn plan_tasks(
    state: &mut PlacementState,
    manifest: &ServingManifest,
    load_window: TimeSpan,
    now: MonoTime,
) -> Vec<PlannedTask> {
    let mut tasks = plan_audits(state, manifest, now);
    let adapters = plan_adapters(state, manifest, now);
    tasks.extend(adapters.into_iter().map(PlannedTask::Adapter));
    let counts = ReplicaCounts::of(state, now);
    let outlooks = loss_outlooks(state, manifest, now);
    let mut planner = Planner {
        state,
        counts,
        outlooks,
        manifest,
        load_window,
        now,
        tasks: Vec::new(),
    };
    planner.plan_missing();
    planner.plan_versioned();
    planner.plan_fetches();
    planner.plan_busy();
    planner.plan_idle_memory();
    planner.plan_empty();
    planner.plan_absent();
    tasks.extend(planner.tasks.into_iter().map(PlannedTask::Model));
    tasks
}

fn plan_audits(
    state: &mut PlacementState,
    manifest: &ServingManifest,
    now: MonoTime,
) -> Vec<PlannedTask> {
    let engines = state.engines.values_mut().filter(|engine| {
        manifest.engine_class(&engine.info.service).is_some() && engine.is_audit_due(now)
    });
    let tasks = engines.map(|engine| {
        engine.audit = AuditState::Running;
        engine.last_audit = now;
        PlannedTask::Audit(engine.target())
    });
    tasks.collect()
}

struct Planner<'a> {
    state: &'a mut PlacementState,
    counts: ReplicaCounts,
    outlooks: IndexMap<ServiceName, LossOutlook>,
    manifest: &'a ServingManifest,
    load_window: TimeSpan,
    now: MonoTime,
    tasks: Vec<ModelLoadTask>,
}

/// A possible load of a model on an engine.
struct Candidate {
    engine: BackendId,
    source: LoadSource,
    victims: VictimChoice,
    /// Cost in milliseconds.
    cost: f64,
}

impl Planner<'_> {
    /// Plans a load on the engine with the lowest cost; returns false if no
    /// engine can load the model. `from_store` allows a load from the weight
    /// store.
    fn load_on_cheapest(&mut self, key: &ModelKey, reason: LoadReason, from_store: bool) -> bool {
        self.load_on_cheapest_of(key, reason, from_store, |_| true)
    }

    /// Like [`Self::load_on_cheapest`], on one of the engines that match a predicate.
    fn load_on_cheapest_of(
        &mut self,
        key: &ModelKey,
        reason: LoadReason,
        from_store: bool,
        accept: impl Fn(&PlacedEngine) -> bool,
    ) -> bool {
        let engines = self.state.engines.iter();
        let candidates = engines.filter(|(_, engine)| accept(engine));
        let candidates = candidates.filter_map(|(id, engine)| {
            let candidate = self.candidate(key, id, engine, reason)?;
            let allowed =
                candidate.source != LoadSource::Store || (from_store && self.store_allows(key));
            allowed.then_some(candidate)
        });
        let best = candidates.min_by(|left, right| left.cost.total_cmp(&right.cost));
        let Some(candidate) = best else {
            return false;
        };
        self.add_load(key, candidate, reason);
        true
    }

    /// The load of a model on an engine with its cost; `None` if the engine
    /// cannot load the model now.
    fn candidate(
        &self,
        key: &ModelKey,
        id: &BackendId,
        engine: &PlacedEngine,
        reason: LoadReason,
    ) -> Option<Candidate> {
        let usable = engine.info.service == key.service
            && engine.is_free(self.now)
            && !engine.adapter_busy
            && !engine.held.contains_key(&key.model);
        let is_limited = self.state.is_limited(engine);
        if !usable || (is_limited && self.is_held(key)) {
            return None;
        }
        let class = self.manifest.engine_class(&key.service)?;
        let model = class.models.get(&key.model)?;
        let search = VictimSearch {
            demand: &self.state.demand,
            counts: &self.counts,
            class,
            evict_in_use: reason == LoadReason::Missing,
            now: self.now,
        };
        let victims = search.choose(engine, model.weights)?;
        let source = engine.load_source(&key.model);
        let load_cost = source.load_time(model).seconds() * 1_000.0;
        let limit_cost = if is_limited { LIMITED_COST_MILLIS } else { 0.0 };
        let running_cost = RUNNING_COST_MILLIS * f64::from(engine.running());
        let outlook = self.outlooks.get(&key.service);
        let loss_cost = outlook.map_or(0.0, |outlook| outlook.loss_chance(engine)) * load_cost;
        Some(Candidate {
            engine: id.clone(),
            source,
            cost: load_cost + loss_cost + victims.cost + running_cost + limit_cost,
            victims,
        })
    }

    /// Whether an engine that takes requests, even a limited one, holds or is loading a
    /// model.
    fn is_held(&self, key: &ModelKey) -> bool {
        let mut engines = self.state.engines.values();
        engines.any(|engine| {
            engine.info.service == key.service
                && engine.info.takes_requests()
                && engine.has_or_expects(&key.model)
        })
    }

    /// Whether the limits of the weight store allow another load.
    fn store_allows(&self, key: &ModelKey) -> bool {
        let class = self.manifest.engine_class(&key.service);
        let rate = class.map_or(0.0, |class| class.loads_per_second);
        let running = self.state.store_load_count();
        self.state
            .load_limiter
            .allows(running, rate, self.load_window, self.now)
    }

    fn add_load(&mut self, key: &ModelKey, candidate: Candidate, reason: LoadReason) {
        let Some(class) = self.class(key) else {
            return;
        };
        let Some(load_time) = class
            .models
            .get(&key.model)
            .map(|model| candidate.source.load_time(model))
        else {
            return;
        };
        let concurrent_loads = self.state.store_load_count() + 1;
        let Some(engine) = self.state.engines.get_mut(&candidate.engine) else {
            return;
        };
        self.counts.add(key.clone());
        for victim in &candidate.victims.models {
            self.counts.remove(&ModelKey {
                service: key.service.clone(),
                model: victim.clone(),
            });
            if let Some(held) = engine.held.get_mut(victim) {
                held.unloading = true;
            }
        }
        engine.task = Some(EngineTask {
            model: key.model.clone(),
            source: candidate.source,
            planned_at: self.now,
            load_time,
            concurrent_loads,
        });
        let target = engine.target();
        if candidate.source == LoadSource::Store {
            self.state
                .load_limiter
                .record_load_start(self.now, self.load_window);
        }
        self.tasks.push(ModelLoadTask {
            target,
            unload: candidate.victims.models,
            model: key.model.clone(),
            source: candidate.source,
            load_time,
            concurrent_loads,
            reason,
        });
    }

    fn class(&self, key: &ModelKey) -> Option<&EngineClass> {
        self.manifest.engine_class(&key.service)
    }
}
