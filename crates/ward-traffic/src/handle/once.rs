//! Handles calls that may not be repeated.
//!
//! The key is recorded in the log before the call waits for a replica. A repeated
//! key must get the kept answer even when no replica is ready, and a refusal for
//! lack of a replica would mean "the call under this key did not run". The
//! drawback: if the daemon crashes while the first call still waits, its key is in
//! doubt.

use std::sync::Arc;
use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use slog::warn;
use tokio::time::{timeout, timeout_at};
use viz::Body;
use ward_backend::request::{BackendAnswer, CallError};
use ward_protocol::{BackendId, IdempotencyKey, RequestFingerprint, RequestId, ResultCode};

use super::model::{expired_report, is_cold, record_slot_wait};
use super::service::{ServiceCall, attempt_service, check_not_run_count};
use crate::core::TrafficCore;
use crate::forward::{
    CompleteAnswer, MAX_OVERRUN, ModelCall, SendOutcome, attempt_model, complete_response,
    has_end_marker, is_event_stream, read_complete, record_attempt_failure,
};
use crate::input::RequestTerms;
use crate::once::{BeginAnswer, DoneAnswer, KeptAnswer};
use crate::problem::ProblemReport;
use crate::waiting::{SlotGrant, WaitRequest};

/// How long an answer is held back for its record to be stored, before it is sent
/// to the caller anyway.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after the deadline in which a refusal can still be recorded. After that the
/// caller only gets the answer that the call still runs.
const REFUSAL_GRACE: Duration = Duration::from_millis(50);

/// A call that may not be repeated.
#[derive(Debug)]
pub(super) enum OnceTask {
    /// Request to a model.
    Model(ModelCall),
    /// Call to a plain service.
    Service(ServiceCall),
}

impl OnceTask {
    fn request(&self) -> RequestId {
        match self {
            Self::Model(call) => call.request,
            Self::Service(call) => call.request,
        }
    }

    fn terms(&self) -> RequestTerms {
        match self {
            Self::Model(call) => call.terms,
            Self::Service(call) => call.terms,
        }
    }

    fn fingerprint(&self) -> RequestFingerprint {
        match self {
            Self::Model(call) => call.fingerprint(),
            Self::Service(call) => call.fingerprint(),
        }
    }

    fn wait_request(&self) -> WaitRequest {
        match self {
            Self::Model(call) => call.wait_request(),
            Self::Service(call) => call.wait_request(),
        }
    }

    async fn attempt(&self, core: &TrafficCore, grant: &SlotGrant) -> SendOutcome {
        match self {
            Self::Model(call) => attempt_model(core, call, grant, call.terms.deadline).await,
            Self::Service(call) => attempt_service(core, call, grant).await,
        }
    }

    /// Refuses a service call after too many attempts that did not run; requests to a
    /// model have no such limit, because the model may still be loaded elsewhere.
    fn check_not_run_count(
        &self,
        core: &TrafficCore,
        not_run_count: usize,
    ) -> Result<(), ProblemReport> {
        match self {
            Self::Model(_) => Ok(()),
            Self::Service(call) => check_not_run_count(core, call, not_run_count),
        }
    }

    async fn read_answer(&self, answer: BackendAnswer) -> Result<CompleteAnswer, CallError> {
        let deadline = self.terms().deadline + MAX_OVERRUN;
        let checked = match self {
            Self::Model(call) if !is_event_stream(&answer.headers) => Some(call.request),
            Self::Model(_) | Self::Service(_) => None,
        };
        let is_stream = is_event_stream(&answer.headers);
        let complete = read_complete(answer, checked, deadline).await?;
        if is_stream && !has_end_marker(&complete.body) {
            return Err(CallError::Unreadable);
        }
        Ok(complete)
    }
}

/// Runs a call at most once under its key. It runs to its end even if the caller
/// disconnects.
///
/// # Errors
///
/// The call is refused, still running or in doubt, or it ran before and its answer was
/// not kept.
pub(super) async fn serve_once(
    core: &Arc<TrafficCore>,
    key: Option<IdempotencyKey>,
    task: OnceTask,
) -> Result<Response<Body>, ProblemReport> {
    let Some(key) = key else {
        let detail = "this call may not be repeated and has no Idempotency-Key";
        return Err(ProblemReport::refused(ResultCode::KeyRequired, detail));
    };
    let deadline = task.terms().deadline;
    let core = Arc::clone(core);
    let active = core.active.enter();
    let run = tokio::spawn(async move {
        let result = run_once(&core, &key, &task).await;
        drop(active);
        result
    });
    match timeout_at(deadline + REFUSAL_GRACE, run).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(ProblemReport::in_doubt("the call ended without a result")),
        Err(_) => Err(still_running("the call still runs after its time limit")),
    }
}

async fn run_once(
    core: &Arc<TrafficCore>,
    key: &IdempotencyKey,
    task: &OnceTask,
) -> Result<Response<Body>, ProblemReport> {
    let deadline = task.terms().deadline;
    let begin = (core.once.begin)(key.clone(), task.fingerprint(), deadline).await;
    match begin {
        BeginAnswer::Send => send_once(core, key, task).await,
        BeginAnswer::Kept(answer) => kept_response(answer),
        other => Err(begin_problem(&other)),
    }
}

