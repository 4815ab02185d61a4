//! How an engine's answer is delimited, and whether its end shows that it is whole.

use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use hyper::ext::ReasonPhrase;

use super::attempt::Attempt;
use crate::embedded::holds_status_line;
use crate::events::EventCursor;

const EVENT_STREAM: &str = "text/event-stream";

/// Whether the end of an answer's body shows only in the end of its connection.
pub(crate) fn is_unframed(method: &Method, head: &Parts) -> bool {
    let may_have_body = *method != Method::HEAD && has_body(head.status);
    may_have_body && ends_with_connection(&head.headers)
}

/// Whether an answer has neither a length nor chunks and ends with its connection.
fn ends_with_connection(headers: &HeaderMap) -> bool {
    let encoding = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    // With an encoding other than chunked, a length does not count.
    encoding.map_or_else(
        || !headers.contains_key(CONTENT_LENGTH),
        |encoding| !ends_chunked(encoding),
    )
}

/// Whether the last encoding that is named is `chunked`.
fn ends_chunked(encodings: &HeaderValue) -> bool {
    let text = encodings.to_str().unwrap_or_default();
    let last = text.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}

/// Whether a success with this status has a body.
fn has_body(status: StatusCode) -> bool {
    status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED
}

/// Whether the head of an answer holds the beginning of another head: the engine stopped
/// inside the one and wrote the other on the same connection, so that the status of the one
/// stands before the fields of the other.
pub(super) fn holds_another_head<B>(answer: &Response<B>) -> bool {
    let reason = answer.extensions().get::<ReasonPhrase>();
    let reason = reason.map(ReasonPhrase::as_bytes);
    let mut texts = answer
        .headers()
        .values()
        .map(HeaderValue::as_bytes)
        .chain(reason);
    texts.any(holds_status_line)
}

/// Content type of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamType {
    Events,
    /// The answer names no content type.
    Unstated,
    Other,
}

impl StreamType {
    fn of(headers: &HeaderMap) -> Self {
        let Some(value) = headers.get(CONTENT_TYPE) else {
            return Self::Unstated;
        };
        // Parameters, such as the character set, follow a semicolon.
        let text = value.to_str().unwrap_or_default();
        let media_type = text.split(';').next().unwrap_or_default().trim();
        if media_type.eq_ignore_ascii_case(EVENT_STREAM) {
            Self::Events
        } else {
            Self::Other
        }
    }
}

/// How the end of a stream shows.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamFraming {
    status: StatusCode,
    content_type: StreamType,
    /// Whether the stream ends with its connection.
    pub(super) ends_with_connection: bool,
}

impl StreamFraming {
    pub(super) fn of<B>(answer: &Response<B>) -> Self {
        Self {
            status: answer.status(),
            content_type: StreamType::of(answer.headers()),
            ends_with_connection: ends_with_connection(answer.headers()),
        }
    }

    /// Whether the answer is a stream of events that another engine may continue.
    pub(super) fn may_continue_elsewhere(self) -> bool {
        self.status == StatusCode::OK && self.content_type != StreamType::Other
    }

    /// Why the answer to a request that resumes a stream with this framing does not
    /// continue it; `None` if it does. An answer without content type continues only a
    /// stream whose caller got none either.
    pub(super) fn mismatch(self, resumed: &Attempt) -> Option<&'static str> {
        let framing = Self::of(&resumed.answer);
        if framing.status != self.status {
            return Some("the status differs");
        }
        if !resumed.fields.signed {
            return Some("the answer has no signature");
        }
        let fits =
            framing.content_type == StreamType::Events || framing.content_type == self.content_type;
        (!fits).then_some("the answer is no stream of events")
    }

    /// Why a stream that ended counts as broken off; `None` if it may be complete.
    /// `is_empty` is whether it brought no bytes, `cursor` its position.
    pub(super) fn early_end(self, is_empty: bool, cursor: EventCursor) -> Option<&'static str> {
        if !has_body(self.status) {
            return None;
        }
        if self.content_type == StreamType::Other {
            let is_cut = self.ends_with_connection && is_empty;
            return is_cut.then_some("the connection ended before the first byte");
        }
        if cursor.is_inside_event() {
            return Some("the stream ended inside an event");
        }
        let is_cut = self.ends_with_connection && !cursor.has_event();
        is_cut.then_some("the connection ended before the first event")
    }
}
