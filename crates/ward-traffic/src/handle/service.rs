//! Handles calls to plain services.

use std::borrow::Cow;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::{HeaderMap, HeaderName, Method, Response, Uri};
use percent_encoding::percent_decode_str;
use viz::{Body, Request};
use ward_backend::request::{BackendAnswer, BackendCall, BufferedBody, CallError, ConnectionUse};
use ward_protocol::{
    BackendId, PriorityLevel, RequestFingerprint, RequestId, ResultCode, RowTarget,
};

use super::model::{expired_report, record_slot_wait};
use super::once::{OnceTask, serve_once};
use crate::REQUEST_ID;
use crate::core::TrafficCore;
use crate::forward::{
    CompleteAnswer, MAX_BUFFERED_ANSWER, SendOutcome, answer_deadline, classify_result,
    complete_response, end_to_end, failure_report, is_event_stream,
};
use crate::input::{RequestTerms, read_body, read_key, read_terms};
use crate::problem::ProblemReport;
use crate::target::resolve_service;
use crate::waiting::{SlotGrant, WaitRequest};

const SERVICES_PATH: &str = "/services/";

/// Call to a plain service, ready to be sent.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    pub(crate) request: RequestId,
    pub(crate) method: Method,
    pub(crate) path: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) terms: RequestTerms,
    pub(crate) priority: PriorityLevel,
    pub(crate) target: RowTarget,
    pub(crate) failed_backend: Option<BackendId>,
    pub(crate) connection: ConnectionUse,
}

impl ServiceCall {
    pub(super) fn wait_request(&self) -> WaitRequest {
        WaitRequest {
            request: self.request,
            once: self.connection == ConnectionUse::Fresh,
            target: self.target.clone(),
            reference: None,
            terms: self.terms,
            priority: self.priority,
            // Calls to a service have no prompt; the request id distributes them.
            prefix_hash: routing_hash(self.request),
            suspect: false,
            failed_backend: self.failed_backend.clone(),
        }
    }

    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        let target = format!("{} {}", self.method, self.path);
        RequestFingerprint::of(&target, &self.body)
    }
}

/// Handles a call to a plain service.
///
/// # Errors
///
/// The call is refused, failed or in doubt.
pub(crate) async fn serve_service(
    core: &Arc<TrafficCore>,
    id: RequestId,
    request: Request,
) -> Result<Response<Body>, ProblemReport> {
    let terms = read_terms(request.headers(), &core.limits)?;
    let key = read_key(request.headers())?;
    let view = core.view();
    let name = service_name(request.uri().path());
    let target = RowTarget::Service(resolve_service(&view, &name)?);
    let repeatable = view.row(&target).is_some_and(|row| row.repeatable);
    let (parts, body) = request.into_parts();
    let body = read_body(body, &terms, &core.limits, &core.body_memory).await?;
    let mut call = ServiceCall {
        request: id,
        method: parts.method,
        path: parts.uri,
        headers: forwarded_headers(parts.headers),
        body,
        priority: terms.priority.unwrap_or_else(|| view.priority(&target)),
        terms,
        target,
        failed_backend: None,
        connection: ConnectionUse::Pooled,
    };
    if repeatable {
        return run_with_retries(core, call).await;
    }
    call.connection = ConnectionUse::Fresh;
    serve_once(core, key, OnceTask::Service(call)).await
}

/// Sends a call to the backend server of a grant.
pub(super) async fn attempt_service(
    core: &TrafficCore,
    call: &ServiceCall,
    grant: &SlotGrant,
) -> SendOutcome {
    let result = core.client.send(BackendCall {
        address: grant.address,
        method: call.method.clone(),
        target: call.path.clone(),
        headers: call.headers.clone(),
        body: call.body.clone().into(),
        request: call.request,
        send_by: call.terms.deadline,
        answer_by: answer_deadline(call.connection, call.terms.deadline),
        connection: call.connection,
    });
    classify_result(core, grant, result.await)
}

