//! Server-sent events out of pieces of any size.

use bytes::{Bytes, BytesMut};

/// Longest event in bytes; a longer one cannot be one token.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    scanned: usize,
}

impl EventBuffer {
    /// Adds a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
    }

    /// The next whole event with the blank line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let from = self.scanned.saturating_sub(3);
        let Some(end) = event_end(&self.bytes[from..]) else {
            self.scanned = self.bytes.len();
            return None;
        };
        self.scanned = 0;
        Some(self.bytes.split_to(from + end).freeze())
    }

    /// Whether the unfinished event is longer than any valid one.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.bytes.len() > MAX_EVENT_BYTES
    }

    /// Forgets an unfinished event.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.scanned = 0;
    }
}

fn event_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .iter()
        .enumerate()
        .filter(|(_, byte)| **byte == b'\n')
        .find_map(|(index, _)| match &bytes[index + 1..] {
            [b'\n', ..] => Some(index + 2),
            [b'\r', b'\n', ..] => Some(index + 3),
            _ => None,
        })
}

/// The data of an event, unless it is a comment.
#[must_use]
pub(crate) fn event_data(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}
