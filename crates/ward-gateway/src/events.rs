//! Splits a byte stream into server-sent events.
//!
//! Lines end with a line feed, a carriage return or both; an empty line ends an event.
//! A stream that ends before that was broken off inside the event.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";
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

/// Splits a stream into complete events and keeps the newest event id.
#[derive(Debug, Default)]
pub struct EventSplitter {
    cursor: EventCursor,
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Appends bytes; returns all events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let buffered = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let end = self.cursor.advance(bytes);
        if end == 0 {
            return Bytes::new();
        }
        let complete = self.partial.split_to(buffered + end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
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
    }

    /// Id of the newest complete event that had one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r'));
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    Some(id.trim().to_owned())
}
