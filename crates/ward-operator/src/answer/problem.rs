//! Refusals and failures as `application/problem+json` (RFC 9457).

use serde::{Deserialize, Serialize};
use ward_plan::SheetMistake;
use ward_protocol::ResultCode;

/// A mistake of a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MistakeItem {
    /// Line of the file, from 1.
    pub line: u64,
    /// Column name; absent when the whole line is meant.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub column: Option<String>,
    /// The cell as written.
    pub cell: String,
    /// What is wrong.
    pub problem: String,
    /// What to write instead.
    pub help: String,
}

impl From<&SheetMistake> for MistakeItem {
    fn from(mistake: &SheetMistake) -> Self {
        Self {
            line: mistake.line,
            column: mistake.column.clone(),
            cell: mistake.cell.clone(),
            problem: mistake.problem.to_string(),
            help: mistake.problem.help(),
        }
    }
}

/// A refusal or failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// Reference to the code's line in the table of codes.
    #[serde(rename = "type")]
    pub kind: String,
    /// HTTP status.
    pub status: u16,
    /// Number of the code.
    pub code: u16,
    /// Name of the code.
    pub name: String,
    /// What happened.
    pub title: String,
    /// What happened this time.
    pub detail: String,
    /// What to do.
    pub help: String,
    /// When to come back, in seconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after: Option<u64>,
    /// Mistakes of the sheet, if that is the problem.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub mistakes: Vec<MistakeItem>,
}

impl ProblemBody {
    /// A problem with a code and a detail.
    #[must_use]
    pub fn new(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            kind: format!("urn:persimmonward:code:{}", code.number()),
            status: code.status(),
            code: code.number(),
            name: code.name().to_owned(),
            title: code.title().to_owned(),
            detail: detail.into(),
            help: code.help().to_owned(),
            retry_after: None,
            mistakes: Vec::new(),
        }
    }
}
