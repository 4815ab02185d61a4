//! Engines by number, and what changed of them.

use std::net::SocketAddr;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use ward_protocol::{AdapterName, BackendId, ModelName, ServiceName, SoftwareVersion, ZoneName};

use super::CompactError;
use crate::entry::{EngineBirth, HeldModel};
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
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct NumberedEngine {
    pub(super) number: EngineNumber,
    pub(super) info: EngineInfo,
}

/// What many engines have in common.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineGroup {
    /// Service that the engines belong to.
    pub service: ServiceName,
    /// Availability zone that they run in.
    pub zone: ZoneName,
    /// Version of their software.
    pub software: SoftwareVersion,
    /// Number of requests that each can run concurrently.
    pub slots: u32,
}

/// An engine in full, except for what its group tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupedEngine {
    /// The number that stands for the engine from now on.
    pub number: EngineNumber,
    /// Index of its group in the view.
    pub group: u32,
    /// Identifier of the engine.
    pub id: BackendId,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// Whether the store dropped its entry during an outage.
    pub lapsed: bool,
    /// Whether it ended under requests.
    pub ended: bool,
    /// Start time of its incarnation.
    pub birth: Option<EngineBirth>,
    /// Models and adapters that it serves.
    pub holding: Vec<HeldModel>,
}

impl GroupedEngine {
    /// Splits an engine from its group, which is added to `groups` if it is not there.
    pub(super) fn split(engine: NumberedEngine, groups: &mut IndexSet<EngineGroup>) -> Self {
        let NumberedEngine { number, info } = engine;
        let (index, _) = groups.insert_full(EngineGroup {
            service: info.service,
            zone: info.zone,
            software: info.software,
            slots: info.slots,
        });
        Self {
            number,
            group: u32::try_from(index).unwrap_or(u32::MAX),
            id: info.id,
            address: info.address,
            draining: info.draining,
            lapsed: info.lapsed,
            ended: info.ended,
            birth: info.birth,
            holding: info.holding,
        }
    }

    /// Joins an engine with its group.
    pub(super) fn join(self, groups: &[EngineGroup]) -> Result<NumberedEngine, CompactError> {
        let index = usize::try_from(self.group).unwrap_or(usize::MAX);
        let group = groups.get(index);
        let group = group.ok_or(CompactError::UnknownNumber(self.group))?;
        let info = EngineInfo {
            id: self.id,
            service: group.service.clone(),
            address: self.address,
            zone: group.zone.clone(),
            software: group.software.clone(),
            slots: group.slots,
            draining: self.draining,
            lapsed: self.lapsed,
            ended: self.ended,
            birth: self.birth,
            holding: self.holding,
        };
        Ok(NumberedEngine {
            number: self.number,
            info,
        })
    }
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
