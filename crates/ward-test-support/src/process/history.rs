//! What the engines truly held, from their own histories.

use indexmap::IndexMap;
use ward_protocol::{OrderKind, ReplicaKey, ResidentPhase};
use ward_standin::engine::{EngineHistory, HoldingEntry};

use super::fleet::ProcessFleet;
use crate::control::ControlError;

/// What all engines of a fleet did, by their own word.
#[derive(Debug, Clone, Default)]
pub struct FleetHistory {
    /// Their histories, in the order of the engines.
    pub engines: Vec<EngineHistory>,
}

impl FleetHistory {
    /// Reads the histories of all engines that answer.
    ///
    /// # Errors
    /// When an engine does not answer.
    pub async fn read(fleet: &ProcessFleet) -> Result<Self, ControlError> {
        let mut engines = Vec::new();
        for engine in &fleet.engines {
            engines.push(engine.control().history().await?);
        }
        Ok(Self { engines })
    }

    /// Times that an engine held more than its memory.
    #[must_use]
    pub fn overcommits(&self) -> u32 {
        self.engines.iter().map(|engine| engine.overcommits).sum()
    }

    /// Load orders of a key that engines took, on all engines.
    #[must_use]
    pub fn accepted_loads(&self, key: &ReplicaKey) -> usize {
        let orders = self.engines.iter().flat_map(|engine| &engine.orders);
        let taken = orders.filter(|entry| entry.refusal.is_none());
        taken
            .filter(|entry| matches!(&entry.order.kind, OrderKind::Load { key: loaded, .. } if loaded == key))
            .count()
    }

    /// Most replicas of a key that were held at a time, on all engines together.
    #[must_use]
    pub fn peak_replicas(&self, key: &ReplicaKey) -> usize {
        let mut changes: Vec<HoldingChange> = Vec::new();
        for (engine, history) in self.engines.iter().enumerate() {
            changes.extend(history.holdings.iter().map(|entry| HoldingChange {
                at: entry.at_micros,
                engine,
                held: holds(entry, key),
            }));
        }
        changes.sort_by_key(|change| change.at);
        let mut held: IndexMap<usize, bool> = IndexMap::new();
        let mut most = 0;
        for change in changes {
            held.insert(change.engine, change.held);
            most = most.max(held.values().filter(|held| **held).count());
        }
        most
    }
}

struct HoldingChange {
    at: u64,
    engine: usize,
    held: bool,
}

fn holds(entry: &HoldingEntry, key: &ReplicaKey) -> bool {
    entry
        .replicas
        .iter()
        .any(|replica| replica.key == *key && replica.phase != ResidentPhase::Failed)
}
