//! How far the plan in force has come.

use std::fmt;

use serde::{Deserialize, Serialize};
use ward_protocol::{PlanRevision, RowTarget};

use super::fleet::DaemonItem;

/// How far a row has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowPhase {
    /// Everything that the row wants ready now is ready.
    Ready,
    /// What is missing is on its way.
    Loading,
    /// Something is missing and not on its way.
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

/// Why a row is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShortReason {
    /// No engine of the row's zones and roles is there.
    NoEngine,
    /// No engine has memory left that may be freed.
    NoMemory,
    /// The weight store's limit is used up.
    StoreBusy,
    /// The load failed.
    LoadFailed,
    /// The adapter's base model is not ready.
    BaseMissing,
    /// The log cannot be reached, so nothing new is reserved.
    LogDown,
    /// No backend server answers the service.
    NoBackend,
    /// The daemon that decides has not decided yet.
    Waiting,
}

impl fmt::Display for ShortReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoEngine => "no engine of its zones and roles is there",
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

/// How far one row has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowStatus {
    /// What the row is about.
    pub target: RowTarget,
    /// Most replicas allowed.
    pub replicas: u16,
    /// Replicas wanted ready at this time of day.
    pub wanted: u16,
    /// Replicas that answer requests.
    pub ready: u16,
    /// Replicas on their way.
    pub loading: u16,
    /// How far it has come.
    pub phase: RowPhase,
    /// Why it is short.
    pub reason: Option<ShortReason>,
}

/// How far the plan in force has come.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// Newest accepted revision.
    pub accepted: PlanRevision,
    /// Revision that the answering daemon has in force.
    pub adopted: PlanRevision,
    /// The daemons and what each has in force.
    pub daemons: Vec<DaemonItem>,
    /// The rows of the adopted plan.
    pub rows: Vec<RowStatus>,
}
