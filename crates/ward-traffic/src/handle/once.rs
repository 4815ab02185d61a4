//! Calls that may not be repeated.
//!
//! The log is asked before a replica is waited for: a repeated key must get the
//! kept answer even when nothing is ready, and a refusal for lack of a replica
//! would be read as "the call under this key did not run". The price is a key
//! in doubt when the daemon dies while the first call still waits.

use std::sync::Arc;
use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use slog::warn;
use tokio::time::{timeout, timeout_at};
use viz::Body;
use ward_backend::request::{BackendAnswer, CallError};
use ward_protocol::{BackendId, IdempotencyKey, RequestFingerprint, RequestId, ResultCode};

use super::model::{expired, is_cold, note_start};
use super::service::{ServiceCall, attempt_service, check_unsent};
use crate::core::TrafficCore;
use crate::forward::{
    AttemptEnd, LONGEST_RUN, ModelCall, WholeAnswer, attempt_model, ends_whole, is_event_stream,
    note_broken, read_whole, whole_response,
};
use crate::input::RequestTerms;
use crate::once::{BeginAnswer, DoneAnswer, KeptAnswer};
use crate::problem::ProblemReport;
use crate::waiting::{SlotGrant, WaitRequest};

/// How long an answer waits for its record before it goes to the caller.
const RECORD_WAIT: Duration = Duration::from_millis(500);

/// Time for a refusal at the time limit to be recorded before the caller is told
/// only that the call still runs.
const REFUSAL_GRACE: Duration = Duration::from_millis(50);

/// A call that may not be repeated.
#[derive(Debug)]
pub(super) enum OnceTask {
    /// To a model.
    Model(ModelCall),
    /// To a plain service.
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

    async fn attempt(&self, core: &TrafficCore, grant: &SlotGrant) -> AttemptEnd {
        match self {
            Self::Model(call) => attempt_model(core, call, grant, call.terms.deadline).await,
            Self::Service(call) => attempt_service(core, call, grant).await,
        }
    }

    /// A model may still be loaded elsewhere; a service has only its backend servers.
    fn check_unsent(&self, core: &TrafficCore, unsent: usize) -> Result<(), ProblemReport> {
        match self {
            Self::Model(_) => Ok(()),
            Self::Service(call) => check_unsent(core, call, unsent),
        }
    }

    async fn whole(&self, answer: BackendAnswer) -> Result<WholeAnswer, CallError> {
        let by = self.terms().deadline + LONGEST_RUN;
        let checked = match self {
            Self::Model(call) if !is_event_stream(&answer.headers) => Some(call.request),
            Self::Model(_) | Self::Service(_) => None,
        };
        let events = is_event_stream(&answer.headers);
        let whole = read_whole(answer, checked, by).await?;
        if events && !ends_whole(&whole.body) {
            return Err(CallError::Unreadable);
        }
        Ok(whole)
    }
}

/// Runs a call at most once under its key, also when the caller leaves.
///
/// # Errors
///
/// The call is refused, in doubt, or was made before.
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
    let work = core.work.enter();
    let run = tokio::spawn(async move {
        let result = run_once(&core, &key, &task).await;
        drop(work);
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
        other => Err(begin_report(&other)),
    }
}

async fn send_once(
    core: &Arc<TrafficCore>,
    key: &IdempotencyKey,
    task: &OnceTask,
) -> Result<Response<Body>, ProblemReport> {
    let cold = is_cold(&core.view(), &task.wait_request().target);
    let mut unsent = 0;
    loop {
        let grant = match core.waiting.acquire(task.wait_request()).await {
            Ok(grant) => grant,
            Err(report) => return Err(abort(core, key, report).await),
        };
        note_start(core, &task.terms(), &grant, cold);
        match task.attempt(core, &grant).await {
            AttemptEnd::Answered(answer) => {
                return match task.whole(*answer).await {
                    Ok(whole) => Ok(record(core, key, whole).await),
                    Err(error) => Err(doubt(core, key, task, &grant.backend, &error).await),
                };
            }
            AttemptEnd::NotRun => {
                unsent += 1;
                if let Err(report) = task.check_unsent(core, unsent) {
                    return Err(abort(core, key, report).await);
                }
            }
            AttemptEnd::Expired => return Err(abort(core, key, expired()).await),
            AttemptEnd::Suspect(report) => return Err(abort(core, key, *report).await),
            AttemptEnd::Broken(error) => {
                return Err(doubt(core, key, task, &grant.backend, &error).await);
            }
        }
    }
}

async fn record(core: &TrafficCore, key: &IdempotencyKey, whole: WholeAnswer) -> Response<Body> {
    let limit = core.limits.kept_answer_bytes as usize;
    let done = DoneAnswer {
        status: whole.status.as_u16(),
        content_type: content_type(&whole),
        body: (whole.body.len() <= limit).then(|| whole.body.to_vec()),
    };
    settle(core, (core.once.done)(key.clone(), done)).await;
    whole_response(whole)
}

async fn abort(core: &TrafficCore, key: &IdempotencyKey, report: ProblemReport) -> ProblemReport {
    settle(core, (core.once.abort)(key.clone())).await;
    report
}

async fn doubt(
    core: &Arc<TrafficCore>,
    key: &IdempotencyKey,
    task: &OnceTask,
    backend: &BackendId,
    error: &CallError,
) -> ProblemReport {
    if let OnceTask::Model(call) = task {
        note_broken(core, call, backend, error);
    }
    warn!(core.logger, "traffic: call in doubt"; "request" => %task.request(), "cause" => %error);
    settle(core, (core.once.doubt)(key.clone())).await;
    ProblemReport::in_doubt(format!(
        "the call was sent and has no whole answer: {error}"
    ))
}

/// Lets a record be written, but keeps the caller waiting only for a short time.
async fn settle(core: &TrafficCore, record: impl Future<Output = ()> + Send + 'static) {
    let work = core.work.enter();
    let task = tokio::spawn(async move {
        record.await;
        drop(work);
    });
    // The record goes on by itself when the time is over.
    let _ = timeout(RECORD_WAIT, task).await;
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

fn begin_report(answer: &BeginAnswer) -> ProblemReport {
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
        BeginAnswer::NotRun => expired(),
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

fn content_type(whole: &WholeAnswer) -> String {
    let value = whole.headers.get(CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or("application/octet-stream").to_owned()
}
