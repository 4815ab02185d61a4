//! One attempt to send a request to one engine.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use slog::{info, warn};
use ward_adapter::header::{RetryAfter, answer_id, has_leaving_header, parse_retry_after};
use ward_adapter::{AnswerFields, ForwardFields};
use ward_fleet::EngineIncarnation;
use ward_fleet::health::EngineSignal;
use ward_protocol::{MonoTime, TenantName, TimeSpan};

use super::framing::holds_another_head;
use super::pool::{ConnectionNeed, EngineConnection};
use super::silence::{first_of, head_timeout};
use crate::clock;
use crate::gateway::Gateway;
use crate::leaving::record_leaving;
use crate::limit::record_limit;
use crate::queue::{EngineSlot, RunState};

/// Maximum pause that an engine may request.
const MAX_PAUSE: TimeSpan = TimeSpan::from_secs(600);
/// Maximum random extension of an engine's pause, so that not all daemons send
/// requests to it again at the same time.
const MAX_PAUSE_JITTER: TimeSpan = TimeSpan::from_millis(400);

/// Highest status that HTTP knows; the HTTP library passes on any of three digits.
const MAX_STATUS: u16 = 599;

/// The parts of a request that are the same for every attempt.
#[derive(Debug, Clone)]
pub(crate) struct AttemptRequest {
    /// Request id; `None` if the caller sent none.
    pub(crate) id: Option<HeaderValue>,
    pub(crate) id_text: String,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// When the timeout of the caller or the route ends, whichever is earlier.
    pub(crate) deadline: MonoTime,
    /// Tenant of the caller.
    pub(crate) tenant: Option<TenantName>,
    /// Priority at the engine; `None` for requests that name no model.
    pub(crate) priority: Option<u8>,
    pub(crate) need: ConnectionNeed,
    /// Whether its engine is asked for its runs before it counts as silent.
    pub(crate) asks_runs: bool,
}

/// An attempt whose answer has begun.
pub(crate) struct Attempt {
    pub(crate) slot: EngineSlot,
    pub(crate) connection: EngineConnection,
    pub(crate) answer: Response<Incoming>,
    pub(crate) fields: AnswerFields,
    /// When the request was sent.
    sent_at: MonoTime,
}

/// Why an attempt got no answer that can be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// The request never reached the engine.
    Unsent,
    /// The engine refused to run the request, usually because it had no free slot.
    Full,
    /// The engine does not hold the model, or is another engine than expected; it did
    /// not run the request.
    Misplaced,
    /// The request may have run: the connection failed before the answer began, or the
    /// answer is invalid, incomplete, too long or a server error that may be retried.
    Unknown,
    /// No answer began in time; the request may have run.
    Silent,
}

impl AttemptFailure {
    /// The value in logs and metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Full => "full",
            Self::Misplaced => "misplaced",
            Self::Unknown => "unknown",
            Self::Silent => "silent",
        }
    }
}

/// Sends a request once; `timeout` bounds the wait for the answer to begin.
pub(crate) async fn send_attempt(
    gateway: &Rc<Gateway>,
    request: &AttemptRequest,
    slot: EngineSlot,
    last_event_id: Option<&str>,
    timeout: TimeSpan,
) -> Result<Attempt, AttemptFailure> {
    let started = clock::now();
    let result = exchange(gateway, request, slot, last_event_id, timeout).await;
    let label = match &result {
        Ok(_) => "answered",
        Err(failure) => failure.label(),
    };
    gateway.metrics.sends.with_label_values(&[label]).inc();
    if let Ok(attempt) = &result {
        let span = clock::now().since(started);
        gateway.metrics.first_byte.observe(span.seconds());
        let mut table = gateway.table.borrow_mut();
        if let Some(health) = table.health_mut(&attempt.slot.engine.id) {
            health.record_first_byte(span);
        }
    }
    result
}

