//! Handles requests to models.

use std::sync::Arc;

use http::header::ACCEPT;
use http::{Response, Uri};
use viz::{Body, Request};
use ward_backend::request::{BackendAnswer, CallError, ConnectionUse};
use ward_protocol::{RequestId, ResultCode, RoutingView, RowTarget};

use super::once::{OnceTask, serve_once};
use crate::core::TrafficCore;
use crate::forward::{
    CancelGuard, ModelCall, SendOutcome, StreamRelay, attempt_model, check_crashes,
    complete_response, is_crash, is_stream, read_complete, record_attempt_failure, relay_response,
};
use crate::input::{ModelBody, RequestTerms, read_body, read_key, read_terms};
use crate::metrics::SlotWaitSample;
use crate::problem::ProblemReport;
use crate::target::resolve_model;
use crate::waiting::SlotGrant;

/// API path of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ModelPath {
    /// Chat completion, with a list of messages.
    Chat,
    /// Text completion, with a plain prompt.
    Prompt,
}

impl ModelPath {
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Prompt => "/v1/completions",
        }
    }
}

/// Handles a request to a model.
///
/// # Errors
///
/// The request is refused or failed.
pub(crate) async fn serve_model(
    core: &Arc<TrafficCore>,
    path: ModelPath,
    id: RequestId,
    request: Request,
) -> Result<Response<Body>, ProblemReport> {
    let terms = read_terms(request.headers(), &core.limits)?;
    let key = read_key(request.headers())?;
    let accept = request.headers().get(ACCEPT).cloned();
    let bytes = read_body(request.into_body(), &terms, &core.limits, &core.body_memory).await?;
    let body = ModelBody::try_from(bytes)?;
    let view = core.view();
    let target = RowTarget::Replica(resolve_model(&view, &body.reference)?);
    let repeatable = view.row(&target).is_none_or(|row| row.repeatable);
    let mut call = ModelCall {
        request: id,
        path: Uri::from_static(path.path()),
        accept,
        priority: terms.priority.unwrap_or_else(|| view.priority(&target)),
        body,
        terms,
        target,
        crashes: 0,
        failed_backend: None,
        connection: ConnectionUse::Pooled,
    };
    call.crashes = check_crashes(core, &call)?;
    if repeatable {
        return run_with_retries(core, call).await;
    }
    call.connection = ConnectionUse::Fresh;
    serve_once(core, key, OnceTask::Model(call)).await
}

/// Result of one attempt, including reading the answer.
enum AttemptOutcome {
    /// The complete answer, or a stream that has begun.
    Answer(Response<Body>),
    /// The request did not run and may be queued again.
    NotRun,
    /// The request did not run and its deadline has passed.
    Expired,
    /// The request did not run and is refused, because it crashes backend servers.
    Suspect(Box<ProblemReport>),
    /// The request may have run, and there is no complete answer.
    Broken(CallError),
}

/// Runs a call that may run more than once: if an attempt that may have run gives no
/// answer, the call is sent once more, within the retry budget and its deadline.
async fn run_with_retries(
    core: &Arc<TrafficCore>,
    mut call: ModelCall,
) -> Result<Response<Body>, ProblemReport> {
    core.retry_budget.record_request();
    let cold = is_cold(&core.view(), &call.target);
    // Once an attempt may have run, no later refusal may say that the request did
    // not run.
    let mut failure: Option<ProblemReport> = None;
    loop {
        let grant = match core.wait_list.acquire(call.wait_request()).await {
            Ok(grant) => grant,
            Err(report) => return Err(failure.unwrap_or(report)),
        };
        if failure.is_none() {
            record_slot_wait(core, &call.terms, &grant, cold);
        }
        let backend = grant.backend.clone();
        let error = match try_replica(core, &call, grant).await {
            AttemptOutcome::Answer(response) => return Ok(response),
            AttemptOutcome::NotRun => continue,
            AttemptOutcome::Expired => return Err(failure.unwrap_or_else(expired_report)),
            AttemptOutcome::Suspect(report) => return Err(failure.unwrap_or(*report)),
            AttemptOutcome::Broken(error) => error,
        };
        let report = record_attempt_failure(core, &call, &backend, &error);
        if failure.is_some() || call.terms.time_left().is_zero() {
            return Err(report);
        }
        if !core.retry_budget.take_retry() {
            core.metrics.retries_denied.inc();
            return Err(report);
        }
        core.metrics.retries.inc();
        failure = Some(report);
        call.crashes += u32::from(is_crash(core, &backend, &error));
        call.failed_backend = Some(backend);
    }
}

async fn try_replica(
    core: &Arc<TrafficCore>,
    call: &ModelCall,
    grant: SlotGrant,
) -> AttemptOutcome {
    let mut guard = CancelGuard::new(core, grant.address, call.request);
    let answer = match attempt_model(core, call, &grant, call.terms.deadline).await {
        SendOutcome::Answered(answer) => *answer,
        SendOutcome::NotRun => {
            guard.disarm();
            return AttemptOutcome::NotRun;
        }
        SendOutcome::Expired => {
            guard.disarm();
            return AttemptOutcome::Expired;
        }
        SendOutcome::Suspect(report) => {
            guard.disarm();
            return AttemptOutcome::Suspect(report);
        }
        SendOutcome::Broken(error) => {
            guard.cancel(call.terms.time_left()).await;
            return AttemptOutcome::Broken(error);
        }
    };
    if is_stream(&answer) {
        let core = Arc::clone(core);
        let relay = StreamRelay::new(core, call.clone(), grant, guard, answer.body);
        return AttemptOutcome::Answer(relay_response(relay));
    }
    match collect_answer(call, answer).await {
        Ok(response) => {
            guard.disarm();
            AttemptOutcome::Answer(response)
        }
        Err(error) => {
            guard.cancel(call.terms.time_left()).await;
            AttemptOutcome::Broken(error)
        }
    }
}

/// Reads an answer to its end and forwards it in one piece.
async fn collect_answer(
    call: &ModelCall,
    answer: BackendAnswer,
) -> Result<Response<Body>, CallError> {
    let answer = read_complete(answer, Some(call.request), call.terms.deadline).await?;
    Ok(complete_response(answer))
}

pub(super) fn expired_report() -> ProblemReport {
    let detail = "the time limit passed before the request was sent";
    ProblemReport::refused(ResultCode::DeadlineExpired, detail)
}

pub(super) fn is_cold(view: &RoutingView, target: &RowTarget) -> bool {
    match target {
        RowTarget::Replica(key) => !view.ready.contains_key(key),
        RowTarget::Service(_) => false,
    }
}

pub(super) fn record_slot_wait(
    core: &TrafficCore,
    terms: &RequestTerms,
    grant: &SlotGrant,
    cold: bool,
) {
    let wait = terms.arrived.elapsed();
    let key = match &grant.target {
        RowTarget::Replica(key) => Some(key),
        RowTarget::Service(_) => None,
    };
    let priority = terms.priority.unwrap_or_default();
    core.metrics.observe_slot_wait(&SlotWaitSample {
        key,
        cold,
        priority,
        wait,
    });
    if !cold {
        core.metrics.observe_added_latency(wait);
    }
}