async fn send_once(
    core: &Arc<TrafficCore>,
    key: &IdempotencyKey,
    task: &OnceTask,
) -> Result<Response<Body>, ProblemReport> {
    let cold = is_cold(&core.view(), &task.wait_request().target);
    let mut not_run_count = 0;
    loop {
        let grant = match core.wait_list.acquire(task.wait_request()).await {
            Ok(grant) => grant,
            Err(report) => return Err(record_abort(core, key, report).await),
        };
        record_slot_wait(core, &task.terms(), &grant, cold);
        match task.attempt(core, &grant).await {
            SendOutcome::Answered(answer) => {
                return match task.read_answer(*answer).await {
                    Ok(complete) => Ok(record_answer(core, key, complete).await),
                    Err(error) => Err(record_doubt(core, key, task, &grant.backend, &error).await),
                };
            }
            SendOutcome::NotRun => {
                not_run_count += 1;
                if let Err(report) = task.check_not_run_count(core, not_run_count) {
                    return Err(record_abort(core, key, report).await);
                }
            }
            SendOutcome::Expired => return Err(record_abort(core, key, expired_report()).await),
            SendOutcome::Suspect(report) => return Err(record_abort(core, key, *report).await),
            SendOutcome::Broken(error) => {
                return Err(record_doubt(core, key, task, &grant.backend, &error).await);
            }
        }
    }
}

async fn record_answer(
    core: &TrafficCore,
    key: &IdempotencyKey,
    complete: CompleteAnswer,
) -> Response<Body> {
    let limit = core.limits.kept_answer_bytes as usize;
    let done = DoneAnswer {
        status: complete.status.as_u16(),
        content_type: content_type(&complete),
        body: (complete.body.len() <= limit).then(|| complete.body.to_vec()),
    };
    wait_for_record(core, (core.once.done)(key.clone(), done)).await;
    complete_response(complete)
}

async fn record_abort(
    core: &TrafficCore,
    key: &IdempotencyKey,
    report: ProblemReport,
) -> ProblemReport {
    wait_for_record(core, (core.once.abort)(key.clone())).await;
    report
}

/// Records that the call may have run and has no complete answer.
async fn record_doubt(
    core: &Arc<TrafficCore>,
    key: &IdempotencyKey,
    task: &OnceTask,
    backend: &BackendId,
    error: &CallError,
) -> ProblemReport {
    if let OnceTask::Model(call) = task {
        record_attempt_failure(core, call, backend, error);
    }
    warn!(core.logger, "traffic: call in doubt"; "request" => %task.request(), "cause" => %error);
    wait_for_record(core, (core.once.doubt)(key.clone())).await;
    ProblemReport::in_doubt(format!(
        "the call was sent and has no complete answer: {error}"
    ))
}

/// Stores a record and waits for that, up to [`RECORD_TIMEOUT`].
async fn wait_for_record(core: &TrafficCore, record: impl Future<Output = ()> + Send + 'static) {
    let active = core.active.enter();
    let task = tokio::spawn(async move {
        record.await;
        drop(active);
    });
    // After the timeout the task continues to store the record.
    let _ = timeout(RECORD_TIMEOUT, task).await;
}

fn kept_response(kept: KeptAnswer) -> Result<Response<Body>, ProblemReport> {
    let status = StatusCode::from_u16(kept.status);
    let Ok(status) = status else {
        return Err(answer_not_kept());
    };
    let mut response = Response::new(Body::Full(kept.body.into()));
    *response.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(&kept.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    Ok(response)
}

fn begin_problem(answer: &BeginAnswer) -> ProblemReport {
    match answer {
        BeginAnswer::KeptWithoutBody => answer_not_kept(),
        BeginAnswer::Running => still_running("an earlier call under this key still runs"),
        BeginAnswer::KeyReused => ProblemReport::refused(
            ResultCode::KeyReused,
            "the key was used for another request",
        ),
        BeginAnswer::KeyExpired => {
            ProblemReport::refused(ResultCode::KeyExpired, "the key is too old")
        }
        BeginAnswer::LogDown => ProblemReport::refused(
            ResultCode::LogUnavailable,
            "the call cannot be recorded now and was not begun",
        ),
        BeginAnswer::NotRun => expired_report(),
        BeginAnswer::InDoubt | BeginAnswer::Send | BeginAnswer::Kept(_) => {
            ProblemReport::in_doubt("an earlier call under this key may have run")
        }
    }
}

fn answer_not_kept() -> ProblemReport {
    let detail = "the call ran under this key and its answer was not kept";
    ProblemReport::failed(ResultCode::AnswerNotKept, detail)
}

fn still_running(detail: &str) -> ProblemReport {
    ProblemReport {
        outcome: ward_protocol::RequestOutcome::InDoubt,
        ..ProblemReport::refused(ResultCode::StillRunning, detail)
    }
    .with_retry_after(ward_protocol::TimeSpan::from_secs(1))
}

fn content_type(complete: &CompleteAnswer) -> String {
    let value = complete.headers.get(CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or("application/octet-stream").to_owned()
}
