//! Splits a byte stream into server-sent events.
//!
//! Lines end with a line feed, a carriage return or both; an empty line ends an event.
//! A stream that ends before that was broken off inside the event.

use bytes::{Bytes, BytesMut};
use http::HeaderValue;

const ID_FIELD: &[u8] = b"id:";
const DATA_FIELD: &[u8] = b"data:";
const COMMENT_START: u8 = b':';
/// Maximum length of an event that is buffered until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// What the current line of a stream holds so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LineState {
    /// Nothing.
    #[default]
    Empty,
    /// Nothing, and the line before ended with a carriage return, whose line feed may
    /// follow.
    AfterReturn,
    Comment,
    Field,
}

/// Position in a stream of events.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventCursor {
    line: LineState,
    inside_event: bool,
    any_event: bool,
}

impl EventCursor {
    /// Moves past bytes; returns the number of bytes up to the end of the last event
    /// that is complete, zero if none ended in these bytes.
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        let mut end = 0;
        for (index, byte) in bytes.iter().enumerate() {
            if self.ends_event(*byte) {
                end = index + 1;
            }
        }
        end
    }

    fn ends_event(&mut self, byte: u8) -> bool {
        match byte {
            b'\n' if self.line == LineState::AfterReturn => {
                self.line = LineState::Empty;
                !self.inside_event && self.any_event
            }
            b'\n' => self.end_line(LineState::Empty),
            b'\r' => self.end_line(LineState::AfterReturn),
            _ => {
                self.line = match self.line {
                    LineState::Empty | LineState::AfterReturn if byte == COMMENT_START => {
                        LineState::Comment
                    }
                    LineState::Comment => LineState::Comment,
                    _ => LineState::Field,
                };
                self.inside_event |= self.line == LineState::Field;
                false
            }
        }
    }

    /// Ends the current line; returns whether an event ends with it.
    fn end_line(&mut self, next: LineState) -> bool {
        let is_empty = matches!(self.line, LineState::Empty | LineState::AfterReturn);
        let ends = is_empty && self.inside_event;
        self.line = next;
        self.inside_event &= !ends;
        self.any_event |= ends;
        ends
    }

    /// Whether an event has begun that is not complete.
    #[must_use]
    pub const fn is_inside_event(&self) -> bool {
        self.inside_event
    }

    /// Whether any event was complete so far.
    #[must_use]
    pub const fn has_event(&self) -> bool {
        self.any_event
    }
}

/// Where a stream would have to go on at another engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum ResumePoint {
    /// At its beginning, as no event has come.
    #[default]
    Start,
    /// After the event with this id.
    After(String),
    /// Unknown, as the newest event has no id.
    Unknown,
}

/// Splits a stream into complete events and keeps the newest event id.
#[derive(Debug, Default)]
pub struct EventSplitter {
    cursor: EventCursor,
    partial: BytesMut,
    point: ResumePoint,
    is_repeating: bool,
}

impl EventSplitter {
    /// Appends bytes; returns all events that are complete now, none if some of them came
    /// before.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let buffered = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let end = self.cursor.advance(bytes);
        if end == 0 {
            return Bytes::new();
        }
        let complete = self.partial.split_to(buffered + end).freeze();
        let ids = event_ids(&complete);
        let Some(last) = ids.last() else {
            return complete;
        };
        self.is_repeating |= holds_repetition(self.last_id(), &ids);
        if self.is_repeating {
            return Bytes::new();
        }
        self.point = last.as_ref().map_or(ResumePoint::Unknown, |id| {
            ResumePoint::After((*id).to_owned())
        });
        complete
    }

    /// Whether events came again, in a stream that is resumed or within one answer.
    #[must_use]
    pub const fn is_repeating(&self) -> bool {
        self.is_repeating
    }

    /// Moves past bytes that are forwarded as they are.
    pub fn pass(&mut self, bytes: &[u8]) {
        self.cursor.advance(bytes);
    }

    /// Position at the end of the bytes so far.
    #[must_use]
    pub const fn cursor(&self) -> EventCursor {
        self.cursor
    }

    /// Length of the incomplete event, which is buffered, in bytes.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Whether the incomplete event exceeds the maximum length.
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Takes the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards an event that was cut off, and begins with another stream that goes on
    /// after the newest complete event.
    pub fn begin_resumed(&mut self) {
        self.partial.clear();
        self.cursor = EventCursor::default();
        self.is_repeating = false;
    }

    /// Where another stream would have to go on.
    #[must_use]
    pub const fn resume_point(&self) -> &ResumePoint {
        &self.point
    }

    /// Id of the newest complete event; `None` if there is no event or it has no id.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        match &self.point {
            ResumePoint::After(id) => Some(id),
            ResumePoint::Start | ResumePoint::Unknown => None,
        }
    }
}

/// Whether one of the events with these ids does not come after the one before it; `former`
/// is the id of the event before them.
fn holds_repetition(former: Option<&str>, ids: &[Option<&str>]) -> bool {
    let known = former.into_iter().chain(ids.iter().copied().flatten());
    let mut pairs = known.clone().zip(known.skip(1));
    pairs.any(|(former, id)| !is_after(id, former))
}

/// The ids of complete events, in order; `None` for an event whose id is missing or cannot
/// be sent in a header. An event without id and data is none to its reader.
fn event_ids(events: &[u8]) -> Vec<Option<&str>> {
    let mut ids = Vec::new();
    let mut id = None;
    let mut counts = false;
    for line in lines(events) {
        if line.is_empty() && counts {
            ids.push(id.take());
            counts = false;
        }
        if let Some(value) = line.strip_prefix(ID_FIELD) {
            id = header_text(value);
            counts = true;
        }
        counts |= line.starts_with(DATA_FIELD);
    }
    ids
}

/// The lines of a text, without their ends.
fn lines(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    let pieces = text.split(|byte| *byte == b'\n');
    pieces
        .map(|piece| piece.strip_suffix(b"\r").unwrap_or(piece))
        .flat_map(|piece| piece.split(|byte| *byte == b'\r'))
}

/// The value of an id field, if it can be sent in a header.
fn header_text(value: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_usable = !text.is_empty() && HeaderValue::from_str(text).is_ok();
    is_usable.then_some(text)
}

/// Whether an event comes after another one of the same stream; ids that are no numbers
/// have no known order, and must only differ.
fn is_after(id: &str, former: &str) -> bool {
    match (id.parse::<u64>(), former.parse::<u64>()) {
        (Ok(id), Ok(former)) => id > former,
        _ => id != former,
    }
}
