//! Work that the coordinator plans for engines.

use ward_protocol::{AdapterName, BackendId, ModelName, TimeSpan};

use super::engine::LoadSource;
use crate::entry::EngineBirth;

/// An engine in one of its lives.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskTarget {
    /// The engine.
    pub engine: BackendId,
    /// The life for which the work was planned.
    pub birth: Option<EngineBirth>,
}

/// Work for an engine.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannedTask {
    /// Load a model.
    Model(ModelTask),
    /// Load an adapter.
    Adapter(AdapterTask),
    /// Ask what the engine holds.
    Audit(TaskTarget),
}

impl PlannedTask {
    /// The engine that does it.
    #[must_use]
    pub const fn target(&self) -> &TaskTarget {
        match self {
            Self::Model(work) => &work.target,
            Self::Adapter(work) => &work.target,
            Self::Audit(target) => target,
        }
    }
}

/// Load a model, after others have made way.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelTask {
    /// The engine.
    pub target: TaskTarget,
    /// Models to unload first.
    pub unload: Vec<ModelName>,
    /// The model to load.
    pub model: ModelName,
    /// Where its weights come from.
    pub source: LoadSource,
    /// How long loading should take.
    pub load_time: TimeSpan,
    /// Loads from the weight store when it was planned, with this one.
    pub concurrent_loads: u32,
    /// Why.
    pub reason: LoadReason,
}

/// Why a model is loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReason {
    /// Requests wait for it and no engine holds it.
    Missing,
    /// Its last copies are gone, or on engines that are likely to leave.
    Leaving,
    /// Its engines have too many requests.
    Busy,
    /// The engine has room for it.
    Room,
    /// No engine has a copy of it, and the weight store is idle.
    Absent,
}

/// Load an adapter, after another has made way.
#[derive(Debug, Clone, PartialEq)]
pub struct AdapterTask {
    /// The engine.
    pub target: TaskTarget,
    /// The model.
    pub model: ModelName,
    /// The adapter to load.
    pub adapter: AdapterName,
    /// An adapter to unload first.
    pub unload: Option<(ModelName, AdapterName)>,
}
