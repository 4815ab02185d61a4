//! What daemons know of the engines from views, and what has changed since.
//!
//! Load pattern: the coordinator looks for changes many times a second, and of thousands of
//! engines hardly any has changed. So engines are compared in place, and only those that
//! have changed are copied.

use indexmap::IndexMap;
use ward_protocol::BackendId;

use super::engine::PlacedEngine;
use super::state::PlacementState;
use crate::entry::HeldModel;
use crate::message::EngineInfo;

/// Engines as of the last view.
#[derive(Debug, Clone, Default)]
pub struct PublishedEngines {
    engines: IndexMap<BackendId, EngineInfo>,
}

/// Engines that were added, changed or removed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineChanges {
    /// Engines that are new or have changed.
    pub changed: Vec<EngineInfo>,
    /// Engines that were removed.
    pub gone: Vec<BackendId>,
}

impl PublishedEngines {
    /// Takes over the engines of a state; returns what has changed.
    pub fn update(&mut self, state: &PlacementState) -> EngineChanges {
        let mut changes = EngineChanges::default();
        for (id, engine) in &state.engines {
            let published = self.engines.get(id);
            if published.is_some_and(|info| is_same(engine, info)) {
                continue;
            }
            let info = engine.public_info();
            self.engines.insert(id.clone(), info.clone());
            changes.changed.push(info);
        }
        if self.engines.len() > state.engines.len() {
            self.engines.retain(|id, _| {
                let is_present = state.engines.contains_key(id);
                if !is_present {
                    changes.gone.push(id.clone());
                }
                is_present
            });
        }
        changes
    }

    /// All engines, as a complete view lists them.
    #[must_use]
    pub fn list(&self) -> Vec<EngineInfo> {
        self.engines.values().cloned().collect()
    }
}

/// Whether what daemons need to know about an engine is what they know.
fn is_same(engine: &PlacedEngine, known: &EngineInfo) -> bool {
    let EngineInfo {
        id,
        service,
        address,
        zone,
        software,
        slots,
        draining,
        lapsed,
        ended,
        birth,
        holding,
    } = known;
    let info = &engine.info;
    let is_same_engine = info.id == *id
        && info.birth == *birth
        && info.service == *service
        && info.address == *address
        && info.zone == *zone
        && info.software == *software;
    let is_same_state = info.slots == *slots
        && info.draining == *draining
        && info.lapsed == *lapsed
        && info.ended == *ended;
    is_same_engine && is_same_state && holds_same(engine, holding)
}

fn holds_same(engine: &PlacedEngine, holding: &[HeldModel]) -> bool {
    let mut held = engine.public_models();
    let mut known = holding.iter();
    loop {
        match (held.next(), known.next()) {
            (None, None) => return true,
            (Some((name, model)), Some(known)) => {
                let adapters = model.ready_adapters();
                if *name != known.model || !adapters.eq(&known.adapters) {
                    return false;
                }
            }
            _ => return false,
        }
    }
}
