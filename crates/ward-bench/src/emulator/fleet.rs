//! Engines and the weight store in virtual time.

use indexmap::IndexMap;
use ward_fleet::placement::{LoadSource, ModelTask, PlacementState, PlannedTask};
use ward_fleet::{
    CallerLimits, EngineBirth, EngineClass, EngineEntry, HeartbeatCount, HeldModel,
    ManifestVersion, ModelClass, OrderSequence, ServiceClass, ServingManifest,
};
use ward_protocol::{BackendId, IdError, MemorySize, ModelName, MonoTime, ServiceName, TimeSpan};

use super::day::{DayPlan, SiteFigures};

/// Time until the coordinator knows what the store was told.
const NEWS_LAG: TimeSpan = TimeSpan::from_millis(250);
/// Time for which a draining engine goes on.
const DRAIN_TIME: TimeSpan = TimeSpan::from_millis(2_500);
/// Time that an unload takes.
const UNLOAD_TIME: TimeSpan = TimeSpan::from_millis(55);
/// Time that a question takes.
const AUDIT_TIME: TimeSpan = TimeSpan::from_millis(20);
const ENGINE_MEMORY: MemorySize = MemorySize::from_gib(200);
const MODEL_SIZES: [MemorySize; 3] = [
    MemorySize::from_gib(34),
    MemorySize::from_gib(65),
    MemorySize::from_gib(72),
];
const MEMORY_LOAD: TimeSpan = TimeSpan::from_millis(350);
const DISK_LOAD: TimeSpan = TimeSpan::from_millis(700);
/// Models in the memory of each engine at the start.
const FIRST_MODELS: usize = 2;
/// Loads per second that the store allows; the number at once binds first.
const LOADS_PER_SECOND: f64 = 10.0;

/// What becomes known or done at a time.
enum FleetEvent {
    Came(BackendId),
    Drains(BackendId),
    Gone(BackendId),
    Audited(BackendId),
    Loaded(ModelTask),
}

/// Engines, the store, and what the coordinator knows of them.
pub(super) struct EmulatedFleet {
    pub(super) state: PlacementState,
    pub(super) manifest: ServingManifest,
    pub(super) service: ServiceName,
    pub(super) store_loads: usize,
    at_once: u32,
    slots: u32,
    events: Vec<(MonoTime, FleetEvent)>,
    /// When loads from the store end, also those whose engines left.
    fetches: Vec<MonoTime>,
}

pub(super) fn model_name(number: usize) -> Result<ModelName, IdError> {
    format!("model{number}").parse()
}

impl EmulatedFleet {
    pub(super) fn new(figures: &SiteFigures, plan: &DayPlan) -> Result<Self, IdError> {
        let service: ServiceName = "assistant".parse()?;
        let mut fleet = Self {
            state: PlacementState::default(),
            manifest: manifest(figures, &service)?,
            service,
            store_loads: 0,
            at_once: figures.at_once,
            slots: figures.slots,
            events: Vec::new(),
            fetches: Vec::new(),
        };
        for number in 0..figures.engines {
            let copies = first_copies(figures, number)?;
            let entry = fleet.entry(number, &copies)?;
            fleet.learn(&entry, MonoTime::default());
        }
        for (number, replaced) in plan.replaced.iter().enumerate() {
            let start = MonoTime::default() + replaced.at;
            let new: BackendId = format!("e{}", figures.engines + number).parse()?;
            let old: BackendId = format!("e{number}").parse()?;
            let came = start + replaced.gap + NEWS_LAG;
            fleet.events.push((came, FleetEvent::Came(new)));
            let drains = start + NEWS_LAG;
            fleet.events.push((drains, FleetEvent::Drains(old.clone())));
            fleet
                .events
                .push((start + DRAIN_TIME, FleetEvent::Gone(old)));
        }
        Ok(fleet)
    }

    fn entry(&self, number: usize, copies: &[ModelName]) -> Result<EngineEntry, IdError> {
        self.named_entry(format!("e{number}").parse()?, copies)
    }

