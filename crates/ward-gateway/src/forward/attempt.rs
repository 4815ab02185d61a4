//! One send of a request to one engine.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use slog::{info, warn};
use ward_adapter::header::{
    RetryAfter, closes_connection, has_leaving_header, keep_alive_timeout, parse_retry_after,
};
use ward_adapter::{AnswerFields, ForwardFields};
use ward_fleet::EngineIncarnation;
use ward_fleet::health::EngineSignal;
use ward_protocol::{MonoTime, TimeSpan};

use super::pool::{ConnectionNeed, EngineSender};
use crate::clock;
use crate::gateway::Gateway;
use crate::leaving::note_leaving;
use crate::queue::{EngineLease, RunState};

/// Longest pause that an engine gets when it asks for one.
const LONGEST_PAUSE: TimeSpan = TimeSpan::from_secs(600);
/// Time over which daemons come back to an engine after the pause that it asked for.
const LONGEST_SPREAD: TimeSpan = TimeSpan::from_millis(400);

/// What is sent, the same for every attempt.
#[derive(Debug, Clone)]
pub(crate) struct AttemptRequest {
    pub(crate) id: Option<HeaderValue>,
    pub(crate) id_text: String,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// When the caller or the route gives up.
    pub(crate) deadline: MonoTime,
    /// Urgency at the engine.
    pub(crate) priority: Option<u8>,
    pub(crate) need: ConnectionNeed,
}

/// An answer that has begun.
pub(crate) struct Attempt {
    pub(crate) lease: EngineLease,
    pub(crate) sender: EngineSender,
    pub(crate) answer: Response<Incoming>,
    pub(crate) fields: AnswerFields,
}

/// How a send ended that brought no answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The engine never saw it.
    Unsent,
    /// The engine had no room for it and did not run it.
    Full,
    /// The engine lacks the model, or is another one; it did not run it.
    Misplaced,
    /// It may have run.
    Unknown,
    /// The time for a first answer ran out; it may have run.
    Silent,
}

impl AttemptEnd {
    /// The word for logs and metrics.
    pub(crate) const fn word(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Full => "full",
            Self::Misplaced => "misplaced",
            Self::Unknown => "unknown",
            Self::Silent => "silent",
        }
    }
}

/// Sends a request once; `patience` bounds the wait for the answer to begin.
pub(crate) async fn send_attempt(
    gateway: &Rc<Gateway>,
    request: &AttemptRequest,
    lease: EngineLease,
    last_event: Option<&str>,
    patience: TimeSpan,
) -> Result<Attempt, AttemptEnd> {
    let started = clock::now();
    let result = exchange(gateway, request, lease, last_event, patience).await;
    let word = match &result {
        Ok(_) => "answered",
        Err(end) => end.word(),
    };
    gateway.metrics.sends.with_label_values(&[word]).inc();
    if let Ok(attempt) = &result {
        let span = clock::now().since(started);
        gateway.metrics.first_byte.observe(span.seconds());
        let mut table = gateway.table.borrow_mut();
        if let Some(health) = table.health_mut(&attempt.lease.engine.id) {
            health.record_first_byte(span);
        }
    }
    result
}

async fn exchange(
    gateway: &Rc<Gateway>,
    request: &AttemptRequest,
    lease: EngineLease,
    last_event: Option<&str>,
    patience: TimeSpan,
) -> Result<Attempt, AttemptEnd> {
    let mut sender = connect(gateway, request, &lease).await?;
    let outgoing = outgoing(request, &lease, last_event).map_err(|cause| {
        let end = AttemptEnd::Unsent;
        fail(gateway, request, &lease, end, &cause.to_string());
        end
    })?;
    lease.note_run(RunState::Running);
    let sent = sender.try_send_request(outgoing);
    let answer = match tokio::time::timeout(patience.duration(), sent).await {
        Err(_) => {
            fail(
                gateway,
                request,
                &lease,
                AttemptEnd::Silent,
                "no answer in time",
            );
            return Err(AttemptEnd::Silent);
        }
        Ok(Err(mut error)) => {
            let unsent = error.take_message().is_some();
            let (end, run) = if unsent {
                (AttemptEnd::Unsent, RunState::NotRun)
            } else {
                (AttemptEnd::Unknown, RunState::BrokenOff)
            };
            lease.note_run(run);
            fail(gateway, request, &lease, end, &error.error().to_string());
            return Err(end);
        }
        Ok(Ok(answer)) => answer,
    };
    let fields = AnswerFields::read(answer.headers(), request.id.as_ref());
    if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
        note_pause(gateway, &lease, answer.headers());
    }
    if has_leaving_header(answer.headers()) {
        note_leaving(gateway, &EngineIncarnation::from(&lease.engine));
    }
    let attempt = Attempt {
        lease,
        sender,
        answer,
        fields,
    };
    judge(gateway, request, attempt).await
}

