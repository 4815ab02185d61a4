//! Answers about plans and how they came about.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use ward_plan::{PlanSheet, SheetDifference};
use ward_protocol::{OperatorName, PlanRevision, PlanRow, RecordId, WallTime};

use crate::warning::SheetWarning;

/// A plan and where it came from.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanAnswer {
    /// Its revision; zero is the empty plan.
    pub revision: PlanRevision,
    /// Who submitted it; absent for the empty plan.
    pub author: Option<OperatorName>,
    /// When, by the author's clock.
    #[serde(rename = "at")]
    pub submitted_at: WallTime,
    /// Its rows, in the order of the sheet.
    pub rows: Vec<Arc<PlanRow>>,
}

impl PlanAnswer {
    /// The plan as a sheet.
    #[must_use]
    pub fn sheet(&self) -> PlanSheet {
        PlanSheet::from_rows(self.rows.iter().cloned())
    }
}

/// What became of a submitted plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmitOutcome {
    /// It has no mistakes; nothing was submitted.
    Checked {
        /// The revision in force that it was compared with.
        base: PlanRevision,
    },
    /// It was accepted.
    Accepted {
        /// Its revision.
        revision: PlanRevision,
    },
    /// It may or may not be on the log; the history will tell.
    Unknown,
}

/// Answer to a submitted or checked plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// The record that carries it; absent when nothing was submitted.
    pub record: Option<RecordId>,
    /// What became of it.
    pub outcome: SubmitOutcome,
    /// What it changes against its base.
    pub difference: SheetDifference,
    /// What it asks for and the engines of today cannot give.
    pub warnings: Vec<SheetWarning>,
}

/// What a plan record asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryKind {
    /// A whole plan.
    Whole,
    /// Changes of single rows.
    Rows,
    /// The content of an earlier revision.
    Retreat {
        /// The earlier revision.
        to: PlanRevision,
    },
}

/// What the rules made of a plan record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryVerdict {
    /// It was accepted.
    Accepted,
    /// Its base was not the revision in force.
    Stale,
    /// Its content could not be used, such as an upload with missing parts.
    Invalid,
}

/// A plan record on the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Its offset, which is its revision if accepted.
    pub revision: PlanRevision,
    /// Its record id.
    pub record: RecordId,
    /// Who submitted it.
    pub author: OperatorName,
    /// When, by the author's clock.
    #[serde(rename = "at")]
    pub submitted_at: WallTime,
    /// The revision that the author saw.
    pub base: PlanRevision,
    /// What it asked for.
    pub kind: HistoryKind,
    /// What became of it.
    pub verdict: HistoryVerdict,
    /// Rows of the resulting plan; zero if not accepted.
    pub rows: u32,
}

/// Plan records, newest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// The entries.
    pub entries: Vec<HistoryEntry>,
    /// Whether the daemon has read the log to its end since the question came.
    pub complete: bool,
}
