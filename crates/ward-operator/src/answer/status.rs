//! JSON answers about the progress of the plan in force.

use std::fmt;

use serde::{Deserialize, Serialize};
use ward_protocol::{PlanRevision, RowTarget};

use super::fleet::DaemonItem;

/// Whether a row has the replicas that it should have now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowPhase {
    /// All replicas that should be ready now are ready.
    Ready,
    /// All missing replicas are being loaded.
    Loading,
    /// At least one missing replica is not being loaded.
    Short,
}

impl fmt::Display for RowPhase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Ready => "ready",
            Self::Loading => "loading",
            Self::Short => "short",
        })
    }
}

/// Why missing replicas of a row are not being loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShortReason {
    /// No engine is in one of the row's zones and has one of its roles.
    NoEngine,
    /// No engine has enough memory that is free or may be freed.
    NoMemory,
    /// The weight store already serves as many loads as its limit allows.
    StoreBusy,
    /// The last load failed.
    LoadFailed,
    /// The adapter's base model is not ready.
    BaseMissing,
    /// The log cannot be reached, so nothing new can be reserved.
    LogDown,
    /// No backend server is available for the service.
    NoBackend,
    /// No daemon has decided yet where to load the replica.
    Waiting,
}

impl fmt::Display for ShortReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoEngine => "no engine in its zones has one of its roles",
            Self::NoMemory => "no engine has memory that may be freed",
            Self::StoreBusy => "the weight store is busy",
            Self::LoadFailed => "the load failed",
            Self::BaseMissing => "its base model is not ready",
            Self::LogDown => "the log cannot be reached",
            Self::NoBackend => "no backend server answers it",
            Self::Waiting => "waits for a decision",
        })
    }
}

/// Progress of one row of the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowStatus {
    /// Model, adapter or service of the row.
    pub target: RowTarget,
    /// Maximum number of replicas that the row allows.
    pub replicas: u16,
    /// Number of replicas that should be ready at this time of day.
    pub wanted: u16,
    /// Number of replicas that answer requests.
    pub ready: u16,
    /// Number of replicas that are being loaded.
    pub loading: u16,
    /// Whether the row has all replicas that it should have now.
    pub phase: RowPhase,
    /// Why missing replicas are not being loaded; absent unless the phase is `Short`.
    pub reason: Option<ShortReason>,
}

/// Answer of `GET /plan/status`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStatusAnswer {
    /// Newest accepted revision that the answering daemon has read.
    pub accepted: PlanRevision,
    /// Revision that the answering daemon has in force.
    pub adopted: PlanRevision,
    /// All known daemons with the revision that each has in force.
    pub daemons: Vec<DaemonItem>,
    /// Rows of the adopted plan that the query selects.
    pub rows: Vec<RowStatus>,
}
