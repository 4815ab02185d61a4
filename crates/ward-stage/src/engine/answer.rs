//! Handling of an engine's requests, orders and report queries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream::BoxStream;
use futures::{Stream, StreamExt, stream};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Version};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ward_adapter::header::set_own_answer_headers;
use ward_adapter::served::{
    EnginePath, ReceivedHeaders, ReportedState, engine_path, leaving_headers, not_executed_headers,
    parse_order, parse_request_headers, rate_limit_headers, report_json, retry_after_headers,
    signed_answer_headers,
};
use ward_fleet::RequestRate;
use ward_protocol::SoftwareVersion;

use super::plain::{breaks_off, is_unframed, plain_answer};
use super::resume::{long_event, repeated_events, resumed_answer, second_copy};
use super::software::event_text;
use super::{CRASHING_PART, CRASHING_PATH, CrashKind, EngineFault, SharedEngine};
use crate::ledger::{OrderRecord, RefusalRecord, RunGuard, RunRecord};
use crate::reply::{AbortConnection, StageBody, full_response, streamed_response};

/// One frame of the answer of [`EngineFault::Endless`].
const ENDLESS_CHUNK: &[u8] = &[b'x'; 64 << 10];
/// Time between two single bytes of [`EngineFault::Trickle`].
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);
pub(super) const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");
/// Beginning of an event.
pub(super) const CUT_EVENT: &[u8] = b"id: 3\ndata: par";
/// Number of events of a stream.
pub(super) const EVENT_COUNT: u64 = 5;
/// Time before each event of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Part of the path of requests whose streams are slow.
pub const SLOW_PATH: &str = "slow";
/// Time before each event of a slow stream.
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(300);
/// Part of the path of requests whose streams last almost as long as a route allows.
pub const SLOWEST_PATH: &str = "slowest";
/// Time before each event of such a stream.
const SLOWEST_EVENT_INTERVAL: Duration = Duration::from_millis(450);
/// Pause that [`EngineFault::CrossedPause`] asks for.
const CROSSED_PAUSE: Duration = Duration::from_secs(10);
/// Time that a request runs before its answer begins.
const PROCESSING_TIME: Duration = Duration::from_millis(10);

/// Answers a request, an order or a report query. One that names another engine
/// id gets status 421.
pub(super) async fn answer(
    shared: Arc<SharedEngine>,
    request: Request<Incoming>,
) -> Result<Response<StageBody>, AbortConnection> {
    let (head, body) = request.into_parts();
    let received = parse_request_headers(&head.headers);
    let path = head.uri.path().to_owned();
    let body = body
        .collect()
        .await
        .map_err(|_| AbortConnection)?
        .to_bytes();
    let id = shared.lock().entry.id.to_string();
    if received.engine.as_ref().is_some_and(|engine| *engine != id) {
        return Ok(misdirected_response(&received));
    }
    let mut response = match engine_path(&path) {
        EnginePath::Order => answer_order(&shared, &body)?,
        EnginePath::Report => answer_report(&shared),
        EnginePath::Request => answer_request(&shared, &received, &path).await?,
    };
    let fault = shared.lock().fault;
    match fault {
        EngineFault::Leaving => response.headers_mut().extend(leaving_headers()),
        EngineFault::Limited(rate) => response.headers_mut().extend(rate_limit_headers(rate)),
        _ => {}
    }
    Ok(response)
}

/// Refuses a request that this engine does not serve; it did not run.
fn misdirected_response(received: &ReceivedHeaders) -> Response<StageBody> {
    let mut response = full_response(StatusCode::MISDIRECTED_REQUEST, Bytes::new());
    let headers = not_executed_headers(received.id.as_ref());
    response.headers_mut().extend(headers);
    response
}

fn answer_report(shared: &SharedEngine) -> Response<StageBody> {
    let mut state = shared.lock();
    state.finish_due_load();
    let body = report_json(&ReportedState {
        models: &state.entry.models,
        busy: state.is_busy(),
        sequence: state.sequence,
        runs: shared.ledger.active_runs(state.entry.id.as_str()),
        birth: state.entry.birth,
    });
    full_response(StatusCode::OK, body)
}

fn answer_order(
    shared: &SharedEngine,
    body: &[u8],
) -> Result<Response<StageBody>, AbortConnection> {
    let Some(received) = parse_order(body) else {
        return Ok(full_response(StatusCode::BAD_REQUEST, Bytes::new()));
    };
    let mut state = shared.lock();
    let (status, exceeded) = state.receive_order(&received);
    let fault = state.fault;
    let engine = state.entry.id.to_string();
    drop(state);
    shared.ledger.record_order(OrderRecord {
        engine,
        order: received.order,
        fence: received.fence,
        accepted: status == StatusCode::ACCEPTED,
        exceeded,
    });
    if fault == EngineFault::LoseOrderAnswers {
        return Err(AbortConnection);
    }
    Ok(full_response(status, Bytes::new()))
}

