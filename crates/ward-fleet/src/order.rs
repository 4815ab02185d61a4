//! Orders that the coordinator gives to engines.

use std::fmt;

use ward_protocol::{AdapterName, ModelName};

/// An order to change what an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load a model.
    LoadModel(ModelName),
    /// Unload a model together with its adapters.
    UnloadModel(ModelName),
    /// Load an adapter of a loaded model.
    LoadAdapter(ModelName, AdapterName),
    /// Unload an adapter that no request uses.
    UnloadAdapter(ModelName, AdapterName),
}

impl fmt::Display for EngineOrder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LoadModel(model) => write!(formatter, "load {model}"),
            Self::UnloadModel(model) => write!(formatter, "unload {model}"),
            Self::LoadAdapter(model, adapter) => write!(formatter, "load {model}/{adapter}"),
            Self::UnloadAdapter(model, adapter) => write!(formatter, "unload {model}/{adapter}"),
        }
    }
}