    fn named_entry(&self, id: BackendId, copies: &[ModelName]) -> Result<EngineEntry, IdError> {
        let held = copies.iter().take(FIRST_MODELS).map(|model| HeldModel {
            model: model.clone(),
            adapters: Vec::new(),
        });
        Ok(EngineEntry {
            id,
            service: self.service.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "north".parse()?,
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

    fn learn(&mut self, entry: &EngineEntry, now: MonoTime) {
        self.state.apply_entry(entry, now);
        if let Some(engine) = self.state.engines.get_mut(&entry.id) {
            engine.apply_report(OrderSequence(0), &entry.models);
        }
    }

    /// Lets everything happen that is due.
    pub(super) fn advance(&mut self, now: MonoTime) -> Result<(), IdError> {
        self.fetches.retain(|end| *end > now);
        let events = std::mem::take(&mut self.events);
        let (due, later): (Vec<_>, Vec<_>) = events.into_iter().partition(|(at, _)| *at <= now);
        self.events = later;
        for (_, event) in due {
            self.happen(event, now)?;
        }
        Ok(())
    }

    fn happen(&mut self, event: FleetEvent, now: MonoTime) -> Result<(), IdError> {
        match event {
            FleetEvent::Came(id) => {
                let entry = self.named_entry(id, &[])?;
                self.learn(&entry, now);
            }
            FleetEvent::Drains(id) => {
                let mut entry = self.named_entry(id, &[])?;
                entry.draining = true;
                self.state.apply_entry(&entry, now);
            }
            FleetEvent::Gone(id) => self.state.remove_engine(&id, now),
            FleetEvent::Audited(id) => {
                let held = self.held(&id);
                if let Some(engine) = self.state.engines.get_mut(&id) {
                    engine.apply_report(OrderSequence(0), &held);
                }
            }
            FleetEvent::Loaded(work) => self.finish(&work, now),
        }
        Ok(())
    }

    fn held(&self, id: &BackendId) -> Vec<HeldModel> {
        let engine = self.state.engines.get(id);
        let models = engine.into_iter().flat_map(|engine| engine.held.keys());
        let held = models.map(|model| HeldModel {
            model: model.clone(),
            adapters: Vec::new(),
        });
        held.collect()
    }

    fn finish(&mut self, work: &ModelTask, now: MonoTime) {
        let Some(engine) = self.state.engine_mut(&work.target) else {
            return;
        };
        let begun = engine.task.take().map(|task| task.planned_at);
        engine.record_loaded(&work.model, now);
        if let Some(begun) = begun.filter(|_| work.source == LoadSource::Store) {
            let taken = now.since(begun);
            let ceiling = &mut self.state.ceiling;
            ceiling.record_done(work.load_time, taken, work.concurrent_loads);
        }
    }

    /// Begins work that was planned.
    pub(super) fn begin(&mut self, work: PlannedTask, now: MonoTime) {
        match work {
            PlannedTask::Model(work) => self.begin_load(work, now),
            PlannedTask::Audit(target) => {
                let event = FleetEvent::Audited(target.engine);
                self.events.push((now + AUDIT_TIME, event));
            }
            // No request here names an adapter.
            PlannedTask::Adapter(_) => {}
        }
    }

    fn begin_load(&mut self, work: ModelTask, now: MonoTime) {
        let mut time = work.load_time;
        if work.source == LoadSource::Store {
            self.store_loads += 1;
            let running = u32::try_from(self.fetches.len() + 1).unwrap_or(u32::MAX);
            let slowed = u64::from(running.max(self.at_once));
            time = TimeSpan::from_millis(time.millis() * slowed / u64::from(self.at_once));
            self.fetches.push(now + time);
        }
        if let Some(engine) = self.state.engine_mut(&work.target) {
            for victim in &work.unload {
                engine.record_unloaded(victim);
                time = time + UNLOAD_TIME;
            }
        }
        self.events.push((now + time, FleetEvent::Loaded(work)));
    }
}

/// The models with a copy on the disk of an engine at the start.
fn first_copies(figures: &SiteFigures, engine: usize) -> Result<Vec<ModelName>, IdError> {
    let on_disk = |model: &usize| {
        (0..figures.copies)
            .any(|copy| (model + copy * figures.engines / 3) % figures.engines == engine)
    };
    let models = (0..figures.models).filter(on_disk);
    models.map(model_name).collect()
}

fn manifest(figures: &SiteFigures, service: &ServiceName) -> Result<ServingManifest, IdError> {
    let mut models = IndexMap::new();
    for number in 0..figures.models {
        let class = ModelClass {
            weights: MODEL_SIZES[number % MODEL_SIZES.len()],
            adapter_weights: MemorySize::ZERO,
            store_load: figures.store_load,
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
    })
}
