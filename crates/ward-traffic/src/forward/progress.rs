//! What a caller has of a stream, and what each event adds to it.

use std::borrow::Cow;

use serde::Deserialize;
use ward_protocol::RequestId;

use super::event::event_data;

const END_MARK: &[u8] = b"[DONE]";

/// Whether a stream read as a whole has its end mark.
pub(crate) fn ends_whole(stream: &[u8]) -> bool {
    stream.trim_ascii_end().ends_with(END_MARK)
}

#[derive(Deserialize)]
struct ChunkHead<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(default)]
    position: Option<u64>,
}

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamStep {
    /// Pass it on.
    Deliver,
    /// The caller has it already.
    Skip,
    /// Pass it on; the stream is whole.
    End,
    /// It is another request's, or tokens before it are missing.
    Broken,
}

/// What a caller has of a stream.
#[derive(Debug)]
pub struct StreamProgress {
    request: String,
    next: u64,
    /// Events without position that the caller has since the last token.
    loose: u32,
    /// Whether the source began again and repeats what the caller has.
    replay: Option<ReplayState>,
}

#[derive(Debug, Clone, Copy)]
struct ReplayState {
    next: u64,
    loose: u32,
}

impl StreamProgress {
    /// Nothing yet of the stream of `request`.
    #[must_use]
    pub fn new(request: RequestId) -> Self {
        Self {
            request: request.to_string(),
            next: 0,
            loose: 0,
            replay: None,
        }
    }

    /// All tokens of the stream of `request` before `from`.
    #[must_use]
    pub fn from_token(request: RequestId, from: u64) -> Self {
        Self {
            next: from,
            ..Self::new(request)
        }
    }

    /// The first token that the caller does not have.
    #[must_use]
    pub const fn next_token(&self) -> u64 {
        self.next
    }

    /// The source goes on from the first missing token.
    pub const fn mark_resumed(&mut self) {
        self.replay = Some(ReplayState {
            next: self.next,
            loose: 0,
        });
    }

    /// The source begins again from the first token.
    pub const fn mark_restarted(&mut self) {
        self.replay = Some(ReplayState { next: 0, loose: 0 });
    }

    /// Judges the next event.
    pub fn classify(&mut self, event: &[u8]) -> StreamStep {
        let Some(data) = event_data(event) else {
            return StreamStep::Deliver;
        };
        if data == END_MARK {
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
            None => self.classify_loose(),
        }
    }

    fn classify_end(&self) -> StreamStep {
        match self.replay {
            Some(replay) if replay.next < self.next => StreamStep::Broken,
            _ => StreamStep::End,
        }
    }

    fn classify_token(&mut self, position: u64) -> StreamStep {
        let expected = self.replay.map_or(self.next, |replay| replay.next);
        if position != expected {
            return StreamStep::Broken;
        }
        if position < self.next {
            self.replay = Some(ReplayState {
                next: position + 1,
                loose: 0,
            });
            return StreamStep::Skip;
        }
        self.replay = None;
        self.next += 1;
        self.loose = 0;
        StreamStep::Deliver
    }

    fn classify_loose(&mut self) -> StreamStep {
        if let Some(replay) = &mut self.replay {
            let behind = replay.next < self.next || replay.loose < self.loose;
            replay.loose += 1;
            if behind {
                return StreamStep::Skip;
            }
        }
        self.loose += 1;
        StreamStep::Deliver
    }
}
