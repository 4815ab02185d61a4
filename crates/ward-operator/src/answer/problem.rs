//! Error responses as `application/problem+json` (RFC 9457).

use serde::{Deserialize, Serialize};
use ward_plan::SheetMistake;
use ward_protocol::ResultCode;

/// A mistake in a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MistakeItem {
    /// Line in the file, counted from 1.
    pub line: u64,
    /// Name of the column; absent when the mistake concerns the whole line.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub column: Option<String>,
    /// Content of the cell in the file.
    pub cell: String,
    /// Description of the mistake.
    pub problem: String,
    /// How to correct the mistake.
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

/// Body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// URN of the result code.
    #[serde(rename = "type")]
    pub kind: String,
    /// HTTP status of the response.
    pub status: u16,
    /// Number of the result code.
    pub code: u16,
    /// Name of the result code.
    pub name: String,
    /// Summary of the problem, the same for every occurrence of the code.
    pub title: String,
    /// Description of this occurrence.
    pub detail: String,
    /// What the operator can do about the problem.
    pub help: String,
    /// Time in seconds after which a retry may succeed; absent if a retry does not help.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after: Option<u64>,
    /// Mistakes in the sheet; empty unless the sheet is not valid.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub mistakes: Vec<MistakeItem>,
}

impl ProblemBody {
    /// Creates a body without retry time and without mistakes.
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
