//! Which engine loads an adapter.
//!
//! Load pattern: a tenth to a half of the requests for a busy model name one of
//! many adapters, each rarely. An adapter loads within milliseconds, so it is
//! loaded when it is asked for, on an engine with few requests, and makes way
//! when it is the one that was not used for longest.

use ward_protocol::{AdapterName, BackendId, MemorySize, ModelName, MonoTime};

use super::demand::ModelKey;
use super::engine::{PlacedAdapter, PlacedEngine};
use super::state::PlacementState;
use super::work::AdapterTask;
use crate::manifest::{EngineClass, ServingManifest};

/// Requests at an engine that a free adapter slot outweighs.
const FREE_SLOT_BONUS: u32 = 4;

/// Plans the adapters that requests wait for, and marks them as on their way.
pub(super) fn plan_adapters(
    state: &mut PlacementState,
    manifest: &ServingManifest,
    now: MonoTime,
) -> Vec<AdapterTask> {
    let mut works = Vec::new();
    for (key, adapter) in missing_adapters(state) {
        let Some(class) = manifest.engine_class(&key.service) else {
            continue;
        };
        if let Some(work) = place_adapter(state, class, &key, &adapter, now) {
            mark(state, &work, now);
            works.push(work);
        }
    }
    works
}

fn missing_adapters(state: &PlacementState) -> Vec<(ModelKey, AdapterName)> {
    let mut missing = Vec::new();
    for (key, demand) in state.demand.iter() {
        for adapter in demand.adapters.keys() {
            let present = state.engines.values().any(|engine| {
                let serves = engine.info.service == key.service && !engine.info.draining;
                serves && has_adapter(engine, &key.model, adapter)
            });
            if !present {
                missing.push((key.clone(), adapter.clone()));
            }
        }
    }
    missing
}

fn has_adapter(engine: &PlacedEngine, model: &ModelName, adapter: &AdapterName) -> bool {
    let held = engine.held.get(model).filter(|held| !held.unloading);
    let adapter = held.and_then(|held| held.adapters.get(adapter));
    adapter.is_some_and(|adapter| !adapter.unloading)
}

fn place_adapter(
    state: &PlacementState,
    class: &EngineClass,
    key: &ModelKey,
    adapter: &AdapterName,
    now: MonoTime,
) -> Option<AdapterTask> {
    let size = class.models.get(&key.model)?.adapter_weights;
    let engines = state.engines.values().filter(|engine| {
        let holds = engine
            .held
            .get(&key.model)
            .is_some_and(|held| !held.unloading);
        engine.info.service == key.service && holds && accepts_adapters(engine, now)
    });
    let fitting = engines.filter_map(|engine| {
        let room = make_room(engine, class, size)?;
        Some((engine, room))
    });
    let cost = |engine: &PlacedEngine, room: &Room| {
        let bonus = if room.victim.is_none() {
            0
        } else {
            FREE_SLOT_BONUS
        };
        engine.running() + bonus
    };
    let (engine, room) = fitting.min_by_key(|(engine, room)| cost(engine, room))?;
    Some(AdapterTask {
        target: engine.target(),
        model: key.model.clone(),
        adapter: adapter.clone(),
        unload: room.victim,
    })
}

fn accepts_adapters(engine: &PlacedEngine, now: MonoTime) -> bool {
    engine.is_free(now) && !engine.adapter_busy
}

/// How an adapter finds room on an engine.
struct Room {
    victim: Option<(ModelName, AdapterName)>,
}

fn make_room(engine: &PlacedEngine, class: &EngineClass, size: MemorySize) -> Option<Room> {
    if engine.free(class) < size {
        return None;
    }
    if engine.adapter_count() < class.adapter_slots as usize {
        return Some(Room { victim: None });
    }
    let idle = engine.held.iter().flat_map(|(model, held)| {
        let idle = held
            .adapters
            .iter()
            .filter(|(_, adapter)| adapter.running == 0 && adapter.ready);
        idle.map(move |(name, adapter)| (model, name, adapter))
    });
    let (model, name, _) = idle.min_by_key(|(_, _, adapter)| adapter.last_used)?;
    Some(Room {
        victim: Some((model.clone(), name.clone())),
    })
}

fn mark(state: &mut PlacementState, work: &AdapterTask, now: MonoTime) {
    let Some(engine) = state.engines.get_mut::<BackendId>(&work.target.engine) else {
        return;
    };
    engine.adapter_busy = true;
    if let Some((model, adapter)) = &work.unload {
        let held = engine.held.get_mut(model);
        if let Some(victim) = held.and_then(|held| held.adapters.get_mut(adapter)) {
            victim.unloading = true;
        }
    }
    if let Some(held) = engine.held.get_mut(&work.model) {
        let coming = PlacedAdapter {
            last_used: now,
            ..PlacedAdapter::default()
        };
        held.adapters.insert(work.adapter.clone(), coming);
    }
}
