//! Histories of all engines of a fleet, as the engines themselves recorded them.

use indexmap::IndexMap;
use ward_protocol::{OrderKind, ReplicaKey, ResidentPhase};
use ward_standin::engine::{EngineHistory, HoldingEntry};

use super::fleet::ProcessFleet;
use crate::control::ControlError;

/// Histories of all engines of a fleet, which do not depend on the daemons' reports.
#[derive(Debug, Clone, Default)]
pub struct FleetHistory {
    /// One history per engine, in the order of the fleet.
    pub engines: Vec<EngineHistory>,
}

impl FleetHistory {
    /// Reads the histories of all engines.
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

    /// Number of times that an engine held more than fits into its memory, over all
    /// engines.
    #[must_use]
    pub fn overcommits(&self) -> u32 {
        self.engines.iter().map(|engine| engine.overcommits).sum()
    }

    /// Number of load orders for a key that engines did not refuse, over all engines.
    #[must_use]
    pub fn accepted_loads(&self, key: &ReplicaKey) -> usize {
        let orders = self.engines.iter().flat_map(|engine| &engine.orders);
        let accepted = orders.filter(|entry| entry.refusal.is_none());
        accepted
            .filter(|entry| matches!(&entry.order.kind, OrderKind::Load { key: loaded, .. } if loaded == key))
            .count()
    }

    /// Peak number of replicas of a key that were held at the same time, over all
    /// engines.
    #[must_use]
    pub fn peak_replicas(&self, key: &ReplicaKey) -> usize {
        let mut changes: Vec<HoldingChange> = Vec::new();
        for (engine, history) in self.engines.iter().enumerate() {
            changes.extend(history.holdings.iter().map(|entry| HoldingChange {
                at_micros: entry.at_micros,
                engine,
                held: holds(entry, key),
            }));
        }
        changes.sort_by_key(|change| change.at_micros);
        let mut held: IndexMap<usize, bool> = IndexMap::new();
        let mut peak = 0;
        for change in changes {
            held.insert(change.engine, change.held);
            peak = peak.max(held.values().filter(|held| **held).count());
        }
        peak
    }
}

struct HoldingChange {
    at_micros: u64,
    engine: usize,
    held: bool,
}

fn holds(entry: &HoldingEntry, key: &ReplicaKey) -> bool {
    entry
        .replicas
        .iter()
        .any(|replica| replica.key == *key && replica.phase != ResidentPhase::Failed)
}