async fn exchange(
    gateway: &Rc<Gateway>,
    request: &AttemptRequest,
    slot: EngineSlot,
    last_event_id: Option<&str>,
    timeout: TimeSpan,
) -> Result<Attempt, AttemptFailure> {
    let mut connection = connect(gateway, request, &slot).await?;
    let outgoing = build_request(request, &slot, last_event_id).map_err(|cause| {
        let failure = AttemptFailure::Unsent;
        record_attempt_failure(gateway, request, &slot, failure, &cause.to_string());
        failure
    })?;
    slot.set_run_state(RunState::Running);
    let sent_at = clock::now();
    connection.head_limit.arm();
    let sent = connection.sender.try_send_request(outgoing);
    let answer = match first_of(sent, head_timeout(gateway, request, &slot, timeout)).await {
        Err(reason) => {
            let failure = AttemptFailure::Silent;
            record_attempt_failure(gateway, request, &slot, failure, reason);
            return Err(failure);
        }
        Ok(Err(mut error)) => {
            let unsent = error.take_message().is_some();
            let (failure, run) = if unsent {
                (AttemptFailure::Unsent, RunState::NotRun)
            } else {
                (AttemptFailure::Unknown, RunState::BrokenOff)
            };
            slot.set_run_state(run);
            record_attempt_failure(gateway, request, &slot, failure, &error.error().to_string());
            return Err(failure);
        }
        Ok(Ok(answer)) => answer,
    };
    connection.head_limit.lift();
    let fields = AnswerFields::read(answer.headers(), request.id.as_ref());
    let attempt = Attempt {
        slot,
        connection,
        answer,
        fields,
        sent_at,
    };
    classify_answer(gateway, request, attempt)
}

async fn connect(
    gateway: &Rc<Gateway>,
    request: &AttemptRequest,
    slot: &EngineSlot,
) -> Result<EngineConnection, AttemptFailure> {
    let engine = &slot.engine;
    let connected = gateway
        .pool
        .connect(&engine.id, engine.address, request.need)
        .await;
    connected.map_err(|cause| {
        record_attempt_failure(
            gateway,
            request,
            slot,
            AttemptFailure::Unsent,
            &cause.to_string(),
        );
        AttemptFailure::Unsent
    })
}

fn build_request(
    request: &AttemptRequest,
    slot: &EngineSlot,
    last_event_id: Option<&str>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let fields = ForwardFields {
        engine: &slot.engine.id,
        time_left: request.deadline.since(clock::now()),
        tenant: request.tenant.as_ref(),
        priority: request.priority,
        last_event_id,
    };
    let mut outgoing = Request::builder()
        .method(request.method.clone())
        .uri(request.target.clone())
        .body(Full::new(request.body.clone()))?;
    *outgoing.headers_mut() = fields.headers(&request.headers);
    Ok(outgoing)
}

/// Returns an answer that can be forwarded; fails if the answer belongs to another request,
/// says that the request did not run, or is a success without a signature.
fn classify_answer(
    gateway: &Rc<Gateway>,
    request: &AttemptRequest,
    attempt: Attempt,
) -> Result<Attempt, AttemptFailure> {
    // Nothing in an answer counts before it is known to be this request's.
    if !attempt.fields.id_matches {
        let reason = "the answer belongs to another request";
        return Err(record_answer_out_of_turn(
            gateway, request, &attempt, reason,
        ));
    }
    if holds_another_head(&attempt.answer) {
        let reason = "the answer's head holds the beginning of another";
        return Err(record_answer_out_of_turn(
            gateway, request, &attempt, reason,
        ));
    }
    let status = attempt.answer.status();
    let headers = attempt.answer.headers();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        record_pause(gateway, &attempt.slot, headers);
    }
    record_limit(
        gateway,
        &attempt.slot.engine,
        status,
        headers,
        attempt.sent_at,
    );
    if has_leaving_header(headers) {
        record_leaving(gateway, &EngineIncarnation::from(&attempt.slot.engine));
    }
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    if (attempt.fields.not_executed || misdirected) && !attempt.fields.signed {
        return Err(record_refusal(gateway, request, &attempt));
    }
    if let Some(reason) = invalid_reason(status, attempt.fields) {
        let failure = AttemptFailure::Unknown;
        record_attempt_failure(gateway, request, &attempt.slot, failure, reason);
        return Err(failure);
    }
    Ok(attempt)
}

