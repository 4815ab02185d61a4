//! Engines by number, and what changed of them.

use serde::{Deserialize, Serialize};
use ward_protocol::{AdapterName, ModelName};

use crate::entry::HeldModel;
use crate::message::EngineInfo;

/// Stands for an engine in the views of one term; never given to another engine of it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct EngineNumber(pub u32);

impl EngineNumber {
    /// The number after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// An engine with the number that stands for it from now on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedEngine {
    /// The number.
    pub number: EngineNumber,
    /// The engine.
    pub info: EngineInfo,
}

/// What changed of an engine whose incarnation stayed the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// The engine.
    pub engine: EngineNumber,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// Whether the store dropped its entry during an outage.
    pub lapsed: bool,
    /// Whether it ended under requests.
    pub ended: bool,
    /// Models that it no longer serves.
    pub dropped: Vec<ModelName>,
    /// Models that it serves anew, or with other adapters.
    pub changed: Vec<HeldChange>,
}

/// What changed of a model that an engine serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldChange {
    /// The model.
    pub model: ModelName,
    /// Adapters that are no longer ready.
    pub dropped: Vec<AdapterName>,
    /// Adapters that became ready.
    pub added: Vec<AdapterName>,
}

impl EngineUpdate {
    /// The update that turns `former` into `current`; `None` if no update does, so that
    /// the engine has to be sent in full.
    #[must_use]
    pub fn between(
        number: EngineNumber,
        former: &EngineInfo,
        current: &EngineInfo,
    ) -> Option<Self> {
        let is_held = |model: &ModelName| current.holding.iter().any(|held| held.model == *model);
        let dropped = former.holding.iter().map(|held| &held.model);
        let update = Self {
            engine: number,
            slots: current.slots,
            draining: current.draining,
            lapsed: current.lapsed,
            ended: current.ended,
            dropped: dropped.filter(|model| !is_held(model)).cloned().collect(),
            changed: current
                .holding
                .iter()
                .filter_map(|held| HeldChange::between(&former.holding, held))
                .collect(),
        };
        let mut result = former.clone();
        update.apply(&mut result);
        (result == *current).then_some(update)
    }

    /// Applies the update to the engine as it was.
    pub fn apply(&self, info: &mut EngineInfo) {
        info.slots = self.slots;
        info.draining = self.draining;
        info.lapsed = self.lapsed;
        info.ended = self.ended;
        info.holding
            .retain(|held| !self.dropped.contains(&held.model));
        for change in &self.changed {
            change.apply(&mut info.holding);
        }
    }
}

impl HeldChange {
    /// What changed of a model since `former`; `None` if nothing did.
    fn between(former: &[HeldModel], current: &HeldModel) -> Option<Self> {
        let known = former.iter().find(|held| held.model == current.model);
        if known == Some(current) {
            return None;
        }
        let adapters = known.map_or(&[][..], |held| &held.adapters);
        let dropped = adapters
            .iter()
            .filter(|name| !current.adapters.contains(name));
        let added = current
            .adapters
            .iter()
            .filter(|name| !adapters.contains(name));
        Some(Self {
            model: current.model.clone(),
            dropped: dropped.cloned().collect(),
            added: added.cloned().collect(),
        })
    }

    fn apply(&self, holding: &mut Vec<HeldModel>) {
        let known = holding.iter_mut().find(|held| held.model == self.model);
        let Some(held) = known else {
            holding.push(HeldModel {
                model: self.model.clone(),
                adapters: self.added.clone(),
            });
            return;
        };
        held.adapters.retain(|name| !self.dropped.contains(name));
        held.adapters.extend(self.added.iter().cloned());
    }
}
