//! Tracks which events of a stream the caller has received, and decides what to do
//! with each further event.

use std::borrow::Cow;

use serde::Deserialize;
use ward_protocol::RequestId;

use super::event::event_data;

const END_MARKER: &[u8] = b"[DONE]";

/// Whether a stream that was read to its end has the end marker.
pub(crate) fn has_end_marker(stream: &[u8]) -> bool {
    stream.trim_ascii_end().ends_with(END_MARKER)
}

#[derive(Deserialize)]
struct ChunkHead<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(default)]
    position: Option<u64>,
}

/// Action for an event of the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamStep {
    /// Forward it to the caller.
    Deliver,
    /// Drop it, because the caller has it already.
    Skip,
    /// Forward it; the stream is complete.
    End,
    /// Abandon this source: the event is malformed, belongs to another request or is
    /// out of order.
    Broken,
}

/// The part of a stream that the caller has received.
#[derive(Debug)]
pub struct StreamProgress {
    request: String,
    /// Position of the first token that the caller does not have.
    next_token: u64,
    /// Events without a position that the caller got after the last token.
    unpositioned: u32,
    /// Progress of a source that was resumed or restarted; `None` before that, and once
    /// the source has delivered a token that is new to the caller.
    replay: Option<ReplayState>,
}

#[derive(Debug, Clone, Copy)]
struct ReplayState {
    /// Position of the next token that the source sends.
    next_token: u64,
    /// Events without a position that the source has sent after its last token.
    unpositioned: u32,
}

impl StreamProgress {
    /// Progress of a caller that has received nothing of the stream of `request`.
    #[must_use]
    pub fn new(request: RequestId) -> Self {
        Self {
            request: request.to_string(),
            next_token: 0,
            unpositioned: 0,
            replay: None,
        }
    }

    /// Progress of a caller that has all tokens before `from` of the stream of
    /// `request`.
    #[must_use]
    pub fn from_token(request: RequestId, from: u64) -> Self {
        Self {
            next_token: from,
            ..Self::new(request)
        }
    }

    /// Position of the first token that the caller does not have.
    #[must_use]
    pub const fn next_token(&self) -> u64 {
        self.next_token
    }

    /// Records that a new source begins at the first missing token.
    pub const fn mark_resumed(&mut self) {
        self.replay = Some(ReplayState {
            next_token: self.next_token,
            unpositioned: 0,
        });
    }

    /// Records that a new source begins at the first token of the stream.
    pub const fn mark_restarted(&mut self) {
        self.replay = Some(ReplayState {
            next_token: 0,
            unpositioned: 0,
        });
    }

    /// Decides what to do with the next event, and records what the caller gets.
    pub fn classify(&mut self, event: &[u8]) -> StreamStep {
        let Some(data) = event_data(event) else {
            return StreamStep::Deliver;
        };
        if data == END_MARKER {
            return self.classify_end();
        }
        let Ok(head) = serde_json::from_slice::<ChunkHead<'_>>(data) else {
            return StreamStep::Broken;
        };
        if head.id != self.request {
            return StreamStep::Broken;
        }
        match head.position {
            Some(position) => self.classify_token(position),
            None => self.classify_unpositioned(),
        }
    }

    fn classify_end(&self) -> StreamStep {
        match self.replay {
            Some(replay) if replay.next_token < self.next_token => StreamStep::Broken,
            _ => StreamStep::End,
        }
    }

    fn classify_token(&mut self, position: u64) -> StreamStep {
        let expected = self
            .replay
            .map_or(self.next_token, |replay| replay.next_token);
        if position != expected {
            return StreamStep::Broken;
        }
        if position < self.next_token {
            self.replay = Some(ReplayState {
                next_token: position + 1,
                unpositioned: 0,
            });
            return StreamStep::Skip;
        }
        self.replay = None;
        self.next_token += 1;
        self.unpositioned = 0;
        StreamStep::Deliver
    }

    fn classify_unpositioned(&mut self) -> StreamStep {
        if let Some(replay) = &mut self.replay {
            let behind =
                replay.next_token < self.next_token || replay.unpositioned < self.unpositioned;
            replay.unpositioned += 1;
            if behind {
                return StreamStep::Skip;
            }
        }
        self.unpositioned += 1;
        StreamStep::Deliver
    }
}
