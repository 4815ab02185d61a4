//! Plan rows, and the references to models, adapters and services in them.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::backend::EngineRole;
use crate::id::{AdapterName, IdError, ModelName, ServiceName, VersionTag, ZoneName};
use crate::time::DayTime;
use crate::unit::{MemorySize, PriorityLevel};

quick_error! {
    /// A reference to a model, adapter or service that cannot be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ReferenceError {
        /// One part of the reference is not a valid id.
        Part(cause: IdError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// The reference names no version where one is needed.
        NoVersion {
            display("the version is missing; write name@version or name:adapter@version")
        }
    }
}

/// The `model` of a caller's request: `name`, `name@version` or `name:adapter[@version]`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr)]
pub struct ModelReference {
    /// The base model.
    pub model: ModelName,
    /// The adapter on top of the base model, if any.
    pub adapter: Option<AdapterName>,
    /// The version; when absent, the request gets the first version that the plan
    /// allows.
    pub version: Option<VersionTag>,
}

impl FromStr for ModelReference {
    type Err = ReferenceError;

    fn from_str(text: &str) -> Result<Self, ReferenceError> {
        let (name, version) = match text.split_once('@') {
            Some((name, version)) => (name, Some(version.parse()?)),
            None => (text, None),
        };
        let (model, adapter) = match name.split_once(':') {
            Some((model, adapter)) => (model, Some(adapter.parse()?)),
            None => (name, None),
        };
        Ok(Self {
            model: model.parse()?,
            adapter,
            version,
        })
    }
}

impl fmt::Display for ModelReference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.model.fmt(formatter)?;
        if let Some(adapter) = &self.adapter {
            write!(formatter, ":{adapter}")?;
        }
        if let Some(version) = &self.version {
            write!(formatter, "@{version}")?;
        }
        Ok(())
    }
}

/// What a replica is a copy of: a version of a model, or an adapter on top of one.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct ReplicaKey {
    /// The base model.
    pub model: ModelName,
    /// The version; an adapter has the same one as its base model.
    pub version: VersionTag,
    /// The adapter; `None` for a base model.
    pub adapter: Option<AdapterName>,
}

impl ReplicaKey {
    /// For an adapter, the key of the base model that it needs; for a base model, the
    /// same key.
    #[must_use]
    pub fn base(&self) -> Self {
        Self {
            model: self.model.clone(),
            version: self.version.clone(),
            adapter: None,
        }
    }

    /// Whether this is the key of an adapter.
    #[must_use]
    pub const fn is_adapter(&self) -> bool {
        self.adapter.is_some()
    }
}

impl FromStr for ReplicaKey {
    type Err = ReferenceError;

    fn from_str(text: &str) -> Result<Self, ReferenceError> {
        let reference: ModelReference = text.parse()?;
        Ok(Self {
            model: reference.model,
            version: reference.version.ok_or(ReferenceError::NoVersion)?,
            adapter: reference.adapter,
        })
    }
}

impl fmt::Display for ReplicaKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.model.fmt(formatter)?;
        if let Some(adapter) = &self.adapter {
            write!(formatter, ":{adapter}")?;
        }
        write!(formatter, "@{}", self.version)
    }
}

const SERVICE_PREFIX: &str = "services/";

/// The subject of a plan row; unique within a plan.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub enum RowTarget {
    /// A model version or an adapter.
    Replica(ReplicaKey),
    /// A plain service.
    Service(ServiceName),
}

impl FromStr for RowTarget {
    type Err = ReferenceError;

    fn from_str(text: &str) -> Result<Self, ReferenceError> {
        match text.strip_prefix(SERVICE_PREFIX) {
            Some(name) => Ok(Self::Service(name.parse()?)),
            None => Ok(Self::Replica(text.parse()?)),
        }
    }
}

impl fmt::Display for RowTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Replica(key) => key.fmt(formatter),
            Self::Service(name) => write!(formatter, "{SERVICE_PREFIX}{name}"),
        }
    }
}

/// One checked row of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRow {
    /// The model version, adapter or service that may run.
    pub target: RowTarget,
    /// Availability zones in which the target may run; empty means all.
    pub zones: Vec<ZoneName>,
    /// Roles of the engines that may hold the target; empty means all.
    pub roles: Vec<EngineRole>,
    /// Maximum number of replicas loaded at a time.
    pub replicas: u16,
    /// Number of replicas to keep ready, at most `replicas`.
    pub ready: u16,
    /// Time of day from which `ready` holds; the whole day when absent.
    pub ready_from: Option<DayTime>,
    /// Priority of loads of this target, and of its requests that name no priority.
    pub priority: PriorityLevel,
    /// Memory that one replica takes on an engine; zero for a service.
    pub memory: MemorySize,
    /// Whether calls to this target may be retried.
    pub repeatable: bool,
}
