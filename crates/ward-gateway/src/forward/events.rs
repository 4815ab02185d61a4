//! Events in a stream of bytes.

use bytes::{Bytes, BytesMut};

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
/// Longest event that is kept until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Cuts a stream into whole events and remembers the newest id.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes; returns the events that they complete.
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

    /// Whether the event that is not whole yet is longer than any should be.
    pub(super) fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Takes what is left after the stream's end.
    pub(super) fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Forgets an event that was cut off.
    pub(super) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Id of the newest whole event.
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
