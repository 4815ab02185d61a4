//! Why a call is refused or fails.

use quick_error::quick_error;
use ward_plan::SheetError;
use ward_protocol::{ResultCode, TimeSpan};

use crate::answer::{MistakeItem, ProblemBody};

quick_error! {
    /// Why a call is refused or fails; nothing of it has taken effect.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum OperatorError {
        /// Refused; trying again changes nothing.
        Refused(code: ResultCode, detail: String) {
            display("{code}: {detail}")
        }
        /// Refused for now.
        RetryLater(code: ResultCode, detail: String, retry_after: TimeSpan) {
            display("{code}: {detail}; come back after {retry_after}")
        }
        /// The sheet has mistakes.
        Sheet(cause: SheetError) {
            from()
            display("{cause}")
            source(cause)
        }
    }
}

impl OperatorError {
    /// A refusal with a code and a detail.
    #[must_use]
    pub fn refused(code: ResultCode, detail: impl Into<String>) -> Self {
        Self::Refused(code, detail.into())
    }

    /// Its numbered code.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Refused(code, _) | Self::RetryLater(code, ..) => *code,
            Self::Sheet(_) => ResultCode::SheetInvalid,
        }
    }

    /// The error as the answer's body.
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

/// Seconds rounded up, so that nobody comes back too early.
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
