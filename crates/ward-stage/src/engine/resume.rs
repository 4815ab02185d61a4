//! Faulty answers to requests that resume a stream.

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::Frame;
use ward_adapter::served::{ReceivedHeaders, not_executed_headers};

use super::ResumeFault;
use super::answer::{
    CUT_EVENT, EVENT_COUNT, EVENT_STREAM, endless_body, failure_status, remove_framing, trickle,
};
use super::software::plain_event_text;
use crate::ledger::RunGuard;
use crate::reply::{StageBody, full_response, streamed_response};

const LONG_EVENT_BYTES: usize = 240 << 10;

/// The answer to a request that resumes a stream after the event `last_event`; `headers`
/// are the id and signature of an answer.
pub(super) fn resumed_answer(
    fault: ResumeFault,
    received: &ReceivedHeaders,
    last_event: u64,
    mut headers: HeaderMap,
) -> Response<StageBody> {
    headers.insert(CONTENT_TYPE, EVENT_STREAM);
    match fault {
        ResumeFault::Status(status) => status_response(status, headers),
        ResumeFault::Refusal => {
            let headers = not_executed_headers(received.id.as_ref());
            whole_response(StatusCode::SERVICE_UNAVAILABLE, headers, String::new())
        }
        ResumeFault::ContentType(content_type) => {
            headers.remove(CONTENT_TYPE);
            if !content_type.is_empty() {
                headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
            }
            whole_response(StatusCode::OK, headers, events_from(last_event + 1))
        }
        ResumeFault::Empty => whole_response(StatusCode::OK, headers, String::new()),
        ResumeFault::EmptyChunked => {
            streamed_response(StatusCode::OK, headers, stream::empty().boxed())
        }
        ResumeFault::EmptyUnframed => {
            let mut response = whole_response(StatusCode::OK, headers, String::new());
            remove_framing(&mut response);
            response
        }
        ResumeFault::Endless => streamed_response(StatusCode::OK, headers, endless_body()),
        ResumeFault::Trickle => {
            let part = stream::once(async { Ok(Frame::data(Bytes::from_static(CUT_EVENT))) });
            streamed_response(StatusCode::OK, headers, part.chain(trickle()).boxed())
        }
        ResumeFault::FromStart => whole_response(StatusCode::OK, headers, events_from(1)),
        ResumeFault::ReturnFeeds => {
            let events = events_from(last_event + 1).replace('\n', "\r\n");
            whole_response(StatusCode::OK, headers, events)
        }
    }
}

/// A stream that stops after two events and comes once more with its head.
pub(super) fn second_copy(first: u64, headers: HeaderMap) -> Response<StageBody> {
    let mut text = two_events(first);
    text.push_str("HTTP/1.1 200 OK\r\n");
    let lines = headers.iter().map(|(name, value)| {
        let value = value.to_str().unwrap_or_default();
        format!("{name}: {value}\r\n")
    });
    text.extend(lines);
    text.push_str("\r\n");
    text.push_str(&events_from(first));
    let mut response = event_response(headers, text);
    remove_framing(&mut response);
    response
}

/// A stream that begins again after two events and ends where its length does.
pub(super) fn repeated_events(first: u64, headers: HeaderMap) -> Response<StageBody> {
    let events = events_from(first);
    let mut text = two_events(first) + &events;
    text.truncate(events.len());
    event_response(headers, text)
}

/// The beginning of an event, within the length that daemons buffer, without end.
pub(super) fn long_event(run: RunGuard, mut headers: HeaderMap) -> Response<StageBody> {
    headers.insert(CONTENT_TYPE, EVENT_STREAM);
    let part = Bytes::from(format!("data: {}", "x".repeat(LONG_EVENT_BYTES)));
    let part = stream::once(async { Ok(Frame::data(part)) });
    let rest = stream::once(async move {
        let _run = run;
        std::future::pending().await
    });
    let body = part.chain(rest).boxed();
    streamed_response(StatusCode::OK, headers, body)
}

fn two_events(first: u64) -> String {
    (first..first + 2).map(plain_event_text).collect()
}

fn event_response(headers: HeaderMap, text: String) -> Response<StageBody> {
    let mut response = whole_response(StatusCode::OK, headers, text);
    response.headers_mut().insert(CONTENT_TYPE, EVENT_STREAM);
    response
}

fn events_from(first: u64) -> String {
    (first..=EVENT_COUNT).map(plain_event_text).collect()
}

/// A whole answer with a status, and with a body that looks like an event where the status
/// allows one.
fn status_response(status: u16, headers: HeaderMap) -> Response<StageBody> {
    let status = failure_status(status);
    let body = match status {
        StatusCode::NO_CONTENT => String::new(),
        _ => events_from(EVENT_COUNT),
    };
    whole_response(status, headers, body)
}

fn whole_response(status: StatusCode, headers: HeaderMap, body: String) -> Response<StageBody> {
    let mut response = full_response(status, body);
    response.headers_mut().extend(headers);
    response
}