/// Why an answer with this status and these fields cannot be forwarded; `None` if it can.
fn invalid_reason(status: StatusCode, fields: AnswerFields) -> Option<&'static str> {
    if status == StatusCode::SWITCHING_PROTOCOLS {
        // No request asks for another protocol.
        return Some("the answer switches protocols");
    }
    if status.as_u16() > MAX_STATUS {
        return Some("the answer's status is none");
    }
    let is_unsigned = status.is_success() && !fields.signed;
    is_unsigned.then_some("the answer has no signature")
}

/// Records an answer that is not this request's alone. The engine may be running this
/// request, whose answer would follow on the same connection.
fn record_answer_out_of_turn(
    gateway: &Gateway,
    request: &AttemptRequest,
    attempt: &Attempt,
    reason: &str,
) -> AttemptFailure {
    let engine = &attempt.slot.engine.id;
    warn!(
        gateway.logger, "send: answer to another request"; "request" => &request.id_text,
        "engine" => %engine, "status" => attempt.answer.status().as_u16(),
        "answered" => answer_id(attempt.answer.headers()),
        "not_executed" => attempt.fields.not_executed,
        "carried" => attempt.connection.carried,
    );
    gateway.pool.record_unreliable(engine);
    record_attempt_failure(
        gateway,
        request,
        &attempt.slot,
        AttemptFailure::Unknown,
        reason,
    );
    AttemptFailure::Unknown
}

/// Records that the engine did not run the request.
fn record_refusal(
    gateway: &Gateway,
    request: &AttemptRequest,
    attempt: &Attempt,
) -> AttemptFailure {
    let status = attempt.answer.status();
    let (failure, signal, reason) = if status == StatusCode::MISDIRECTED_REQUEST {
        (
            AttemptFailure::Misplaced,
            EngineSignal::Misplaced,
            "the engine does not hold the model or adapter",
        )
    } else {
        (
            AttemptFailure::Full,
            EngineSignal::Full,
            "the engine refused the request",
        )
    };
    record_signal(gateway, &attempt.slot, signal);
    attempt.slot.set_run_state(RunState::NotRun);
    info!(
        gateway.logger, "send: not run"; "request" => &request.id_text,
        "engine" => %attempt.slot.engine.id, "status" => status.as_u16(), "why" => reason,
        "carried" => attempt.connection.carried,
    );
    failure
}

/// Records the pause that an engine requests with Retry-After, if it does.
fn record_pause(gateway: &Rc<Gateway>, slot: &EngineSlot, headers: &HeaderMap) {
    let retry_after = parse_retry_after(headers);
    let requested = match retry_after {
        RetryAfter::Absent => return,
        RetryAfter::Span(span) => span,
        RetryAfter::Garbled => TimeSpan::ZERO,
    };
    let span = requested.min(MAX_PAUSE);
    info!(
        gateway.logger, "engines: asks for a pause"; "engine" => %slot.engine.id,
        "asked" => ?retry_after, "millis" => span.millis(),
    );
    if span == TimeSpan::ZERO {
        return;
    }
    let max_jitter = MAX_PAUSE_JITTER.min(span).millis();
    let span = span + TimeSpan::from_millis(rand::random_range(0..=max_jitter));
    record_signal(gateway, slot, EngineSignal::Pause(span));
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        // Requests may be waiting for the end of the pause.
        tokio::time::sleep(span.duration()).await;
        gateway.queue.notify_change();
    });
}

pub(super) fn record_signal(gateway: &Gateway, slot: &EngineSlot, signal: EngineSignal) {
    let mut table = gateway.table.borrow_mut();
    table.record_signal(&slot.engine.id, signal, clock::now());
}

fn record_attempt_failure(
    gateway: &Gateway,
    request: &AttemptRequest,
    slot: &EngineSlot,
    failure: AttemptFailure,
    reason: &str,
) {
    let signal = match failure {
        AttemptFailure::Unsent => EngineSignal::Unreachable,
        _ => EngineSignal::Failed,
    };
    record_signal(gateway, slot, signal);
    warn!(
        gateway.logger, "send: failed"; "request" => &request.id_text,
        "engine" => %slot.engine.id, "outcome" => failure.label(), "why" => reason,
    );
}
