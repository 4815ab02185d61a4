//! Views as they are sent to daemons.
//!
//! One encoder serves all connections of a term, so that a view is encoded once for all
//! daemons. It assumes that each of them has either all changes so far or gets a
//! complete view before the next changes.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use ward_protocol::{BackendId, FenceNumber};

use super::CompactError;
use super::engine::{EngineGroup, EngineNumber, EngineUpdate, GroupedEngine, NumberedEngine};
use crate::message::{EngineInfo, EngineLoad, FleetView};

/// A view in which engines have numbers, and only changed counts are sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompactView {
    /// The view without engines and their loads.
    pub rest: FleetView,
    /// What the engines that are sent in full have in common.
    pub groups: Vec<EngineGroup>,
    /// Engines that are sent in full.
    pub engines: Vec<GroupedEngine>,
    /// Changes to the other engines.
    pub updates: Vec<EngineUpdate>,
    /// Engines that were removed.
    pub gone: Vec<EngineNumber>,
    /// Changes to the number of requests at engines; `None` if the view does not update
    /// these numbers.
    pub loads: Option<CompactLoads>,
}

/// Changes to the number of requests at engines; all numbers in a complete view.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CompactLoads {
    /// Changed numbers of requests.
    pub changed: Vec<NumberedLoad>,
    /// Requests at engines without a number, all in each view.
    pub unnumbered: Vec<EngineLoad>,
}

/// Number of requests at one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedLoad {
    /// The engine.
    pub engine: EngineNumber,
    /// Number of requests over all daemons.
    pub count: u32,
}

/// What all daemons know from the views of one term.
#[derive(Debug, Clone, Default)]
pub struct ViewEncoder {
    engines: IndexMap<BackendId, NumberedEngine>,
    next_number: EngineNumber,
    /// Number of requests at engines that have any, as of the last changes.
    counts: IndexMap<EngineNumber, u32>,
    /// Engines of whose counts complete views have since told something else.
    diverged: IndexSet<EngineNumber>,
}

impl ViewEncoder {
    /// Encodes changes since the view before.
    pub fn encode_changes(&mut self, mut view: FleetView) -> CompactView {
        let gone: Vec<EngineNumber> = std::mem::take(&mut view.gone)
            .iter()
            .filter_map(|id| self.engines.shift_remove(id))
            .map(|engine| engine.number)
            .collect();
        for number in &gone {
            self.counts.shift_remove(number);
            self.diverged.shift_remove(number);
        }
        let mut engines = Vec::new();
        let mut updates = Vec::new();
        for info in std::mem::take(&mut view.engines) {
            let update = self.update_of(&info);
            let number = self.number_of(&info.id);
            match update {
                Some(update) => updates.push(update),
                None => engines.push(NumberedEngine {
                    number,
                    info: info.clone(),
                }),
            }
            self.engines
                .insert(info.id.clone(), NumberedEngine { number, info });
        }
        let loads = view.loads.take();
        let (groups, engines) = split_groups(engines);
        CompactView {
            rest: view,
            groups,
            engines,
            updates,
            gone,
            loads: loads.map(|loads| self.changed_loads(loads)),
        }
    }

    /// Encodes a complete view, for connections that are new since the last changes were
    /// encoded. All its engines are those of the last changes.
    pub fn encode_complete(&mut self, mut view: FleetView) -> CompactView {
        let loads = view.loads.take().unwrap_or_default();
        let (counts, unnumbered) = self.split(loads);
        let numbers = counts.keys().chain(self.counts.keys());
        let diverged = numbers.filter(|number| counts.get(*number) != self.counts.get(*number));
        let diverged: Vec<_> = diverged.copied().collect();
        self.diverged.extend(diverged);
        view.engines.clear();
        let (groups, engines) = split_groups(self.engines.values().cloned());
        CompactView {
            rest: view,
            groups,
            engines,
            updates: Vec::new(),
            gone: Vec::new(),
            loads: Some(CompactLoads {
                changed: numbered_loads(counts),
                unnumbered,
            }),
        }
    }

    fn update_of(&self, info: &EngineInfo) -> Option<EngineUpdate> {
        let known = self.engines.get(&info.id)?;
        EngineUpdate::between(known.number, &known.info, info)
    }

    /// The number of an engine, a new one if it has none.
    fn number_of(&mut self, id: &BackendId) -> EngineNumber {
        if let Some(known) = self.engines.get(id) {
            return known.number;
        }
        let number = self.next_number;
        self.next_number = number.next();
        number
    }

