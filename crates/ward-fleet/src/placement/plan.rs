//! The next work for engines.
//!
//! In order of need: models that requests wait for and an engine has at hand;
//! models that the weight store must bring; busy models that need one more engine;
//! idle memory that could hold a model which lies on the engine's disk and on no
//! engine's memory; while the weight store is idle, engines that hold nothing, and
//! models that no engine has a copy of, since they take longest when asked for.

use indexmap::IndexMap;
use ward_protocol::{BackendId, ModelName, MonoTime, ServiceName, TimeSpan};

use super::adapter::plan_adapters;
use super::demand::{ModelDemand, ModelKey};
use super::engine::{AuditState, EngineTask, LoadSource, PlacedEngine};
use super::fetch::{FetchList, FetchWish, fetch_wishes};
use super::outlook::{LossOutlook, is_new, loss_outlooks};
use super::spread::{ReplicaCounts, wanted_replicas};
use super::state::PlacementState;
use super::victim::{RATE_COST_MILLIS, VictimChoice, VictimSearch};
use super::work::{ModelWork, PlannedWork, WorkReason};
use crate::manifest::{EngineClass, ServingManifest};
use crate::number::real;

/// Cost of giving a busy engine one more model, in milliseconds per request.
const RUNNING_COST_MILLIS: f64 = 40.0;
/// Requests per second from which on a model is fetched with all of the store.
const URGENT_GAIN: f64 = 1.0;
/// Concurrency from which on a model may get one more engine.
const LEAST_BUSY: f64 = 1.0;
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
    let outlooks = loss_outlooks(state, manifest, now);
    let mut planner = Planner {
        state,
        counts,
        outlooks,
        manifest,
        window,
        now,
        works: Vec::new(),
    };
    planner.plan_missing();
    planner.plan_fetches();
    planner.plan_busy();
    planner.plan_room();
    planner.plan_empty();
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
    outlooks: IndexMap<ServiceName, LossOutlook>,
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
            self.load_somewhere(&key, WorkReason::Missing, false);
        }
    }

    /// Brings from the weight store what is needed most.
    fn plan_fetches(&mut self) {
        if self.state.fetches.is_due(self.now) {
            let wishes = fetch_wishes(self.state, self.manifest, &self.outlooks, self.now);
            self.state.fetches = FetchList::new(wishes, self.now);
        }
        for wish in std::mem::take(&mut self.state.fetches.wishes) {
            let begun = self.has_place(&wish) && self.fetch(&wish);
            if !begun {
                self.state.fetches.wishes.push(wish);
            }
        }
    }

    /// Whether the store has a place for a wish. What few ask for and still has a
    /// copy leaves half of the places free, for models whose copies may go next.
    fn has_place(&self, wish: &FetchWish) -> bool {
        let spare = wish.absent || wish.gain >= URGENT_GAIN;
        let half = self.state.ceiling.at_once().div_ceil(2);
        self.store_allows(&wish.key) && (spare || self.state.store_load_count() < half)
    }

    /// Loads one model from the weight store on the cheapest engine. What has a
    /// copy still goes only to a new engine's free memory; what nobody waits for
    /// takes no more away than it brings. Returns whether there is such an engine.
    fn fetch(&mut self, wish: &FetchWish) -> bool {
        let waiting = self
            .state
            .demand
            .get(&wish.key)
            .is_some_and(|demand| demand.waiting > 0);
        let reason = if waiting && wish.absent {
            WorkReason::Missing
        } else {
            WorkReason::Leaving
        };
        let candidates = self.state.engines.iter().filter_map(|(id, engine)| {
            let candidate = self.candidate(&wish.key, id, engine, reason)?;
            let fits = if wish.absent {
                waiting || candidate.victims.cost <= wish.gain * RATE_COST_MILLIS
            } else {
                candidate.victims.models.is_empty() && is_new(engine, self.now)
            };
            (candidate.source == LoadSource::Store && fits).then_some(candidate)
        });
        let best = candidates.min_by(|left, right| left.cost.total_cmp(&right.cost));
        let Some(candidate) = best else {
            return false;
        };
        self.add(&wish.key, candidate, reason);
        true
    }

    fn plan_busy(&mut self) {
        let mut demands: Vec<_> = self
            .state
            .demand
            .iter()
            .filter(|(_, demand)| demand.concurrency >= LEAST_BUSY)
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
            let idle = self.state.store_load_count() == 0;
            for _ in 0..missing.min(MOST_SPREADS.saturating_sub(coming)) {
                if !self.load_somewhere(&key, WorkReason::Busy, pressed && idle) {
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

    /// Gives engines that hold nothing the model with most requests per replica.
    fn plan_empty(&mut self) {
        let is_empty = |engine: &PlacedEngine| engine.is_free(self.now) && engine.held.is_empty();
        let engines = self.state.engines.iter();
        let empty = engines.filter(|(_, engine)| is_empty(engine));
        let empty: Vec<_> = empty.map(|(id, _)| id.clone()).collect();
        for id in empty {
            if let Some((key, candidate)) = self.empty_candidate(&id) {
                self.add(&key, candidate, WorkReason::Busy);
            }
        }
    }

    fn empty_candidate(&self, id: &BackendId) -> Option<(ModelKey, Candidate)> {
        let key = self.busiest_model(id)?;
        let idle = self.state.store_loads().next().is_none() && self.store_allows(&key);
        let engine = self.state.engines.get(id)?;
        let candidate = self.candidate(&key, id, engine, WorkReason::Busy)?;
        (idle || candidate.source != LoadSource::Store).then_some((key, candidate))
    }

    /// The model of an engine's service with most requests per replica.
    fn busiest_model(&self, id: &BackendId) -> Option<ModelKey> {
        let service = &self.state.engines.get(id)?.info.service;
        let demands = self.state.demand.iter();
        let demands = demands
            .filter(|(key, demand)| key.service == *service && demand.concurrency >= LEAST_BUSY);
        let share = |key: &ModelKey, demand: &ModelDemand| {
            demand.concurrency / real(self.counts.get(key).max(1))
        };
        let busiest =
            demands.max_by(|left, right| share(left.0, left.1).total_cmp(&share(right.0, right.1)));
        busiest.map(|(key, _)| key.clone())
    }

    /// Fetches models that lie nowhere, before they are asked for: one at a time
    /// once there are requests, since an engine takes no other order meanwhile.
    fn plan_absent(&mut self) {
        let asked_for = self.state.demand.iter().next().is_some();
        let fetching = self.state.store_load_count() > 0;
        if asked_for && fetching {
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
            let calm = self.outlooks.get(service).is_some_and(LossOutlook::is_calm);
            let model = models.find(|model| {
                let key = key(model);
                self.counts.get(&key) == 0 && self.copies(&key) == 0
            })?;
            (sure && calm).then(|| key(model))
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
        self.add(key, candidate, reason);
        true
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
        let outlook = self.outlooks.get(&key.service);
        let lost = outlook.map_or(0.0, |outlook| outlook.chance(engine)) * load;
        Some(Candidate {
            engine: id.clone(),
            source,
            cost: load + lost + victims.cost + running,
            victims,
        })
    }

    fn store_allows(&self, key: &ModelKey) -> bool {
        let class = self.manifest.engine_class(&key.service);
        let rate = class.map_or(0.0, |class| class.loads_per_second);
        let running = self.state.store_load_count();
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
        let together = self.state.store_load_count() + 1;
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
            load_time,
            together,
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
            together,
            reason,
        });
    }

    fn class(&self, key: &ModelKey) -> Option<&EngineClass> {
        self.manifest.engine_class(&key.service)
    }
}
