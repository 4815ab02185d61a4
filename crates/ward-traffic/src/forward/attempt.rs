//! One attempt of a model request on one replica.

use std::sync::Arc;
use std::time::Duration;

use http::header::{ACCEPT, CONTENT_TYPE};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use slog::info;
use tokio::time::Instant;
use ward_backend::request::{BackendAnswer, BackendCall, CallError, ConnectionUse};
use ward_protocol::{
    BackendId, PriorityLevel, RequestFingerprint, RequestId, ResultCode, RowTarget, WallTime,
};

use super::suspect::{check_crashes, is_crash};
use crate::core::TrafficCore;
use crate::input::{ModelBody, RequestTerms};
use crate::notice::TrafficNotice;
use crate::problem::ProblemReport;
use crate::waiting::{SlotGrant, WaitRequest};

const PRIORITY: HeaderName = HeaderName::from_static("priority");
const OUTCOME: &str = "x-outcome";
const NOT_RUN: &str = "not_run";
/// How long a call that may not be repeated may run after its deadline.
pub(crate) const MAX_OVERRUN: Duration = Duration::from_secs(60);
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Model request, ready to be sent for each attempt.
#[derive(Debug, Clone)]
pub(crate) struct ModelCall {
    pub(crate) request: RequestId,
    pub(crate) path: Uri,
    pub(crate) accept: Option<HeaderValue>,
    pub(crate) body: ModelBody,
    pub(crate) terms: RequestTerms,
    pub(crate) priority: PriorityLevel,
    pub(crate) target: RowTarget,
    pub(crate) crashes: u32,
    pub(crate) failed_backend: Option<BackendId>,
    pub(crate) connection: ConnectionUse,
}

impl ModelCall {
    /// The request for a slot on a replica.
    pub(crate) fn wait_request(&self) -> WaitRequest {
        WaitRequest {
            request: self.request,
            once: self.connection == ConnectionUse::Fresh,
            target: self.target.clone(),
            reference: Some(self.body.reference.clone()),
            terms: self.terms,
            priority: self.priority,
            prefix_hash: self.body.prefix_hash,
            suspect: self.crashes > 0,
            failed_backend: self.failed_backend.clone(),
        }
    }

    /// Fingerprint of the path and the body as received; it does not depend on the
    /// version that the request is served by.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        RequestFingerprint::of(self.path.path(), self.body.bytes())
    }

    fn backend_call(&self, grant: &SlotGrant, send_by: Instant) -> BackendCall {
        let mut headers = HeaderMap::with_capacity(8);
        headers.insert(CONTENT_TYPE, JSON);
        headers.insert(PRIORITY, priority_value(self.priority));
        if let Some(accept) = &self.accept {
            headers.insert(ACCEPT, accept.clone());
        }
        let body = match &grant.target {
            RowTarget::Replica(key) => self.body.for_replica(key),
            RowTarget::Service(_) => self.body.bytes().clone().into(),
        };
        BackendCall {
            address: grant.address,
            method: Method::POST,
            target: self.path.clone(),
            headers,
            body,
            request: self.request,
            send_by,
            answer_by: answer_deadline(self.connection, send_by),
            connection: self.connection,
        }
    }
}

/// Result of sending one attempt.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// The header of the answer has arrived; its body is yet to be read.
    Answered(Box<BackendAnswer>),
    /// The request did not run, but may elsewhere or later: it was not sent, or the
    /// backend server says so.
    NotRun,
    /// The deadline passed before the request was sent.
    Expired,
    /// The request did not run and is refused, because it crashes backend servers.
    Suspect(Box<ProblemReport>),
    /// The request may have run, and there is no complete answer.
    Broken(CallError),
}

/// Sends a model request to the replica of a grant, by `send_by` at the latest, unless
/// the request has crashed too many backend servers.
pub(crate) async fn attempt_model(
    core: &TrafficCore,
    call: &ModelCall,
    grant: &SlotGrant,
    send_by: Instant,
) -> SendOutcome {
    if let Err(report) = check_crashes(core, call) {
        return SendOutcome::Suspect(Box::new(report));
    }
    let result = core.client.send(call.backend_call(grant, send_by)).await;
    classify_result(core, grant, result)
}

/// Classifies the result of a call by whether the request may have run. A backend
/// server that could not be reached, or a replica that did not run the request, is
/// avoided for a short time.
pub(crate) fn classify_result(
    core: &TrafficCore,
    grant: &SlotGrant,
    result: Result<BackendAnswer, CallError>,
) -> SendOutcome {
    match result {
        Ok(answer) if is_not_run_and_retryable(&answer) => {
            core.wait_list.avoid_replica(&grant.target, &grant.backend);
            SendOutcome::NotRun
        }
        Ok(answer) => SendOutcome::Answered(Box::new(answer)),
        Err(CallError::Expired) => SendOutcome::Expired,
        Err(error) if error.is_unsent() => {
            info!(core.logger, "traffic: backend server unreachable";
                "backend" => %grant.backend, "cause" => %error);
            core.wait_list.avoid(&grant.backend);
            SendOutcome::NotRun
        }
        Err(error) => SendOutcome::Broken(error),
    }
}

/// Logs an attempt that may have run and reports a crash to the control thread.
/// Returns the report for the caller, for the case that there is no further attempt.
pub(crate) fn record_attempt_failure(
    core: &Arc<TrafficCore>,
    call: &ModelCall,
    backend: &BackendId,
    error: &CallError,
) -> ProblemReport {
    info!(core.logger, "traffic: request broken";
        "request" => %call.request, "backend" => %backend, "cause" => %error);
    if is_crash(core, backend, error) {
        (core.notice.0)(TrafficNotice::Crashed {
            fingerprint: call.fingerprint(),
            backend: backend.clone(),
            until: WallTime::now() + core.limits.suspect_time,
        });
    }
    failure_report(error)
}

/// The report for the caller of a call that may have run.
pub(crate) fn failure_report(error: &CallError) -> ProblemReport {
    let code = match error {
        CallError::Lost(_) => ResultCode::BackendLost,
        CallError::WrongId | CallError::Unframed | CallError::Unreadable | CallError::TooLarge => {
            ResultCode::AnswerInvalid
        }
        CallError::TimedOut
        | CallError::Failed(_)
        | CallError::Connect(_)
        | CallError::NotSent
        | CallError::Expired
        | CallError::Malformed(_) => ResultCode::BackendFailed,
    };
    ProblemReport::failed(code, error.to_string())
}

/// Deadline for the header of an answer. A call that may not be repeated may run beyond
/// its caller's deadline, because only its answer shows that it ran.
pub(crate) fn answer_deadline(connection: ConnectionUse, deadline: Instant) -> Instant {
    match connection {
        ConnectionUse::Pooled => deadline,
        ConnectionUse::Fresh => deadline + MAX_OVERRUN,
    }
}

/// Whether a backend server says that it did not run a request, and that the request
/// may succeed later.
fn is_not_run_and_retryable(answer: &BackendAnswer) -> bool {
    let may_succeed_later = matches!(
        answer.status,
        StatusCode::NOT_FOUND | StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS
    );
    let outcome = answer.headers.get(OUTCOME);
    (may_succeed_later || answer.status.is_server_error())
        && outcome.is_some_and(|value| value.as_bytes() == NOT_RUN.as_bytes())
}

fn priority_value(priority: PriorityLevel) -> HeaderValue {
    const VALUES: [&str; PriorityLevel::COUNT] =
        ["u=0", "u=1", "u=2", "u=3", "u=4", "u=5", "u=6", "u=7"];
    HeaderValue::from_static(VALUES[usize::from(priority.level())])
}