async fn run_with_retries(
    core: &Arc<TrafficCore>,
    mut call: ServiceCall,
) -> Result<Response<Body>, ProblemReport> {
    core.retry_budget.record_request();
    let mut not_run_count = 0;
    // Once an attempt may have run, no later refusal may say that the call did not
    // run.
    let mut failure: Option<ProblemReport> = None;
    loop {
        let grant = match core.wait_list.acquire(call.wait_request()).await {
            Ok(grant) => grant,
            Err(report) => return Err(failure.unwrap_or(report)),
        };
        if failure.is_none() && not_run_count == 0 {
            record_slot_wait(core, &call.terms, &grant, false);
        }
        let backend = grant.backend.clone();
        let error = match attempt_service(core, &call, &grant).await {
            SendOutcome::Answered(answer) => match forward_answer(&call, *answer, grant).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            },
            SendOutcome::NotRun => {
                not_run_count += 1;
                match check_not_run_count(core, &call, not_run_count) {
                    Ok(()) => continue,
                    Err(report) => return Err(failure.unwrap_or(report)),
                }
            }
            SendOutcome::Expired => return Err(failure.unwrap_or_else(expired_report)),
            SendOutcome::Suspect(report) => return Err(failure.unwrap_or(*report)),
            SendOutcome::Broken(error) => error,
        };
        let report = failure_report(&error);
        if failure.is_some() || call.terms.time_left().is_zero() || !core.retry_budget.take_retry()
        {
            return Err(report);
        }
        core.metrics.retries.inc();
        failure = Some(report);
        call.failed_backend = Some(backend);
    }
}

/// Refuses a call after as many attempts that did not run as its service has backend
/// servers, and after the first one if it has none.
pub(super) fn check_not_run_count(
    core: &TrafficCore,
    call: &ServiceCall,
    not_run_count: usize,
) -> Result<(), ProblemReport> {
    let RowTarget::Service(name) = &call.target else {
        return Ok(());
    };
    let view = core.view();
    let backends = view
        .services
        .get(name)
        .map_or(0, |entry| entry.backends.len());
    if not_run_count < backends.max(1) {
        return Ok(());
    }
    let detail = format!("no backend server of {name} accepted the call");
    Err(ProblemReport::refused(ResultCode::NoBackend, detail))
}

/// Forwards an answer. One that is short enough is first read to its end; longer
/// ones, event streams and answers to `HEAD` are forwarded as they arrive.
async fn forward_answer(
    call: &ServiceCall,
    mut answer: BackendAnswer,
    grant: SlotGrant,
) -> Result<Response<Body>, CallError> {
    if is_event_stream(&answer.headers) || call.method == Method::HEAD {
        return Ok(streamed_response(answer, Bytes::new(), grant));
    }
    let buffered = answer
        .body
        .read_buffered(MAX_BUFFERED_ANSWER, call.terms.deadline)
        .await?;
    Ok(match buffered {
        BufferedBody::Partial(first) => streamed_response(answer, first, grant),
        BufferedBody::Complete(body) => complete_response(CompleteAnswer {
            status: answer.status,
            headers: answer.headers,
            body,
        }),
    })
}

/// An answer forwarded as it arrives; if its backend server is lost, the connection
/// is aborted, so that the caller sees that the answer is incomplete.
fn streamed_response(answer: BackendAnswer, first: Bytes, grant: SlotGrant) -> Response<Body> {
    grant.mark_answering();
    let length = answer.headers.get(CONTENT_LENGTH).cloned();
    let rest = stream::try_unfold((answer.body, grant), |(mut body, grant)| async {
        let chunk = body.chunk().await.map_err(io::Error::other)?;
        Ok::<_, io::Error>(chunk.map(|bytes| (bytes, (body, grant))))
    });
    let first = stream::iter((!first.is_empty()).then_some(Ok(first)));
    let mut response = Response::new(Body::from_stream(first.chain(rest)));
    *response.status_mut() = answer.status;
    *response.headers_mut() = end_to_end(answer.headers);
    if let Some(length) = length {
        response.headers_mut().insert(CONTENT_LENGTH, length);
    }
    response
}

/// The lower 64 bits of a request id.
fn routing_hash(request: RequestId) -> u64 {
    let bytes = request.0.to_le_bytes();
    u64::from_le_bytes([
        bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7],
    ])
}

fn service_name(path: &str) -> Cow<'_, str> {
    let rest = path.strip_prefix(SERVICES_PATH).unwrap_or_default();
    let name = rest.split('/').next().unwrap_or_default();
    percent_decode_str(name).decode_utf8_lossy()
}

/// The caller's header without the fields of its connection to this daemon, and those
/// that the daemon sets itself.
fn forwarded_headers(headers: HeaderMap) -> HeaderMap {
    const REMOVED: [HeaderName; 4] = [HOST, EXPECT, REQUEST_ID, CONTENT_LENGTH];
    let mut headers = end_to_end(headers);
    for name in &REMOVED {
        headers.remove(name);
    }
    headers
}
