//! Queries of the API, written by clients and read by daemons.

use serde::{Deserialize, Serialize};
use ward_protocol::{OperatorName, PlanRevision, RecordId};

/// Query of a submitted sheet.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitQuery {
    /// The revision that the author saw.
    pub base: PlanRevision,
    /// Who submits it.
    pub author: OperatorName,
    /// Names the record; chosen by the daemon when absent.
    pub record: Option<RecordId>,
    /// Whether nothing is to be submitted.
    #[serde(default)]
    pub dry_run: bool,
}

/// Query of a retreat.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RetreatQuery {
    /// The revision that the author saw.
    pub base: PlanRevision,
    /// The revision to go back to.
    pub to: PlanRevision,
    /// Who submits it.
    pub author: OperatorName,
    /// Names the record; chosen by the daemon when absent.
    pub record: Option<RecordId>,
    /// Whether nothing is to be submitted.
    #[serde(default)]
    pub dry_run: bool,
}

/// Query of a plan.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanQuery {
    /// Which plan; the newest accepted one when absent.
    pub revision: Option<PlanRevision>,
    /// Its form.
    #[serde(default)]
    pub format: PlanFormat,
}

/// Form of a plan.
#[derive(Debug, Clone, Copy, Default, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanFormat {
    /// Rows as JSON.
    #[default]
    Json,
    /// A sheet.
    Csv,
}

/// Query of a difference.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DiffQuery {
    /// The earlier revision.
    pub from: PlanRevision,
    /// The later revision; the newest accepted one when absent.
    pub to: Option<PlanRevision>,
}

/// Which part of the history is wanted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HistoryQuery {
    /// Most entries wanted.
    pub limit: Option<u32>,
    /// Only the entry of this record.
    pub record: Option<RecordId>,
}

/// Query of how far the plan has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StatusQuery {
    /// Which rows are wanted.
    pub rows: RowFilter,
}

/// Which rows are wanted; most are ready, and there may be tens of thousands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowFilter {
    /// All rows.
    #[default]
    All,
    /// Rows that are not ready.
    Open,
}
