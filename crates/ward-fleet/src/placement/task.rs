//! Tasks that the coordinator plans for engines.

use ward_protocol::{AdapterName, BackendId, ModelName, TimeSpan};

use super::engine::LoadSource;
use crate::entry::EngineBirth;

/// An engine in a certain incarnation.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskTarget {
    /// Identifier of the engine.
    pub engine: BackendId,
    /// Start of the incarnation that the task was planned for. A restarted
    /// engine must not get the task.
    pub birth: Option<EngineBirth>,
}

/// A task for an engine.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannedTask {
    /// Load a model.
    Model(ModelLoadTask),
    /// Load an adapter.
    Adapter(AdapterLoadTask),
    /// Ask the engine what it holds.
    Audit(TaskTarget),
}

impl PlannedTask {
    /// The engine that the task is for.
    #[must_use]
    pub const fn target(&self) -> &TaskTarget {
        match self {
            Self::Model(task) => &task.target,
            Self::Adapter(task) => &task.target,
            Self::Audit(target) => target,
        }
    }
}

/// Loads a model, after unloading others to make room.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelLoadTask {
    /// Engine that loads the model.
    pub target: TaskTarget,
    /// Models to unload first.
    pub unload: Vec<ModelName>,
    /// Model to load.
    pub model: ModelName,
    /// Source of the model's weights.
    pub source: LoadSource,
    /// Expected duration of the load.
    pub load_time: TimeSpan,
    /// Number of other loads from the weight store at the time of planning,
    /// plus one for this load.
    pub concurrent_loads: u32,
    /// Why the model is loaded, for logs.
    pub reason: LoadReason,
}

/// Why a model is loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReason {
    /// Requests wait for the model, and no engine holds it.
    Missing,
    /// The last copies of the model are gone or on engines that are likely to
    /// leave.
    Leaving,
    /// The model has enough requests for another replica.
    Busy,
    /// The engine has idle memory for the model.
    Room,
    /// No engine has a copy of the model; it is loaded before it is requested.
    Absent,
}

/// Loads an adapter, after unloading another if no slot is free.
#[derive(Debug, Clone, PartialEq)]
pub struct AdapterLoadTask {
    /// Engine that loads the adapter.
    pub target: TaskTarget,
    /// Model that the adapter belongs to.
    pub model: ModelName,
    /// Adapter to load.
    pub adapter: AdapterName,
    /// Adapter to unload first, with its model.
    pub unload: Option<(ModelName, AdapterName)>,
}
