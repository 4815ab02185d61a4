//! Refusals: answers that the daemon gives instead of an engine's.

use ward_protocol::TimeSpan;

use super::answer::OwnAnswer;
use crate::crash::RequestBlock;

/// Retry-After of a refusal for which no better estimate is known.
const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// An answer that the daemon itself generates, with the reason that is logged.
pub(super) struct Refusal {
    pub(super) answer: OwnAnswer,
    pub(super) reason: &'static str,
}

pub(super) fn refuse(answer: OwnAnswer, reason: &'static str) -> Refusal {
    Refusal { answer, reason }
}

/// Refuses a request that did not run, with the default Retry-After.
pub(super) fn not_run(reason: &'static str) -> Refusal {
    refuse(OwnAnswer::NotRun(DEFAULT_RETRY_AFTER), reason)
}

/// Refuses a request that is blocked because it, or a part of its prompt, has crashed
/// engines.
pub(super) fn blocked_refusal(block: RequestBlock) -> Refusal {
    match block {
        RequestBlock::Request(remaining) => refuse(
            OwnAnswer::NotRun(remaining),
            "the request has crashed engines",
        ),
        RequestBlock::Part(remaining) => refuse(
            OwnAnswer::NotRun(remaining),
            "a part of its prompt has crashed engines",
        ),
    }
}
