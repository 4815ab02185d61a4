//! Orders that the coordinator gives to engines.

use std::fmt;

use ward_protocol::{AdapterName, ModelName};

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load a model.
    LoadModel(ModelName),
    /// Drop a model with its adapters.
    UnloadModel(ModelName),
    /// Load an adapter of a model that is there.
    LoadAdapter(ModelName, AdapterName),
    /// Drop an adapter that no request uses.
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