/// Records a request and runs it, or refuses it.
async fn answer_request(
    shared: &Arc<SharedEngine>,
    received: &ReceivedHeaders,
    path: &str,
) -> Result<Response<StageBody>, AbortConnection> {
    let id = received
        .id
        .as_ref()
        .and_then(|id| id.to_str().ok())
        .unwrap_or("-");
    let (fault, model_missing, engine) = {
        let mut state = shared.lock();
        state.finish_due_load();
        let model_missing = received
            .model
            .as_ref()
            .is_some_and(|model| !state.holds(model));
        (state.fault, model_missing, state.entry.id.to_string())
    };
    if model_missing {
        return Ok(misdirected_response(received));
    }
    let request_id = received.id.as_ref();
    let refusal = match fault {
        EngineFault::Full | EngineFault::EndlessRefusal => Some(not_executed_headers(request_id)),
        EngineFault::FullOnce if shared.lock().refused.insert(id.to_owned()) => {
            Some(not_executed_headers(request_id))
        }
        EngineFault::RetryAfter(span) => Some(retry_after_headers(request_id, span.into())),
        _ => None,
    };
    if let Some(headers) = refusal {
        shared.ledger.record_refusal(RefusalRecord {
            engine,
            refused_at: Instant::now(),
        });
        if fault == EngineFault::EndlessRefusal {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(streamed_response(status, headers, endless_body()));
        }
        let mut response = full_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        response.headers_mut().extend(headers);
        return Ok(response);
    }
    shared.ledger.record_run(RunRecord {
        request: id.to_owned(),
        engine: engine.clone(),
        path: path.to_owned(),
        shared_parts: received.shared_parts.clone(),
        begun_at: Instant::now(),
        resumed: received.last_event_id.is_some(),
        tenants: received.tenants.clone(),
        has_key: received.has_key,
    });
    let run = shared.ledger.begin_run(&engine, id);
    tokio::time::sleep(PROCESSING_TIME).await;
    if let EngineFault::SlowHead(span) = fault {
        tokio::time::sleep(span).await;
    }
    let crashes = match fault {
        EngineFault::Crash(_) => path.contains(CRASHING_PATH),
        EngineFault::CrashOnPart(_) => {
            let mut parts = received.shared_parts.iter();
            parts.any(|part| part.as_str() == CRASHING_PART)
        }
        _ => false,
    };
    let fault = match fault.crash_kind() {
        Some(_) if !crashes => EngineFault::None,
        Some(CrashKind::AfterHead) => {
            let shared = Arc::clone(shared);
            tokio::spawn(async move {
                tokio::time::sleep(EVENT_INTERVAL * 3).await;
                shared.process_ended.notify_one();
            });
            partial_answer_fault(received)
        }
        _ => fault,
    };
    match fault {
        EngineFault::LoseAnswers => Err(AbortConnection),
        EngineFault::Hang => std::future::pending().await,
        EngineFault::Crash(_) | EngineFault::CrashOnPart(_) => {
            shared.process_ended.notify_one();
            std::future::pending().await
        }
        _ => {
            let software = shared.lock().entry.software.clone();
            Ok(build_answer(fault, received, run, &software, path))
        }
    }
}

/// Fault that sends the beginning of an answer and never completes it.
fn partial_answer_fault(received: &ReceivedHeaders) -> EngineFault {
    if received.model.is_some() {
        EngineFault::Trickle
    } else {
        EngineFault::BreakOff
    }
}

