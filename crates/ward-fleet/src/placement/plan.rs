//! The next work for engines.
//!
//! In order of need: models that requests wait for and no engine holds; busy
//! models that need one more engine; idle memory that could hold a model which
//! lies on the engine's disk and on no engine's memory; while the weight store is
//! idle, models that no engine has a copy of, since they take longest when asked
//! for.

use ward_protocol::{BackendId, ModelName, MonoTime, TimeSpan};

use super::adapter::plan_adapters;
use super::demand::ModelKey;
use super::engine::{AuditState, EngineTask, LoadSource, PlacedEngine};
use super::spread::{ReplicaCounts, wanted_replicas};
use super::state::PlacementState;
use super::victim::{VictimChoice, VictimSearch};
use super::work::{ModelWork, PlannedWork, WorkReason};
use crate::manifest::{EngineClass, ServingManifest};
use crate::number::real;

/// Cost of giving a busy engine one more model, in milliseconds per request.
const RUNNING_COST_MILLIS: f64 = 40.0;
/// Loads of the same model that may run at once to spread it.
const MOST_SPREADS: usize = 2;
/// Longest load that spreading a model is worth without an idle store.
const STORE_SPREAD_CONCURRENCY: f64 = 1.6;

/// Plans work for engines that have none, and marks them as having it.
pub fn plan_work(
    state: &mut PlacementState,
    manifest: &ServingManifest,
    window: TimeSpan,
    now: MonoTime,
) -> Vec<PlannedWork> {
    let mut works = plan_audits(state, manifest, now);
    let adapters = plan_adapters(state, manifest, now);
    works.extend(adapters.into_iter().map(PlannedWork::Adapter));
    let counts = ReplicaCounts::of(state);
    let mut planner = Planner {
        state,
        counts,
        manifest,
        window,
        now,
        works: Vec::new(),
    };
    planner.plan_missing();
    planner.plan_busy();
    planner.plan_room();
    planner.plan_absent();
    works.extend(planner.works.into_iter().map(PlannedWork::Model));
    works
}

fn plan_audits(
    state: &mut PlacementState,
    manifest: &ServingManifest,
    now: MonoTime,
) -> Vec<PlannedWork> {
    let engines = state.engines.values_mut().filter(|engine| {
        manifest.engine_class(&engine.info.service).is_some() && engine.is_audit_due(now)
    });
    let works = engines.map(|engine| {
        engine.audit = AuditState::Running;
        engine.audited = now;
        PlannedWork::Audit(engine.target())
    });
    works.collect()
}

struct Planner<'a> {
    state: &'a mut PlacementState,
    counts: ReplicaCounts,
    manifest: &'a ServingManifest,
    window: TimeSpan,
    now: MonoTime,
    works: Vec<ModelWork>,
}

struct Candidate {
    engine: BackendId,
    source: LoadSource,
    victims: VictimChoice,
    cost: f64,
}

