//! Query strings of the API, encoded by clients and parsed by daemons.

use serde::{Deserialize, Serialize};
use ward_protocol::{OperatorName, PlanRevision, RecordId};

/// Query of `POST /plan/submit`.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitQuery {
    /// The revision that the author has seen; refused as stale if a newer one is in force.
    pub base: PlanRevision,
    /// Name of the operator, as shown in the history.
    pub author: OperatorName,
    /// Id of the record, to find it in the history; chosen by the daemon when absent.
    pub record: Option<RecordId>,
    /// Only checks the plan and shows what would change.
    #[serde(default)]
    pub dry_run: bool,
}

/// Query of `POST /plan/retreat`.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RetreatQuery {
    /// The revision that the author has seen; refused as stale if a newer one is in force.
    pub base: PlanRevision,
    /// The revision to restore.
    pub to: PlanRevision,
    /// Name of the operator, as shown in the history.
    pub author: OperatorName,
    /// Id of the record, to find it in the history; chosen by the daemon when absent.
    pub record: Option<RecordId>,
    /// Only checks the plan and shows what would change.
    #[serde(default)]
    pub dry_run: bool,
}

/// Query of `GET /plan`.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanQuery {
    /// Revision of the plan; the newest accepted one when absent.
    pub revision: Option<PlanRevision>,
    /// Format of the answer.
    #[serde(default)]
    pub format: PlanFormat,
}

/// Format of a plan.
#[derive(Debug, Clone, Copy, Default, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanFormat {
    /// Rows as JSON.
    #[default]
    Json,
    /// The sheet as CSV.
    Csv,
}

/// Query of `GET /plan/diff`.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DiffQuery {
    /// The earlier revision.
    pub from: PlanRevision,
    /// The later revision; the newest accepted one when absent.
    pub to: Option<PlanRevision>,
}

/// Query of `GET /plan/history`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HistoryQuery {
    /// Maximum number of entries; all that are kept when absent.
    pub limit: Option<u32>,
    /// Selects only the entry of this record.
    pub record: Option<RecordId>,
}

/// Query of `GET /plan/status`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlanStatusQuery {
    /// Which rows the answer contains.
    pub rows: RowFilter,
}

/// Which rows a status answer contains; there may be tens of thousands, most of them ready.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowFilter {
    /// All rows.
    #[default]
    All,
    /// Rows that are not ready.
    Open,
}
