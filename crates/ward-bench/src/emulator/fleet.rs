//! Engines and the weight store in virtual time.

use indexmap::IndexMap;
use ward_fleet::placement::{LoadSource, ModelLoadTask, PlacementState, PlannedTask};
use ward_fleet::{
    CallerLimits, EngineBirth, EngineClass, EngineEntry, HeartbeatCount, HeldModel,
    ManifestVersion, ModelClass, OrderSequence, ServiceClass, ServingManifest,
};
use ward_protocol::{BackendId, IdError, MemorySize, ModelName, MonoTime, ServiceName, TimeSpan};

use super::day::{DayPlan, SiteConfig};

/// Time until the coordinator has read a change of an engine's entry from the store.
const COORDINATOR_LAG: TimeSpan = TimeSpan::from_millis(250);
/// Time for which an engine drains before it leaves.
const DRAIN_TIME: TimeSpan = TimeSpan::from_millis(2_500);
/// Time that an unload takes.
const UNLOAD_TIME: TimeSpan = TimeSpan::from_millis(55);
/// Time that an audit of an engine takes.
const AUDIT_TIME: TimeSpan = TimeSpan::from_millis(20);
const ENGINE_MEMORY: MemorySize = MemorySize::from_gib(200);
const MODEL_SIZES: [MemorySize; 3] = [
    MemorySize::from_gib(34),
    MemorySize::from_gib(65),
    MemorySize::from_gib(72),
];
const MEMORY_LOAD: TimeSpan = TimeSpan::from_millis(350);
const DISK_LOAD: TimeSpan = TimeSpan::from_millis(700);
/// Number of models in the memory of each engine at the start.
const INITIAL_MODELS: usize = 2;
/// Loads per second that the store allows; the limit of concurrent loads is reached first.
const LOADS_PER_SECOND: f64 = 10.0;

/// A change that takes effect, or becomes known to the coordinator, at a given time.
enum FleetEvent {
    Joined(BackendId),
    Draining(BackendId),
    Left(BackendId),
    Audited(BackendId),
    Loaded(ModelLoadTask),
}

/// Engines, the store, and the coordinator's view of them.
pub(super) struct EmulatedFleet {
    pub(super) state: PlacementState,
    pub(super) manifest: ServingManifest,
    pub(super) service: ServiceName,
    pub(super) store_loads: usize,
    full_speed_loads: u32,
    slots: u32,
    events: Vec<(MonoTime, FleetEvent)>,
    /// Times at which the running loads from the store end, including loads of engines that
    /// have left.
    store_load_ends: Vec<MonoTime>,
}

pub(super) fn model_name(number: usize) -> Result<ModelName, IdError> {
    format!("model{number}").parse()
}

impl EmulatedFleet {
    pub(super) fn new(config: &SiteConfig, plan: &DayPlan) -> Result<Self, IdError> {
        let service: ServiceName = "assistant".parse()?;
        let mut fleet = Self {
            state: PlacementState::default(),
            manifest: manifest(config, &service)?,
            service,
            store_loads: 0,
            full_speed_loads: config.full_speed_loads,
            slots: config.slots,
            events: Vec::new(),
            store_load_ends: Vec::new(),
        };
        for number in 0..config.engines {
            let copies = initial_copies(config, number)?;
            let entry = fleet.entry(number, &copies)?;
            fleet.add_engine(&entry, MonoTime::default());
        }
        for (number, replacement) in plan.replacements.iter().enumerate() {
            let start = MonoTime::default() + replacement.drains_at;
            let new: BackendId = format!("e{}", config.engines + number).parse()?;
            let old: BackendId = format!("e{number}").parse()?;
            let joins_at = start + replacement.delay + COORDINATOR_LAG;
            fleet.events.push((joins_at, FleetEvent::Joined(new)));
            let draining_at = start + COORDINATOR_LAG;
            fleet
                .events
                .push((draining_at, FleetEvent::Draining(old.clone())));
            fleet
                .events
                .push((start + DRAIN_TIME, FleetEvent::Left(old)));
        }
        Ok(fleet)
    }

    fn entry(&self, number: usize, copies: &[ModelName]) -> Result<EngineEntry, IdError> {
        self.named_entry(format!("e{number}").parse()?, copies)
    }

    fn named_entry(&self, id: BackendId, copies: &[ModelName]) -> Result<EngineEntry, IdError> {
        let held = copies.iter().take(INITIAL_MODELS).map(|model| HeldModel {
            model: model.clone(),
            adapters: Vec::new(),
        });
        Ok(EngineEntry {
            id,
            service: self.service.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "north".parse()?,
            software: "v1".parse()?,
            slots: self.slots,
            draining: false,
            leaves_in: None,
            birth: Some(EngineBirth(1)),
            heartbeat: HeartbeatCount(0),
            models: held.collect(),
            in_memory: Vec::new(),
            on_disk: copies.to_vec(),
        })
    }

    fn add_engine(&mut self, entry: &EngineEntry, now: MonoTime) {
        self.state.apply_entry(entry, now);
        if let Some(engine) = self.state.engines.get_mut(&entry.id) {
            engine.apply_audit(OrderSequence(0), &entry.models);
        }
    }

