//! Selects the engine that loads an adapter.
//!
//! Load pattern: between a tenth and half of the requests for a busy model name
//! one of many adapters, each of them rarely. An adapter loads within
//! milliseconds, so it is loaded on demand, on an engine with few requests, and
//! replaces the least recently used adapter if no slot is free.

use ward_protocol::{AdapterName, BackendId, MemorySize, ModelName, MonoTime};

use super::demand::ModelKey;
use super::engine::{PlacedAdapter, PlacedEngine};
use super::state::PlacementState;
use super::task::AdapterLoadTask;
use crate::manifest::{EngineClass, ServingManifest};

/// Cost, in running requests, of an engine on which another adapter must be
/// unloaded first.
const EVICTION_COST: u32 = 4;

/// Plans loads of the adapters that requests wait for, and marks them as
/// loading.
pub(super) fn plan_adapters(
    state: &mut PlacementState,
    manifest: &ServingManifest,
    now: MonoTime,
) -> Vec<AdapterLoadTask> {
    let mut tasks = Vec::new();
    for (key, adapter) in missing_adapters(state) {
        let Some(class) = manifest.engine_class(&key.service) else {
            continue;
        };
        if let Some(task) = place_adapter(state, class, &key, &adapter, now) {
            mark_planned(state, &task, now);
            tasks.push(task);
        }
    }
    tasks
}

/// Adapters that requests wait for and that no engine holds or is loading,
/// apart from engines that take no requests.
fn missing_adapters(state: &PlacementState) -> Vec<(ModelKey, AdapterName)> {
    let mut missing = Vec::new();
    for (key, demand) in state.demand.iter() {
        for adapter in demand.adapters.keys() {
            let present = state.engines.values().any(|engine| {
                let serves = engine.info.service == key.service && engine.info.takes_requests();
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
) -> Option<AdapterLoadTask> {
    let size = class.models.get(&key.model)?.adapter_weights;
    let engines = state.engines.values().filter(|engine| {
        let holds = engine
            .held
            .get(&key.model)
            .is_some_and(|held| !held.unloading);
        engine.info.service == key.service && holds && accepts_adapters(engine, now)
    });
    let fitting = engines.filter_map(|engine| {
        let slot = find_slot(engine, class, size)?;
        Some((engine, slot))
    });
    let cost = |engine: &PlacedEngine, slot: &AdapterSlot| {
        let eviction_cost = if slot.victim.is_none() {
            0
        } else {
            EVICTION_COST
        };
        engine.running() + eviction_cost
    };
    let (engine, slot) = fitting.min_by_key(|(engine, slot)| cost(engine, slot))?;
    Some(AdapterLoadTask {
        target: engine.target(),
        model: key.model.clone(),
        adapter: adapter.clone(),
        unload: slot.victim,
    })
}

fn accepts_adapters(engine: &PlacedEngine, now: MonoTime) -> bool {
    engine.is_free(now) && !engine.adapter_busy
}

/// An adapter slot on an engine; `victim` is the adapter to unload first, with
/// its model, or `None` if the slot is free.
struct AdapterSlot {
    victim: Option<(ModelName, AdapterName)>,
}

/// A slot for an adapter of `size`; `None` if the engine lacks the memory, or
/// all of its slots are taken by adapters in use or still loading.
fn find_slot(engine: &PlacedEngine, class: &EngineClass, size: MemorySize) -> Option<AdapterSlot> {
    if engine.free_memory(class) < size {
        return None;
    }
    if engine.adapter_count() < class.adapter_slots as usize {
        return Some(AdapterSlot { victim: None });
    }
    let idle = engine.held.iter().flat_map(|(model, held)| {
        let idle = held
            .adapters
            .iter()
            .filter(|(_, adapter)| adapter.running == 0 && adapter.ready);
        idle.map(move |(name, adapter)| (model, name, adapter))
    });
    let (model, name, _) = idle.min_by_key(|(_, _, adapter)| adapter.last_used)?;
    Some(AdapterSlot {
        victim: Some((model.clone(), name.clone())),
    })
}

fn mark_planned(state: &mut PlacementState, task: &AdapterLoadTask, now: MonoTime) {
    let Some(engine) = state.engines.get_mut::<BackendId>(&task.target.engine) else {
        return;
    };
    engine.adapter_busy = true;
    if let Some((model, adapter)) = &task.unload {
        let held = engine.held.get_mut(model);
        if let Some(victim) = held.and_then(|held| held.adapters.get_mut(adapter)) {
            victim.unloading = true;
        }
    }
    if let Some(held) = engine.held.get_mut(&task.model) {
        let loading = PlacedAdapter {
            last_used: now,
            ..PlacedAdapter::default()
        };
        held.adapters.insert(task.adapter.clone(), loading);
    }
}
