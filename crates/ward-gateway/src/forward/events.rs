//! Splits a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
/// Maximum length of an event that is buffered until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream into complete events and keeps the newest event id.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Appends bytes; returns all events that are complete now.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial) else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Whether the incomplete event exceeds the maximum length.
    pub(super) fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Takes the bytes of an incomplete event at the end of the stream.
    pub(super) fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards an event that was cut off.
    pub(super) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Id of the newest complete event that had one.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let start = bytes
        .windows(EVENT_END.len())
        .rposition(|window| window == EVENT_END)?;
    Some(start + EVENT_END.len())
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    Some(id.trim().to_owned())
}
