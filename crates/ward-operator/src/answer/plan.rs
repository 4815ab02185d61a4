//! JSON answers about plans and their history.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use ward_plan::{PlanSheet, SheetDifference};
use ward_protocol::{OperatorName, PlanRevision, PlanRow, RecordId, WallTime};

use crate::warning::SheetWarning;

/// Answer of `GET /plan`: a plan and who submitted it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanAnswer {
    /// Revision of the plan; zero is the empty plan.
    pub revision: PlanRevision,
    /// Name of the operator who submitted the plan; absent for the empty plan.
    pub author: Option<OperatorName>,
    /// Time of submission, by the clock of the daemon that appended it.
    #[serde(rename = "at")]
    pub submitted_at: WallTime,
    /// Rows in the order of the sheet.
    pub rows: Vec<Arc<PlanRow>>,
}

impl PlanAnswer {
    /// Converts the plan to a sheet.
    #[must_use]
    pub fn sheet(&self) -> PlanSheet {
        PlanSheet::from_rows(self.rows.iter().cloned())
    }
}

/// Outcome of a submitted or checked plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmitOutcome {
    /// The sheet has no mistakes; nothing was submitted.
    Checked {
        /// The revision in force, which the sheet was compared with.
        base: PlanRevision,
    },
    /// The plan was accepted.
    Accepted {
        /// Revision of the plan.
        revision: PlanRevision,
    },
    /// It is unknown whether the plan is on the log; look up its record in the history.
    Unknown,
}

/// Answer of the routes that submit or check a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// Id of the appended record; absent when nothing was submitted.
    pub record: Option<RecordId>,
    /// Outcome of the submission or check.
    pub outcome: SubmitOutcome,
    /// Changes from the base to this plan.
    pub difference: SheetDifference,
    /// Demands of the plan that the known engines cannot meet.
    pub warnings: Vec<SheetWarning>,
}

/// Kind of change in a plan record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryKind {
    /// All rows of a plan were submitted.
    Whole,
    /// Single rows were changed.
    Rows,
    /// The content of an earlier revision was restored.
    Retreat {
        /// The revision that was restored.
        to: PlanRevision,
    },
}

/// Whether a plan record was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryVerdict {
    /// Accepted as the newest revision.
    Accepted,
    /// Rejected because its base was not the newest accepted revision.
    Stale,
    /// Rejected because its content is not valid, such as an upload with missing parts.
    Invalid,
}

/// A submitted change of the plan, accepted or rejected, in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Offset of the record, which is also the revision of an accepted plan.
    pub revision: PlanRevision,
    /// Id of the record, chosen by the sender.
    pub record: RecordId,
    /// Name of the operator who submitted the plan.
    pub author: OperatorName,
    /// Time of submission, by the clock of the daemon that appended it.
    #[serde(rename = "at")]
    pub submitted_at: WallTime,
    /// The revision that the change was based on.
    pub base: PlanRevision,
    /// Kind of change.
    pub kind: HistoryKind,
    /// Whether the record was accepted.
    pub verdict: HistoryVerdict,
    /// Number of rows of the resulting plan; zero if not accepted.
    pub rows: u32,
}

/// Answer of `GET /plan/history`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// Plan records, newest first.
    pub entries: Vec<HistoryEntry>,
    /// Whether the daemon has read the log to its end since the request arrived.
    pub complete: bool,
}