impl Planner<'_> {
    fn plan_missing(&mut self) {
        let mut missing: Vec<_> = self
            .state
            .demand
            .iter()
            .filter(|(key, demand)| demand.waiting > 0 && self.counts.get(key) == 0)
            .filter_map(|(key, demand)| Some((demand.waiting_since?, key.clone())))
            .collect();
        missing.sort_by_key(|(since, _)| *since);
        for (_, key) in missing {
            self.load_somewhere(&key, WorkReason::Missing, true);
        }
    }

    fn plan_busy(&mut self) {
        let mut demands: Vec<_> = self
            .state
            .demand
            .iter()
            .filter(|(_, demand)| demand.concurrency >= 1.0)
            .map(|(key, demand)| {
                let replicas = real(self.counts.get(key).max(1));
                (key.clone(), demand.clone(), demand.concurrency / replicas)
            })
            .collect();
        demands.sort_by(|left, right| right.2.total_cmp(&left.2));
        for (key, demand, _) in demands {
            let Some(slots) = self.slots(&key) else {
                continue;
            };
            let wanted = usize::try_from(wanted_replicas(&demand, slots)).unwrap_or(usize::MAX);
            let present = self.counts.get(&key);
            let missing = wanted.saturating_sub(present);
            let coming = self.loading(&key);
            let full = f64::from(slots) * real(present);
            let pressed = demand.concurrency * STORE_SPREAD_CONCURRENCY > full;
            for _ in 0..missing.min(MOST_SPREADS.saturating_sub(coming)) {
                if !self.load_somewhere(&key, WorkReason::Busy, pressed) {
                    break;
                }
            }
        }
    }

    fn plan_room(&mut self) {
        let free: Vec<_> = self
            .state
            .engines
            .iter()
            .filter(|(_, engine)| engine.is_free(self.now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in free {
            if let Some((key, candidate)) = self.room_candidate(&id) {
                self.add(&key, candidate, WorkReason::Room);
            }
        }
    }

    /// Fetches one model that lies nowhere, before it is asked for.
    fn plan_absent(&mut self) {
        let fetching = |engine: &PlacedEngine| {
            let task = engine.task.as_ref();
            task.is_some_and(|task| task.source == LoadSource::Store)
        };
        if self.state.engines.values().any(fetching) {
            return;
        }
        let services = self.manifest.services.iter();
        let absent = services.filter_map(|(service, class)| {
            let mut models = class.engine.as_ref()?.models.keys();
            let key = |model: &ModelName| ModelKey {
                service: service.clone(),
                model: model.clone(),
            };
            let known = self.state.engines.values();
            let mut audited = known.filter(|engine| engine.info.service == *service);
            let sure = audited.all(|engine| engine.audit == AuditState::Done);
            let model = models.find(|model| {
                let key = key(model);
                self.counts.get(&key) == 0 && self.copies(&key) == 0
            })?;
            sure.then(|| key(model))
        });
        let absent: Vec<_> = absent.collect();
        for key in absent {
            self.load_somewhere(&key, WorkReason::Absent, true);
        }
    }

    /// The model for an engine's idle memory: on its disk, in no engine's
    /// memory, with the fewest copies on other disks.
    fn room_candidate(&self, id: &BackendId) -> Option<(ModelKey, Candidate)> {
        let engine = self.state.engines.get(id)?;
        let class = self.manifest.engine_class(&engine.info.service)?;
        let free = engine.free(class);
        let smallest = class.models.values().map(|model| model.weights).min()?;
        if free < smallest {
            return None;
        }
        let copies = engine.in_memory.iter().chain(&engine.on_disk);
        let fitting = copies
            .filter(|model| {
                class
                    .models
                    .get(*model)
                    .is_some_and(|size| size.weights <= free)
            })
            .map(|model| ModelKey {
                service: engine.info.service.clone(),
                model: model.clone(),
            })
            .filter(|key| self.counts.get(key) == 0);
        let key = fitting.min_by_key(|key| self.copies(key))?;
        let candidate = Candidate {
            engine: id.clone(),
            source: engine.source(&key.model),
            victims: VictimChoice::default(),
            cost: 0.0,
        };
        Some((key, candidate))
    }

    fn copies(&self, key: &ModelKey) -> usize {
        let engines = self.state.engines.values().filter(|engine| {
            engine.info.service == key.service && engine.source(&key.model) != LoadSource::Store
        });
        engines.count()
    }

    /// Plans a load on the cheapest engine; returns whether there is one.
    fn load_somewhere(&mut self, key: &ModelKey, reason: WorkReason, from_store: bool) -> bool {
        let candidates = self.state.engines.iter().filter_map(|(id, engine)| {
            let candidate = self.candidate(key, id, engine, reason)?;
            let allowed =
                candidate.source != LoadSource::Store || (from_store && self.store_allows(key));
            allowed.then_some(candidate)
        });
        let best = candidates.min_by(|left, right| left.cost.total_cmp(&right.cost));
        let Some(candidate) = best else {
            return false;
        };
        if reason == WorkReason::Missing
            && candidate.source == LoadSource::Store
            && self.comes_soon(key)
        {
            return false;
        }
        self.add(key, candidate, reason);
        true
    }

    /// Whether an engine that has a copy at hand will be free for it soon.
    fn comes_soon(&self, key: &ModelKey) -> bool {
        self.state.engines.values().any(|engine| {
            engine.info.service == key.service
                && !engine.info.draining
                && engine.source(&key.model) != LoadSource::Store
        })
    }

    fn candidate(
        &self,
        key: &ModelKey,
        id: &BackendId,
        engine: &PlacedEngine,
        reason: WorkReason,
    ) -> Option<Candidate> {
        let usable = engine.info.service == key.service
            && engine.is_free(self.now)
            && !engine.adapter_busy
            && !engine.held.contains_key(&key.model);
        if !usable {
            return None;
        }
        let class = self.manifest.engine_class(&key.service)?;
        let model = class.models.get(&key.model)?;
        let search = VictimSearch {
            demand: &self.state.demand,
            counts: &self.counts,
            class,
            in_use: reason == WorkReason::Missing,
            now: self.now,
        };
        let victims = search.choose(engine, model.weights)?;
        let source = engine.source(&key.model);
        let load = source.load_time(model).seconds() * 1_000.0;
        let running = RUNNING_COST_MILLIS * f64::from(engine.running());
        Some(Candidate {
            engine: id.clone(),
            source,
            cost: load + victims.cost + running,
            victims,
        })
    }

    fn store_allows(&self, key: &ModelKey) -> bool {
        let class = self.manifest.engine_class(&key.service);
        let rate = class.map_or(0.0, |class| class.loads_per_second);
        let tasks = self
            .state
            .engines
            .values()
            .filter_map(|engine| engine.task.as_ref());
        let running = tasks
            .filter(|task| task.source == LoadSource::Store)
            .count();
        self.state
            .ceiling
            .allows(running, rate, self.window, self.now)
    }

    fn loading(&self, key: &ModelKey) -> usize {
        let engines = self.state.engines.values().filter(|engine| {
            let task = engine.task.as_ref();
            engine.info.service == key.service && task.is_some_and(|task| task.model == key.model)
        });
        engines.count()
    }

    fn slots(&self, key: &ModelKey) -> Option<u32> {
        let mut engines = self.state.engines.values();
        let engine = engines.find(|engine| engine.info.service == key.service)?;
        Some(engine.info.slots)
    }

    fn add(&mut self, key: &ModelKey, candidate: Candidate, reason: WorkReason) {
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
                held.leaving = true;
            }
        }
        engine.task = Some(EngineTask {
            model: key.model.clone(),
            source: candidate.source,
            since: self.now,
        });
        let target = engine.target();
        if candidate.source == LoadSource::Store {
            self.state.ceiling.note(self.now, self.window);
        }
        self.works.push(ModelWork {
            target,
            unload: candidate.victims.models,
            model: key.model.clone(),
            source: candidate.source,
            load_time,
            reason,
        });
    }

    fn class(&self, key: &ModelKey) -> Option<&EngineClass> {
        self.manifest.engine_class(&key.service)
    }
}