    /// Divides loads into those of engines with a number and the others.
    fn split(&self, loads: Vec<EngineLoad>) -> (IndexMap<EngineNumber, u32>, Vec<EngineLoad>) {
        let mut counts = IndexMap::new();
        let mut unnumbered = Vec::new();
        for load in loads.into_iter().filter(|load| load.count > 0) {
            match self.engines.get(&load.engine) {
                Some(engine) => *counts.entry(engine.number).or_default() += load.count,
                None => unnumbered.push(load),
            }
        }
        (counts, unnumbered)
    }

    fn changed_loads(&mut self, loads: Vec<EngineLoad>) -> CompactLoads {
        let (counts, unnumbered) = self.split(loads);
        let former = std::mem::replace(&mut self.counts, counts);
        let diverged = std::mem::take(&mut self.diverged);
        let numbers: IndexSet<_> = self.counts.keys().chain(former.keys()).copied().collect();
        let has_changed = |number: &EngineNumber| {
            self.counts.get(number) != former.get(number) || diverged.contains(number)
        };
        let ended = diverged.iter().filter(|number| !numbers.contains(*number));
        let changed = numbers.iter().filter(|number| has_changed(number));
        let changed = changed.chain(ended).map(|number| NumberedLoad {
            engine: *number,
            count: self.counts.get(number).copied().unwrap_or_default(),
        });
        CompactLoads {
            changed: changed.collect(),
            unnumbered,
        }
    }
}

/// Splits engines from what they have in common.
fn split_groups(
    engines: impl IntoIterator<Item = NumberedEngine>,
) -> (Vec<EngineGroup>, Vec<GroupedEngine>) {
    let mut groups = IndexSet::new();
    let engines = engines.into_iter();
    let engines = engines
        .map(|engine| GroupedEngine::split(engine, &mut groups))
        .collect();
    (groups.into_iter().collect(), engines)
}

fn numbered_loads(counts: IndexMap<EngineNumber, u32>) -> Vec<NumberedLoad> {
    let loads = counts.into_iter();
    loads
        .map(|(engine, count)| NumberedLoad { engine, count })
        .collect()
}

/// What a daemon knows from the views of one connection.
#[derive(Debug, Clone, Default)]
pub struct ViewDecoder {
    /// Term of the last complete view; `None` before the first.
    term: Option<FenceNumber>,
    engines: IndexMap<EngineNumber, EngineInfo>,
    counts: IndexMap<EngineNumber, u32>,
}

impl ViewDecoder {
    /// Decodes the next view of the connection.
    ///
    /// # Errors
    /// When the view does not fit to the earlier ones.
    pub fn decode(&mut self, view: CompactView) -> Result<FleetView, CompactError> {
        let mut decoded = view.rest;
        if decoded.complete {
            self.engines.clear();
            self.counts.clear();
            self.term = Some(decoded.term);
        } else if self.term != Some(decoded.term) {
            return Err(CompactError::MissingBase);
        }
        for number in &view.gone {
            let engine = self.engines.shift_remove(number);
            let engine = engine.ok_or(CompactError::UnknownNumber(number.0))?;
            self.counts.shift_remove(number);
            decoded.gone.push(engine.id);
        }
        for engine in view.engines {
            let engine = engine.join(&view.groups)?;
            decoded.engines.push(engine.info.clone());
            self.engines.insert(engine.number, engine.info);
        }
        for update in &view.updates {
            let number = update.engine;
            let engine = self.engines.get_mut(&number);
            let engine = engine.ok_or(CompactError::UnknownNumber(number.0))?;
            update.apply(engine);
            decoded.engines.push(engine.clone());
        }
        if let Some(loads) = view.loads {
            decoded.loads = Some(self.decode_loads(loads)?);
        }
        Ok(decoded)
    }

    fn decode_loads(&mut self, loads: CompactLoads) -> Result<Vec<EngineLoad>, CompactError> {
        for load in &loads.changed {
            if !self.engines.contains_key(&load.engine) {
                return Err(CompactError::UnknownNumber(load.engine.0));
            }
            if load.count == 0 {
                self.counts.shift_remove(&load.engine);
            } else {
                self.counts.insert(load.engine, load.count);
            }
        }
        let numbered = self.counts.iter().filter_map(|(number, count)| {
            let engine = self.engines.get(number)?;
            Some(EngineLoad {
                engine: engine.id.clone(),
                count: *count,
            })
        });
        Ok(numbered.chain(loads.unnumbered).collect())
    }
}
