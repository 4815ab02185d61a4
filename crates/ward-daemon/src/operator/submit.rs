//! Appends a plan to the log and reads back whether it was accepted.

use std::time::Duration;

use slog::warn;
use tokio::time::{Instant, sleep};
use ward_operator::{OperatorError, SubmitRequest, SubmitResult, plan_records};
use ward_protocol::codec::encode;
use ward_protocol::{
    AppendResult, LogOffset, LogStream, PlanRevision, RecordId, ResultCode, TimeSpan, WallTime,
};

use super::calls::OperatorParts;

/// Timeout for reading back an appended plan record.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(5);
const READ_BACK_INTERVAL: Duration = Duration::from_millis(20);
const RETRY_AFTER: TimeSpan = TimeSpan::from_secs(5);

pub(super) async fn submit(
    parts: OperatorParts,
    request: SubmitRequest,
) -> Result<SubmitResult, OperatorError> {
    let record = request.record;
    let envelopes = plan_records(&request, WallTime::now()).map_err(|cause| {
        OperatorError::refused(
            ResultCode::SheetInvalid,
            format!("a row is too large: {cause}"),
        )
    })?;
    let encoded: Result<Vec<_>, _> = envelopes.iter().map(encode).collect();
    let mut encoded = encoded
        .map_err(|cause| OperatorError::refused(ResultCode::SheetInvalid, cause.to_string()))?;
    // Only the last record decides whether the plan is accepted; the parts before it only
    // carry rows.
    let Some(last) = encoded.pop() else {
        return Ok(SubmitResult::Unknown);
    };
    for part in encoded {
        let stored = parts.log.append(LogStream::Plan, vec![part]).await;
        stored.map_err(|_| log_unavailable())?;
    }
    match parts.log.append(LogStream::Plan, vec![last]).await {
        Ok(offset) => Ok(read_back(&parts, record, Some(offset)).await),
        Err(cause) if cause.result() == AppendResult::Refused => Err(log_unavailable()),
        Err(cause) => {
            warn!(parts.logger, "operators: append not acknowledged"; "cause" => %cause);
            Ok(read_back(&parts, record, None).await)
        }
    }
}

fn log_unavailable() -> OperatorError {
    let detail = "the plan was not stored; the previous plan stays in force";
    OperatorError::RetryLater(ResultCode::LogUnavailable, detail.to_owned(), RETRY_AFTER)
}

/// Effect of an appended plan record, as far as this daemon has read the plan stream.
enum RecordOutcome {
    /// The plan is accepted as this revision.
    Accepted(PlanRevision),
    /// The plan is not accepted; this revision is the newest accepted one.
    Stale(PlanRevision),
    /// The record has not been read yet.
    Pending,
}

async fn read_back(
    parts: &OperatorParts,
    record: RecordId,
    offset: Option<LogOffset>,
) -> SubmitResult {
    let deadline = Instant::now() + READ_BACK_TIMEOUT;
    while Instant::now() < deadline {
        match record_outcome(parts, record, offset).await {
            Some(RecordOutcome::Accepted(revision)) => return SubmitResult::Accepted { revision },
            Some(RecordOutcome::Stale(current)) => return SubmitResult::Stale { current },
            Some(RecordOutcome::Pending) => sleep(READ_BACK_INTERVAL).await,
            None => return SubmitResult::Unknown,
        }
    }
    SubmitResult::Unknown
}

async fn record_outcome(
    parts: &OperatorParts,
    record: RecordId,
    offset: Option<LogOffset>,
) -> Option<RecordOutcome> {
    let read = move |core: &mut ward_control::ControlCore| {
        let plans = core.state().plans();
        let accepted = plans.revisions().rev().find(|info| info.record == record);
        if let Some(info) = accepted {
            return RecordOutcome::Accepted(info.revision);
        }
        // Without an offset, a missing record proves nothing, since it may still arrive.
        match offset {
            Some(offset) if plans.applied() >= offset => RecordOutcome::Stale(plans.head()),
            Some(_) | None => RecordOutcome::Pending,
        }
    };
    parts.query(read).await.ok()
}
