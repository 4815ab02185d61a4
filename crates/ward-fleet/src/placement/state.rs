//! The coordinator's state of engines, demand and loads.

use indexmap::IndexMap;
use ward_protocol::{AdapterName, BackendId, ModelName, MonoTime, TimeSpan};

use super::demand::{DemandTable, ModelKey};
use super::engine::{AuditState, EngineTask, LoadSource, PlacedAdapter, PlacedEngine};
use super::fetch::FetchList;
use super::load_limiter::LoadLimiter;
use super::outlook::LossHistory;
use super::task::TaskTarget;
use crate::crash::EngineIncarnation;
use crate::entry::{EngineEntry, HeldModel, OrderSequence};
use crate::limit::{LimitLedger, RequestRate};
use crate::message::{EngineLoad, LoadReport};

/// Identifies a daemon's connection to the coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberKey(pub u64);

/// State from which tasks are planned.
#[derive(Debug, Clone, Default)]
pub struct PlacementState {
    /// Engines by id.
    pub engines: IndexMap<BackendId, PlacedEngine>,
    /// Demand by model.
    pub demand: DemandTable,
    /// Limits on loads from the weight store.
    pub load_limiter: LoadLimiter,
    /// Limits that engines have named.
    pub limits: LimitLedger,
    pub(super) losses: LossHistory,
    /// Expected ends of loads whose engines left or restarted; the store
    /// continues to serve them.
    orphaned_loads: Vec<MonoTime>,
    pub(super) fetches: FetchList,
    /// Latest report of each connected daemon.
    reports: IndexMap<MemberKey, LoadReport>,
}

impl PlacementState {
    /// Applies a heartbeat; returns whether the engine is new or has restarted.
    pub fn apply_entry(&mut self, entry: &EngineEntry, now: MonoTime) -> bool {
        match self.engines.get_mut(&entry.id) {
            Some(engine) if engine.info.birth == entry.birth => {
                let drained = engine.info.draining;
                engine.refresh(entry, now);
                if engine.info.draining && !drained {
                    self.losses.record_loss(engine, now);
                }
                false
            }
            Some(engine) if entry.birth < engine.info.birth => false,
            _ => {
                let engine = PlacedEngine::new(entry, now);
                let former = self.engines.insert(entry.id.clone(), engine);
                self.record_orphaned_load(former.as_ref());
                true
            }
        }
    }

    /// Records that an engine announced that it is leaving, so that its copies
    /// of models will be lost.
    pub fn mark_leaving(&mut self, incarnation: &EngineIncarnation, now: MonoTime) {
        let engine = self.engines.get_mut(&incarnation.engine);
        let Some(engine) = engine.filter(|engine| engine.info.birth == incarnation.birth) else {
            return;
        };
        if !std::mem::replace(&mut engine.info.draining, true) {
            self.losses.record_loss(engine, now);
        }
    }

    /// Records that an engine ended at a time under requests. The daemons send it no
    /// more, and its models are loaded elsewhere, before its entry is dropped. A later
    /// heartbeat resets this. Returns whether it is news.
    pub fn mark_ended(&mut self, incarnation: &EngineIncarnation, ended_at: MonoTime) -> bool {
        let engine = self.engines.get_mut(&incarnation.engine);
        engine
            .filter(|engine| engine.info.birth == incarnation.birth)
            .is_some_and(|engine| engine.mark_ended(ended_at))
    }

    /// Records that a later incarnation of an engine runs under the same id. Nothing is sent
    /// to the engine before its own heartbeat is known. Returns whether it is news.
    pub fn mark_restarted(&mut self, incarnation: &EngineIncarnation) -> bool {
        let engine = self.engines.get_mut(&incarnation.engine);
        engine
            .filter(|engine| engine.info.birth == incarnation.birth)
            .is_some_and(PlacedEngine::mark_restarted)
    }

    /// Whether an engine takes only a limited rate of requests.
    #[must_use]
    pub fn is_limited(&self, engine: &PlacedEngine) -> bool {
        self.limits.rate_of(&engine.info).is_some()
    }

