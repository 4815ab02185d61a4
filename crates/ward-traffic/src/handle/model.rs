//! Requests to models.

use std::sync::Arc;

use http::header::ACCEPT;
use http::{Response, Uri};
use viz::{Body, Request};
use ward_backend::request::{BackendAnswer, CallError, ConnectionUse};
use ward_protocol::{RequestId, ResultCode, RoutingView, RowTarget};

use super::once::{OnceTask, serve_once};
use crate::core::TrafficCore;
use crate::forward::{
    AttemptEnd, CancelGuard, ModelCall, StreamRelay, attempt_model, check_crashes, is_crash,
    is_stream, note_broken, read_whole, relay_response, whole_response,
};
use crate::input::{ModelBody, RequestTerms, read_body, read_key, read_terms};
use crate::metrics::StartSample;
use crate::problem::ProblemReport;
use crate::target::resolve_model;
use crate::waiting::SlotGrant;

/// The address of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ModelPath {
    /// Chat messages.
    Chat,
    /// A plain prompt.
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

/// Serves a request to a model.
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
    let bytes = read_body(request.into_body(), &terms, &core.limits, &core.bodies).await?;
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
        return run_repeatable(core, call).await;
    }
    call.connection = ConnectionUse::Fresh;
    serve_once(core, key, OnceTask::Model(call)).await
}

/// How one try ended.
enum TryEnd {
    /// The caller has its answer, or the beginning of its stream.
    Answer(Response<Body>),
    /// It did not run and may be placed again.
    NotRun,
    /// It did not run and its time is over.
    Expired,
    /// It did not run, and will not: it crashes backend servers.
    Suspect(Box<ProblemReport>),
    /// It may have run and has no whole answer.
    Broken(CallError),
}

async fn run_repeatable(
    core: &Arc<TrafficCore>,
    mut call: ModelCall,
) -> Result<Response<Body>, ProblemReport> {
    core.budget.record_request();
    let cold = is_cold(&core.view(), &call.target);
    // Once a try may have run, no later refusal may say that nothing did.
    let mut broken: Option<ProblemReport> = None;
    loop {
        let grant = match core.waiting.acquire(call.wait_request()).await {
            Ok(grant) => grant,
            Err(report) => return Err(broken.unwrap_or(report)),
        };
        if broken.is_none() {
            note_start(core, &call.terms, &grant, cold);
        }
        let backend = grant.backend.clone();
        let error = match try_once(core, &call, grant).await {
            TryEnd::Answer(response) => return Ok(response),
            TryEnd::NotRun => continue,
            TryEnd::Expired => return Err(broken.unwrap_or_else(expired)),
            TryEnd::Suspect(report) => return Err(broken.unwrap_or(*report)),
            TryEnd::Broken(error) => error,
        };
        let report = note_broken(core, &call, &backend, &error);
        if broken.is_some() || call.terms.time_left().is_zero() {
            return Err(report);
        }
        if !core.budget.take_retry() {
            core.metrics.retries_denied.inc();
            return Err(report);
        }
        core.metrics.retries.inc();
        broken = Some(report);
        call.crashes += u32::from(is_crash(core, &backend, &error));
        call.failed_backend = Some(backend);
    }
}

async fn try_once(core: &Arc<TrafficCore>, call: &ModelCall, grant: SlotGrant) -> TryEnd {
    let mut guard = CancelGuard::new(core, grant.address, call.request);
    let answer = match attempt_model(core, call, &grant, call.terms.deadline).await {
        AttemptEnd::Answered(answer) => *answer,
        AttemptEnd::NotRun => {
            guard.disarm();
            return TryEnd::NotRun;
        }
        AttemptEnd::Expired => {
            guard.disarm();
            return TryEnd::Expired;
        }
        AttemptEnd::Suspect(report) => {
            guard.disarm();
            return TryEnd::Suspect(report);
        }
        AttemptEnd::Broken(error) => {
            guard.cancel(call.terms.time_left()).await;
            return TryEnd::Broken(error);
        }
    };
    if is_stream(&answer) {
        let core = Arc::clone(core);
        let relay = StreamRelay::new(core, call.clone(), grant, guard, answer.body);
        return TryEnd::Answer(relay_response(relay));
    }
    match finish_whole(call, answer).await {
        Ok(response) => {
            guard.disarm();
            TryEnd::Answer(response)
        }
        Err(error) => {
            guard.cancel(call.terms.time_left()).await;
            TryEnd::Broken(error)
        }
    }
}

async fn finish_whole(
    call: &ModelCall,
    answer: BackendAnswer,
) -> Result<Response<Body>, CallError> {
    let whole = read_whole(answer, Some(call.request), call.terms.deadline).await?;
    Ok(whole_response(whole))
}

pub(super) fn expired() -> ProblemReport {
    let detail = "the time limit passed before the request was sent";
    ProblemReport::refused(ResultCode::DeadlineExpired, detail)
}

pub(super) fn is_cold(view: &RoutingView, target: &RowTarget) -> bool {
    match target {
        RowTarget::Replica(key) => !view.ready.contains_key(key),
        RowTarget::Service(_) => false,
    }
}

pub(super) fn note_start(core: &TrafficCore, terms: &RequestTerms, grant: &SlotGrant, cold: bool) {
    let wait = terms.arrived.elapsed();
    let key = match &grant.target {
        RowTarget::Replica(key) => Some(key),
        RowTarget::Service(_) => None,
    };
    let priority = terms.priority.unwrap_or_default();
    core.metrics.started(&StartSample {
        key,
        cold,
        priority,
        wait,
    });
    if !cold {
        core.metrics.added(wait);
    }
}