fn build_answer(
    fault: EngineFault,
    received: &ReceivedHeaders,
    run: RunGuard,
    software: &SoftwareVersion,
    path: &str,
) -> Response<StageBody> {
    let other_id = HeaderValue::from_static("another");
    let id = if fault == EngineFault::WrongId {
        Some(&other_id)
    } else {
        received.id.as_ref()
    };
    let signed_headers = signed_answer_headers(id, run.engine());
    match fault {
        EngineFault::CrossedRefusal | EngineFault::CrossedPause => {
            return crossed_refusal(&other_id, fault == EngineFault::CrossedPause);
        }
        EngineFault::Fail => return failed_answer(500, signed_headers),
        EngineFault::FailWith(status, true) => return failed_answer(status, signed_headers),
        EngineFault::FailWith(status, false) => {
            let mut headers = HeaderMap::new();
            set_own_answer_headers(&mut headers, id, None);
            return failed_answer(status, headers);
        }
        _ => {}
    }
    if let EngineFault::Resumed(fault) = fault
        && let Some(last_event) = received.last_event_id
    {
        return resumed_answer(fault, received, last_event, signed_headers);
    }
    if fault == EngineFault::Endless {
        return streamed_response(StatusCode::OK, signed_headers, endless_body());
    }
    let is_unframed = is_unframed(fault);
    let breaks_off = breaks_off(fault);
    if received.model.is_none() {
        return plain_answer(fault, path, signed_headers);
    }
    let first_event = received.last_event_id.map_or(1, |event| event + 1);
    match fault {
        EngineFault::SecondCopy => return second_copy(first_event, signed_headers),
        EngineFault::LongEvent => return long_event(run, signed_headers),
        EngineFault::RepeatedEvents => return repeated_events(first_event, signed_headers),
        _ => {}
    }
    let interval = if path.contains(SLOWEST_PATH) {
        SLOWEST_EVENT_INTERVAL
    } else if path.contains(SLOW_PATH) {
        SLOW_EVENT_INTERVAL
    } else {
        EVENT_INTERVAL
    };
    let event_software = software.clone();
    let events = stream::iter(first_event..=EVENT_COUNT).then(move |number| {
        let text = if fault == EngineFault::NoEventIds {
            format!("data: part {number}\n\n")
        } else {
            event_text(number, &event_software)
        };
        // The run lasts as long as its events.
        let _ = &run;
        async move {
            tokio::time::sleep(interval + pause_before(fault, number)).await;
            if breaks_off && number >= first_event + 2 {
                return Err(AbortConnection);
            }
            Ok(Frame::data(Bytes::from(text)))
        }
    });
    let mut signed_headers = signed_headers;
    signed_headers.insert(CONTENT_TYPE, EVENT_STREAM);
    if fault == EngineFault::Trickle {
        let events = events.take(2).chain(trickle());
        return streamed_response(StatusCode::OK, signed_headers, events.boxed());
    }
    let events = if fault == EngineFault::UnframedCut {
        let part = Frame::data(Bytes::from_static(CUT_EVENT));
        let part = stream::once(async move { Ok(part) });
        events.take(2).chain(part).boxed()
    } else {
        events.boxed()
    };
    let mut response = streamed_response(StatusCode::OK, signed_headers, events);
    if is_unframed {
        remove_framing(&mut response);
    }
    if fault == EngineFault::OtherFraming {
        let length: usize = (first_event..=EVENT_COUNT)
            .map(|number| event_text(number, software).len())
            .sum();
        response.headers_mut().insert(CONTENT_LENGTH, length.into());
    }
    response
}

/// Time for which a run is preempted before one of its events.
const fn pause_before(fault: EngineFault, event: u64) -> Duration {
    match fault {
        EngineFault::Preempt(span) if event == 3 => span,
        _ => Duration::ZERO,
    }
}

/// A refusal of another request, which may also ask for a pause, announce that the
/// engine leaves and name a limit.
fn crossed_refusal(other_id: &HeaderValue, asks_for_pause: bool) -> Response<StageBody> {
    let mut response = full_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let headers = response.headers_mut();
    headers.extend(not_executed_headers(Some(other_id)));
    if asks_for_pause {
        headers.extend(retry_after_headers(Some(other_id), CROSSED_PAUSE.into()));
        headers.extend(leaving_headers());
        headers.extend(rate_limit_headers(RequestRate(0)));
    }
    response
}

fn failed_answer(status: u16, headers: HeaderMap) -> Response<StageBody> {
    let mut response = full_response(failure_status(status), "failed");
    response.headers_mut().extend(headers);
    response
}

/// The status with this number; 500 if there is none.
pub(super) fn failure_status(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Makes the server send a response without length and chunks, and close the
/// connection after it.
pub(super) fn remove_framing(response: &mut Response<StageBody>) {
    response.headers_mut().remove(CONTENT_LENGTH);
    // HTTP/1.0 has no chunks.
    *response.version_mut() = Version::HTTP_10;
}

pub(super) fn endless_body() -> BoxStream<'static, Result<Frame<Bytes>, AbortConnection>> {
    stream::repeat_with(|| Ok(Frame::data(Bytes::from_static(ENDLESS_CHUNK)))).boxed()
}

/// Single bytes at intervals, without end; `:` begins a comment line of a stream.
pub(super) fn trickle() -> impl Stream<Item = Result<Frame<Bytes>, AbortConnection>> {
    stream::repeat(()).then(|()| async {
        tokio::time::sleep(TRICKLE_INTERVAL).await;
        Ok(Frame::data(Bytes::from_static(b":")))
    })
}
