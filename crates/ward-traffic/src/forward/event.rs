//! Splits a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes; a longer event cannot be a single token.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers pieces of a stream and splits them into events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    /// Number of bytes at the start that contain no complete event.
    scanned: usize,
}

impl EventBuffer {
    /// Appends a piece of the stream, which may end anywhere within an event.
    pub fn push(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
    }

    /// The next complete event, including the blank line that ends it; `None` if more
    /// bytes are needed.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let from = self.scanned.saturating_sub(3);
        let Some(end) = event_end(&self.bytes[from..]) else {
            self.scanned = self.bytes.len();
            return None;
        };
        self.scanned = 0;
        Some(self.bytes.split_to(from + end).freeze())
    }

    /// Whether the incomplete event exceeds the maximum size; valid once
    /// [`next_event`](Self::next_event) has returned `None`.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.bytes.len() > MAX_EVENT_BYTES
    }

    /// Discards all buffered bytes.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.scanned = 0;
    }
}

/// Index just after the first blank line, which ends an event; `None` if there is none.
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

/// The first `data:` line of an event; `None` if it has none, such as a comment.
#[must_use]
pub(crate) fn event_data(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}