    /// Applies the events up to a time.
    pub(super) fn advance(&mut self, now: MonoTime) -> Result<(), IdError> {
        self.store_load_ends.retain(|end| *end > now);
        let events = std::mem::take(&mut self.events);
        let (due_events, later_events): (Vec<_>, Vec<_>) =
            events.into_iter().partition(|(time, _)| *time <= now);
        self.events = later_events;
        for (_, event) in due_events {
            self.apply_event(event, now)?;
        }
        Ok(())
    }

    fn apply_event(&mut self, event: FleetEvent, now: MonoTime) -> Result<(), IdError> {
        match event {
            FleetEvent::Joined(id) => {
                let entry = self.named_entry(id, &[])?;
                self.add_engine(&entry, now);
            }
            FleetEvent::Draining(id) => {
                let mut entry = self.named_entry(id, &[])?;
                entry.draining = true;
                self.state.apply_entry(&entry, now);
            }
            FleetEvent::Left(id) => self.state.remove_engine(&id, now),
            FleetEvent::Audited(id) => {
                let held = self.held_models(&id);
                if let Some(engine) = self.state.engines.get_mut(&id) {
                    engine.apply_audit(OrderSequence(0), &held);
                }
            }
            FleetEvent::Loaded(task) => self.finish_load(&task, now),
        }
        Ok(())
    }

    fn held_models(&self, id: &BackendId) -> Vec<HeldModel> {
        let engine = self.state.engines.get(id);
        let models = engine.into_iter().flat_map(|engine| engine.held.keys());
        let held = models.map(|model| HeldModel {
            model: model.clone(),
            adapters: Vec::new(),
        });
        held.collect()
    }

    fn finish_load(&mut self, task: &ModelLoadTask, now: MonoTime) {
        let Some(engine) = self.state.engine_mut(&task.target) else {
            return;
        };
        let begun = engine.task.take().map(|task| task.planned_at);
        engine.record_model_loaded(&task.model, now);
        if let Some(begun) = begun.filter(|_| task.source == LoadSource::Store) {
            let taken = now.since(begun);
            let load_limiter = &mut self.state.load_limiter;
            load_limiter.record_load_end(task.load_time, taken, task.concurrent_loads);
        }
    }

    /// Begins a planned task, which a later event completes.
    pub(super) fn begin_task(&mut self, task: PlannedTask, now: MonoTime) {
        match task {
            PlannedTask::Model(task) => self.begin_load(task, now),
            PlannedTask::Audit(target) => {
                let event = FleetEvent::Audited(target.engine);
                self.events.push((now + AUDIT_TIME, event));
            }
            // No emulated request names an adapter.
            PlannedTask::Adapter(_) => {}
        }
    }

    fn begin_load(&mut self, task: ModelLoadTask, now: MonoTime) {
        let mut time = task.load_time;
        if task.source == LoadSource::Store {
            self.store_loads += 1;
            let running = u32::try_from(self.store_load_ends.len() + 1).unwrap_or(u32::MAX);
            let shares = u64::from(running.max(self.full_speed_loads));
            time = TimeSpan::from_millis(time.millis() * shares / u64::from(self.full_speed_loads));
            self.store_load_ends.push(now + time);
        }
        if let Some(engine) = self.state.engine_mut(&task.target) {
            for victim in &task.unload {
                engine.record_model_unloaded(victim);
                time = time + UNLOAD_TIME;
            }
        }
        self.events.push((now + time, FleetEvent::Loaded(task)));
    }
}

/// Models with a copy on an engine's disk at the start.
fn initial_copies(config: &SiteConfig, engine: usize) -> Result<Vec<ModelName>, IdError> {
    let on_disk = |model: &usize| {
        (0..config.disk_copies)
            .any(|copy| (model + copy * config.engines / 3) % config.engines == engine)
    };
    let models = (0..config.models).filter(on_disk);
    models.map(model_name).collect()
}

fn manifest(config: &SiteConfig, service: &ServiceName) -> Result<ServingManifest, IdError> {
    let mut models = IndexMap::new();
    for number in 0..config.models {
        let class = ModelClass {
            weights: MODEL_SIZES[number % MODEL_SIZES.len()],
            adapter_weights: MemorySize::ZERO,
            store_load: config.store_load,
            disk_load: DISK_LOAD,
            memory_load: MEMORY_LOAD,
        };
        models.insert(model_name(number)?, class);
    }
    let engine = EngineClass {
        weight_memory: ENGINE_MEMORY,
        adapter_slots: 8,
        loads_per_second: LOADS_PER_SECOND,
        models,
    };
    let class = ServiceClass {
        connection_cap: u32::MAX,
        engine: Some(engine),
    };
    Ok(ServingManifest {
        version: ManifestVersion(1),
        routes: Vec::new(),
        services: [(service.clone(), class)].into_iter().collect(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout: TimeSpan::from_secs(3),
            idle_timeout: TimeSpan::from_secs(15),
        },
        tenants: None,
    })
}
