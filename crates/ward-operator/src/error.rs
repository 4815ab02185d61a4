//! Errors of the API.

use quick_error::quick_error;
use ward_plan::SheetError;
use ward_protocol::{ResultCode, TimeSpan};

use crate::answer::{MistakeItem, ProblemBody};

quick_error! {
    /// Why a call was refused or failed; the call had no effect.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum OperatorError {
        /// The call was refused; a retry would be refused too.
        Refused(code: ResultCode, detail: String) {
            display("{code}: {detail}")
        }
        /// The call was refused for now; a retry after this time may succeed.
        RetryLater(code: ResultCode, detail: String, retry_after: TimeSpan) {
            display("{code}: {detail}; retry after {retry_after}")
        }
        /// The submitted sheet has mistakes.
        Sheet(cause: SheetError) {
            from()
            display("{cause}")
            source(cause)
        }
    }
}

impl OperatorError {
    /// Creates a refusal for which a retry does not help.
    #[must_use]
    pub fn refused(code: ResultCode, detail: impl Into<String>) -> Self {
        Self::Refused(code, detail.into())
    }

    /// The result code, which determines the HTTP status.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Refused(code, _) | Self::RetryLater(code, ..) => *code,
            Self::Sheet(_) => ResultCode::SheetInvalid,
        }
    }

    /// The body of the problem response.
    #[must_use]
    pub fn problem(&self) -> ProblemBody {
        match self {
            Self::Refused(code, detail) => ProblemBody::new(*code, detail),
            Self::RetryLater(code, detail, retry_after) => ProblemBody {
                retry_after: Some(ceil_seconds(*retry_after)),
                ..ProblemBody::new(*code, detail)
            },
            Self::Sheet(cause) => sheet_problem(cause),
        }
    }
}

/// Rounds up to seconds, so that clients do not retry too early.
fn ceil_seconds(span: TimeSpan) -> u64 {
    span.millis().div_ceil(1_000)
}

fn sheet_problem(cause: &SheetError) -> ProblemBody {
    let detail = format!("mistakes: {}", cause.mistakes.len());
    ProblemBody {
        mistakes: cause.mistakes.iter().map(MistakeItem::from).collect(),
        ..ProblemBody::new(ResultCode::SheetInvalid, detail)
    }
}