    /// The limits of the known engines that have one.
    #[must_use]
    pub fn limited_rates(&self) -> IndexMap<BackendId, RequestRate> {
        let limited = self.limits.limited();
        let known = limited.filter(|(engine, _)| self.engines.contains_key(*engine));
        known.map(|(engine, rate)| (engine.clone(), rate)).collect()
    }

    /// Whether an engine ended under requests and has sent no heartbeat since.
    #[must_use]
    pub fn has_ended(&self, id: &BackendId) -> bool {
        self.engines.get(id).is_some_and(|engine| engine.info.ended)
    }

    /// Records that the store dropped an engine's entry during an outage. The
    /// next heartbeat resets this.
    pub fn mark_lapsed(&mut self, id: &BackendId) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.info.lapsed = true;
        }
    }

    /// Removes an engine that has ended.
    pub fn remove_engine(&mut self, id: &BackendId, now: MonoTime) {
        let engine = self.engines.shift_remove(id);
        self.record_orphaned_load(engine.as_ref());
        if let Some(engine) = engine.filter(|engine| !engine.info.draining) {
            self.losses.record_loss(&engine, now);
        }
    }

    fn record_orphaned_load(&mut self, engine: Option<&PlacedEngine>) {
        let task = engine.and_then(|engine| engine.task.as_ref());
        let load = task.filter(|task| task.source == LoadSource::Store);
        self.orphaned_loads
            .extend(load.map(EngineTask::expected_end));
    }

    /// Applies a daemon's report.
    pub fn apply_report(&mut self, member: MemberKey, report: LoadReport) {
        for arrival in &report.arrivals {
            let key = ModelKey {
                service: arrival.service.clone(),
                model: arrival.model.clone(),
            };
            self.demand.record_arrivals(key, arrival.count);
        }
        for misplaced in &report.misplaced {
            self.record_misplaced(
                &misplaced.engine,
                misplaced.model.as_ref(),
                misplaced.adapter.as_ref(),
            );
        }
        self.reports.insert(member, report);
    }

    /// Removes a daemon that disconnected, together with its latest report.
    pub fn remove_member(&mut self, member: MemberKey) {
        self.reports.shift_remove(&member);
    }

    /// Recomputes request counts and demand from the daemons' latest reports,
    /// and drops the orphaned loads that have ended.
    pub fn recompute(&mut self, now: MonoTime) {
        self.orphaned_loads.retain(|end| *end > now);
        let running = self.count_running(now);
        self.demand.update(self.reports.values(), &running, now);
    }

    fn count_running(&mut self, now: MonoTime) -> IndexMap<ModelKey, u32> {
        for engine in self.engines.values_mut() {
            for model in engine.held.values_mut() {
                model.running = 0;
                for adapter in model.adapters.values_mut() {
                    adapter.running = 0;
                }
            }
        }
        let mut totals = IndexMap::new();
        for count in self.reports.values().flat_map(|report| &report.running) {
            let Some(engine) = self.engines.get_mut(&count.engine) else {
                continue;
            };
            let Some(name) = &count.model else {
                continue;
            };
            let key = ModelKey {
                service: engine.info.service.clone(),
                model: name.clone(),
            };
            *totals.entry(key).or_default() += count.count;
            let Some(model) = engine.held.get_mut(name) else {
                continue;
            };
            model.running += count.count;
            model.last_used = now;
            let adapter = count
                .adapter
                .as_ref()
                .and_then(|name| model.adapters.get_mut(name));
            if let Some(adapter) = adapter {
                adapter.running += count.count;
                adapter.last_used = now;
            }
        }
        totals
    }

    /// Number of requests over all daemons at each engine that has any.
    #[must_use]
    pub fn loads(&self) -> Vec<EngineLoad> {
        let mut loads: IndexMap<&BackendId, u32> = IndexMap::new();
        for count in self.reports.values().flat_map(|report| &report.running) {
            *loads.entry(&count.engine).or_default() += count.count;
        }
        let loads = loads.into_iter().map(|(engine, count)| EngineLoad {
            engine: engine.clone(),
            count,
        });
        loads.collect()
    }

    /// Expected ends of loads whose engines left or restarted.
    pub(super) fn orphaned_loads(&self) -> &[MonoTime] {
        &self.orphaned_loads
    }

    /// Number of loads that the weight store is serving, including those whose
    /// engines left or restarted.
    pub(super) fn store_load_count(&self) -> u32 {
        let loads = self.store_loads().count() + self.orphaned_loads.len();
        u32::try_from(loads).unwrap_or(u32::MAX)
    }

    /// Engines that are loading from the weight store, with their tasks.
    pub(super) fn store_loads(&self) -> impl Iterator<Item = (&PlacedEngine, &EngineTask)> {
        let engines = self.engines.values();
        let tasks = engines.filter_map(|engine| Some((engine, engine.task.as_ref()?)));
        tasks.filter(|(_, task)| task.source == LoadSource::Store)
    }

    /// The engine that a task was planned for, if it is still in the same
    /// incarnation.
    pub fn engine_mut(&mut self, target: &TaskTarget) -> Option<&mut PlacedEngine> {
        let engine = self.engines.get_mut(&target.engine)?;
        (engine.info.birth == target.birth).then_some(engine)
    }

    /// Records that an engine refused a request because it does not hold the
    /// model or adapter that it should hold.
    fn record_misplaced(
        &mut self,
        id: &BackendId,
        model: Option<&ModelName>,
        adapter: Option<&AdapterName>,
    ) {
        let (Some(engine), Some(model)) = (self.engines.get_mut(id), model) else {
            return;
        };
        if engine.task.is_some() || engine.adapter_busy {
            return;
        }
        engine.audit = AuditState::Needed;
        match adapter {
            // The model's memory stays counted until the engine reports that it
            // is free.
            None => {
                if let Some(held) = engine.held.get_mut(model) {
                    held.unloading = true;
                }
            }
            Some(adapter) => {
                if let Some(held) = engine.held.get_mut(model) {
                    held.adapters.shift_remove(adapter);
                }
            }
        }
    }
}

