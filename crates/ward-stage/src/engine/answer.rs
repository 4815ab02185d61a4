//! What an engine answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ward_adapter::served::{
    EnginePath, ReceivedHeaders, ReportedState, engine_path, leaving_headers, not_executed_headers,
    parse_order, parse_request_headers, report_json, retry_after_headers, signed_answer_headers,
};

use super::{CRASHING_PATH, CrashKind, EngineFault, Shared};
use crate::ledger::{OrderRecord, RefusalRecord, RunRecord};
use crate::reply::{BreakOff, StageBody, streamed, whole};

/// Bytes of an answer without end that are sent at once.
const ENDLESS_PIECE: &[u8] = &[b'x'; 64 << 10];
const DRIBBLE_PAUSE: Duration = Duration::from_millis(100);
/// Events of a stream and the pause between them.
const EVENTS: u64 = 5;
const EVENT_PAUSE: Duration = Duration::from_millis(20);
const WORK_TIME: Duration = Duration::from_millis(10);

/// Answers a request, an order or a question.
pub(super) async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<StageBody>, BreakOff> {
    let (head, body) = request.into_parts();
    let reading = parse_request_headers(&head.headers);
    let path = head.uri.path().to_owned();
    let body = body.collect().await.map_err(|_| BreakOff)?.to_bytes();
    let id = shared.lock().entry.id.to_string();
    if reading.engine.as_ref().is_some_and(|engine| *engine != id) {
        return Ok(whole(StatusCode::MISDIRECTED_REQUEST, Bytes::new()));
    }
    let mut response = match engine_path(&path) {
        EnginePath::Order => answer_order(&shared, &body)?,
        EnginePath::Report => answer_report(&shared),
        EnginePath::Request => answer_request(&shared, &reading, &path).await?,
    };
    if shared.lock().fault == EngineFault::Leaving {
        response.headers_mut().extend(leaving_headers());
    }
    Ok(response)
}

fn answer_report(shared: &Shared) -> Response<StageBody> {
    let mut state = shared.lock();
    state.settle();
    let body = report_json(&ReportedState {
        models: &state.entry.models,
        busy: state.is_busy(),
        sequence: state.sequence,
    });
    whole(StatusCode::OK, body)
}

fn answer_order(shared: &Shared, body: &[u8]) -> Result<Response<StageBody>, BreakOff> {
    let Some(asked) = parse_order(body) else {
        return Ok(whole(StatusCode::BAD_REQUEST, Bytes::new()));
    };
    let mut state = shared.lock();
    let (status, exceeded) = state.take_order(&asked);
    let fault = state.fault;
    let engine = state.entry.id.to_string();
    drop(state);
    shared.ledger.note_order(OrderRecord {
        engine,
        order: asked.order,
        fence: asked.fence,
        accepted: status == StatusCode::ACCEPTED,
        exceeded,
    });
    if fault == EngineFault::LoseOrderAnswers {
        return Err(BreakOff);
    }
    Ok(whole(status, Bytes::new()))
}

async fn answer_request(
    shared: &Arc<Shared>,
    reading: &ReceivedHeaders,
    path: &str,
) -> Result<Response<StageBody>, BreakOff> {
    let (fault, missing, engine) = {
        let mut state = shared.lock();
        state.settle();
        let missing = reading
            .model
            .as_ref()
            .is_some_and(|model| !state.holds(model));
        (state.fault, missing, state.entry.id.to_string())
    };
    if missing {
        return Ok(whole(StatusCode::MISDIRECTED_REQUEST, Bytes::new()));
    }
    let refusal = match fault {
        EngineFault::Full => Some(not_executed_headers()),
        EngineFault::RetryAfter(span) => Some(retry_after_headers(span.into())),
        _ => None,
    };
    if let Some(marks) = refusal {
        shared.ledger.note_refusal(RefusalRecord {
            engine,
            refused_at: Instant::now(),
        });
        let mut response = whole(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        response.headers_mut().extend(marks);
        return Ok(response);
    }
    let id = reading
        .id
        .as_ref()
        .and_then(|id| id.to_str().ok())
        .unwrap_or("-");
    shared.ledger.note_run(RunRecord {
        request: id.to_owned(),
        engine: engine.clone(),
        path: path.to_owned(),
        begun_at: Instant::now(),
        resumed: reading.last_event_id.is_some(),
    });
    tokio::time::sleep(WORK_TIME).await;
    let fault = match fault {
        EngineFault::Crash(_) if !path.contains(CRASHING_PATH) => EngineFault::None,
        EngineFault::Crash(CrashKind::AfterHead) => {
            let shared = Arc::clone(shared);
            tokio::spawn(async move {
                tokio::time::sleep(EVENT_PAUSE * 3).await;
                shared.crashed.notify_one();
            });
            cut_short(reading)
        }
        fault => fault,
    };
    match fault {
        EngineFault::LoseAnswers => Err(BreakOff),
        EngineFault::Hang => std::future::pending().await,
        EngineFault::Crash(_) => {
            shared.crashed.notify_one();
            std::future::pending().await
        }
        _ => Ok(run_answer(fault, reading, &engine, path)),
    }
}

/// The fault that keeps an answer from its end until the engine has crashed.
fn cut_short(reading: &ReceivedHeaders) -> EngineFault {
    if reading.model.is_some() {
        EngineFault::Trickle
    } else {
        EngineFault::BreakOff
    }
}

fn run_answer(
    fault: EngineFault,
    reading: &ReceivedHeaders,
    engine: &str,
    path: &str,
) -> Response<StageBody> {
    let other = HeaderValue::from_static("another");
    let id = if fault == EngineFault::WrongId {
        Some(&other)
    } else {
        reading.id.as_ref()
    };
    let marks = signed_answer_headers(id, engine);
    if fault == EngineFault::Fail {
        let mut response = whole(StatusCode::INTERNAL_SERVER_ERROR, "failed");
        response.headers_mut().extend(marks);
        return response;
    }
    if fault == EngineFault::Endless {
        let pieces = stream::repeat_with(|| Ok(Frame::data(Bytes::from_static(ENDLESS_PIECE))));
        return streamed(StatusCode::OK, marks, pieces.boxed());
    }
    if reading.model.is_none() {
        let mut response = whole(StatusCode::OK, format!("served {path}"));
        response.headers_mut().extend(marks);
        if fault == EngineFault::BreakOff {
            // More is announced than follows.
            let headers = response.headers_mut();
            headers.insert(http::header::CONTENT_LENGTH, 10_000.into());
        }
        return response;
    }
    let breaks = fault == EngineFault::BreakOff;
    let first = reading.last_event_id.map_or(1, |event| event + 1);
    let events = stream::iter(first..=EVENTS).then(move |number| async move {
        tokio::time::sleep(EVENT_PAUSE).await;
        if breaks && number >= first + 2 {
            return Err(BreakOff);
        }
        let text = format!("id: {number}\ndata: part {number}\n\n");
        Ok(Frame::data(Bytes::from(text)))
    });
    if fault == EngineFault::Trickle {
        let events = events.take(2).chain(dribble());
        return streamed(StatusCode::OK, marks, events.boxed());
    }
    streamed(StatusCode::OK, marks, events.boxed())
}

/// A byte now and then, for ever.
fn dribble() -> impl Stream<Item = Result<Frame<Bytes>, BreakOff>> {
    stream::repeat(()).then(|()| async {
        tokio::time::sleep(DRIBBLE_PAUSE).await;
        Ok(Frame::data(Bytes::from_static(b":")))
    })
}