async fn connect(
    gateway: &Rc<Gateway>,
    request: &AttemptRequest,
    lease: &EngineLease,
) -> Result<EngineSender, AttemptEnd> {
    let engine = &lease.engine;
    let connection = gateway
        .pool
        .connect(&engine.id, engine.address, request.need)
        .await;
    connection.map_err(|cause| {
        fail(
            gateway,
            request,
            lease,
            AttemptEnd::Unsent,
            &cause.to_string(),
        );
        AttemptEnd::Unsent
    })
}

fn outgoing(
    request: &AttemptRequest,
    lease: &EngineLease,
    last_event: Option<&str>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let fields = ForwardFields {
        engine: &lease.engine.id,
        deadline: request.deadline.since(clock::now()),
        priority: request.priority,
        last_event,
    };
    let mut outgoing = Request::builder()
        .method(request.method.clone())
        .uri(request.target.clone())
        .body(Full::new(request.body.clone()))?;
    *outgoing.headers_mut() = fields.headers(&request.headers);
    Ok(outgoing)
}

/// Tells answers to pass on from those that say the request did not run, and
/// from those that cannot be trusted.
async fn judge(
    gateway: &Rc<Gateway>,
    request: &AttemptRequest,
    attempt: Attempt,
) -> Result<Attempt, AttemptEnd> {
    let status = attempt.answer.status();
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    if (attempt.fields.not_executed || misdirected) && !attempt.fields.signed {
        let end = if misdirected {
            AttemptEnd::Misplaced
        } else {
            AttemptEnd::Full
        };
        let (sign, why) = if misdirected {
            (EngineSignal::Misplaced, "the engine lacks what it needs")
        } else {
            (EngineSignal::Full, "the engine refused")
        };
        note(gateway, &attempt.lease, sign);
        attempt.lease.note_run(RunState::NotRun);
        info!(
            gateway.logger, "send: not run"; "request" => &request.id_text,
            "engine" => %attempt.lease.engine.id, "status" => status.as_u16(), "why" => why,
        );
        give_back(gateway, attempt).await;
        return Err(end);
    }
    if !attempt.fields.matches {
        fail(
            gateway,
            request,
            &attempt.lease,
            AttemptEnd::Unknown,
            "the answer belongs to another request",
        );
        return Err(AttemptEnd::Unknown);
    }
    if status.is_success() && !attempt.fields.signed {
        fail(
            gateway,
            request,
            &attempt.lease,
            AttemptEnd::Unknown,
            "the answer has no signature",
        );
        return Err(AttemptEnd::Unknown);
    }
    Ok(attempt)
}

/// Notes that an engine asks for a pause, if it does.
fn note_pause(gateway: &Rc<Gateway>, lease: &EngineLease, headers: &HeaderMap) {
    let mark = parse_retry_after(headers);
    let asked = match mark {
        RetryAfter::Absent => return,
        RetryAfter::Delay(span) => span,
        RetryAfter::Malformed => TimeSpan::ZERO,
    };
    let span = asked.min(LONGEST_PAUSE);
    info!(
        gateway.logger, "engines: asks for a pause"; "engine" => %lease.engine.id,
        "asked" => ?mark, "millis" => span.millis(),
    );
    if span == TimeSpan::ZERO {
        return;
    }
    let spread = LONGEST_SPREAD.min(span).millis();
    let span = span + TimeSpan::from_millis(rand::random_range(0..=spread));
    note(gateway, lease, EngineSignal::Pause(span));
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        // Requests may wait for the end of the pause.
        tokio::time::sleep(span.duration()).await;
        gateway.queue.changed();
    });
}

/// Reads what is left of a refusal and keeps its connection.
async fn give_back(gateway: &Rc<Gateway>, attempt: Attempt) {
    let reuse = Reuse::of(&attempt.answer);
    let body = attempt.answer.into_body().collect().await;
    if body.is_ok() {
        reuse.put_back(gateway, &attempt.lease, attempt.sender);
    }
}

/// Whether and how long a connection may be kept after an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reuse {
    closes: bool,
    keep: Option<TimeSpan>,
}

impl Reuse {
    pub(super) fn of(answer: &Response<Incoming>) -> Self {
        Self {
            closes: closes_connection(answer.headers()),
            keep: keep_alive_timeout(answer.headers()),
        }
    }

    pub(super) fn put_back(self, gateway: &Gateway, lease: &EngineLease, sender: EngineSender) {
        if !self.closes {
            gateway.pool.put_back(&lease.engine.id, sender, self.keep);
        }
    }
}

pub(super) fn note(gateway: &Gateway, lease: &EngineLease, sign: EngineSignal) {
    let mut table = gateway.table.borrow_mut();
    table.record_signal(&lease.engine.id, sign, clock::now());
}

fn fail(
    gateway: &Gateway,
    request: &AttemptRequest,
    lease: &EngineLease,
    end: AttemptEnd,
    why: &str,
) {
    let sign = match end {
        AttemptEnd::Unsent => EngineSignal::Unreachable,
        _ => EngineSignal::Failed,
    };
    note(gateway, lease, sign);
    warn!(
        gateway.logger, "send: failed"; "request" => &request.id_text,
        "engine" => %lease.engine.id, "outcome" => end.word(), "why" => why,
    );
}