impl PlacedEngine {
    /// Records that the engine accepted an order.
    pub fn record_accepted_order(&mut self, now: MonoTime) {
        self.sequence = self.sequence.map(OrderSequence::next);
        self.last_order = now;
    }

    /// Applies the engine's answer to an audit.
    pub fn apply_audit(&mut self, sequence: OrderSequence, models: &[HeldModel]) {
        self.sequence = Some(sequence);
        self.replace_held(models);
        self.audit = AuditState::Done;
    }

    /// Records that a task failed, so that what the engine holds is uncertain;
    /// it gets no tasks for `backoff`.
    pub fn record_task_failure(&mut self, now: MonoTime, backoff: TimeSpan) {
        self.audit = AuditState::Needed;
        self.last_order = now;
        self.backoff_until = now + backoff;
    }

    /// Records that a model is loaded, which leaves copies in host memory and
    /// on disk.
    pub fn record_model_loaded(&mut self, model: &ModelName, now: MonoTime) {
        let placed = self.held.entry(model.clone()).or_default();
        placed.unloading = false;
        placed.last_used = now;
        self.in_memory.retain(|name| name != model);
        self.in_memory.push(model.clone());
        if !self.on_disk.contains(model) {
            self.on_disk.push(model.clone());
        }
    }

    /// Records that a model was unloaded.
    pub fn record_model_unloaded(&mut self, model: &ModelName) {
        self.held.shift_remove(model);
    }

    /// Records that an adapter is loaded.
    pub fn record_adapter_loaded(
        &mut self,
        model: &ModelName,
        adapter: &AdapterName,
        now: MonoTime,
    ) {
        if let Some(placed) = self.held.get_mut(model) {
            let ready = PlacedAdapter {
                ready: true,
                last_used: now,
                ..PlacedAdapter::default()
            };
            placed.adapters.insert(adapter.clone(), ready);
        }
    }

    /// Records that an adapter was unloaded or could not be loaded.
    pub fn record_adapter_unloaded(&mut self, model: &ModelName, adapter: &AdapterName) {
        if let Some(placed) = self.held.get_mut(model) {
            placed.adapters.shift_remove(adapter);
        }
    }
}
