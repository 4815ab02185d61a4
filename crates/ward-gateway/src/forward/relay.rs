//! Relays a stream from an engine to a caller.
//!
//! Bytes are forwarded as they arrive. A resumable stream is forwarded in complete
//! events, so that it can be resumed at another engine after the last event that
//! the caller has received. Dropping a relay closes its connection to the engine,
//! which cancels the request there.

use std::rc::Rc;

use bytes::Bytes;
use futures::stream::{self, Stream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use slog::{info, warn};
use ward_adapter::AnswerMarks;
use ward_fleet::health::EngineSignal;
use ward_protocol::{MonoTime, TimeSpan};

use super::attempt::{Attempt, AttemptRequest, record_signal};
use super::ending::{joined_end, unframed_end};
use super::framing::StreamFraming;
use super::pool::EngineConnection;
use super::reuse::ConnectionReuse;
use super::silence::SilenceWatch;
use crate::buffer::BufferShare;
use crate::clock;
use crate::embedded::{HeadFinding, HeadScanner};
use crate::events::{EventCursor, EventSplitter};
use crate::gateway::Gateway;
use crate::queue::{EngineSlot, RunState, WaitTicket};

/// Time after the deadline within which an engine may still end the stream itself.
const END_GRACE: TimeSpan = TimeSpan::from_millis(100);
/// Time without an event, as a multiple of the route's longest pause between events,
/// after which a resumable stream's engine is asked for its runs.
const MAX_SILENT_PAUSES: u64 = 3;

quick_error! {
    /// An error that ends a stream before it is complete, and closes the caller's
    /// connection.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "quick_error knows no narrower visibility")]
    pub enum RelayError {
        /// The engine failed and the stream could not be resumed.
        Broken {
            display("the engine broke off")
        }
        /// The deadline passed.
        Timeout {
            display("the time for the stream ran out")
        }
    }
}

/// The input of a relay.
pub(crate) struct RelayStart {
    pub(crate) attempt: Attempt,
    pub(crate) request: AttemptRequest,
    /// The request's ticket, used to find another engine; `None` when the stream is
    /// not resumable.
    pub(crate) resume_ticket: Option<WaitTicket>,
    /// Attempts left to resume the stream at another engine.
    pub(crate) attempts_left: u32,
    /// Longest pause between events that the route allows.
    pub(crate) event_pause: TimeSpan,
    /// Time without an event after which the caller is assumed to have disconnected; a
    /// resumed stream must begin before that.
    pub(crate) caller_timeout: TimeSpan,
}

/// The answer of the engine that a stream currently comes from.
pub(super) struct StreamSource {
    pub(super) slot: EngineSlot,
    connection: EngineConnection,
    body: Incoming,
    reuse: ConnectionReuse,
    framing: StreamFraming,
    scanner: HeadScanner,
    silence: SilenceWatch,
    /// Whether it continues the stream of another engine.
    is_resumed: bool,
    /// Whether no bytes have come from it.
    is_empty: bool,
}

/// A stream that is being relayed.
pub(crate) struct StreamRelay {
    pub(super) gateway: Rc<Gateway>,
    pub(super) request: AttemptRequest,
    /// `None` once the stream has ended, or while it has no engine.
    pub(super) source: Option<StreamSource>,
    /// How the answer began whose head the caller got.
    pub(super) first_framing: StreamFraming,
    pub(super) resume_ticket: Option<WaitTicket>,
    pub(super) attempts_left: u32,
    pub(super) event_pause: TimeSpan,
    pub(super) caller_timeout: TimeSpan,
    pub(super) splitter: EventSplitter,
    /// Memory for the incomplete event of a resumable stream.
    partial_share: BufferShare,
    has_memory: bool,
    forwarded_bytes: u64,
    start_time: MonoTime,
    /// When bytes were last forwarded, or the stream was last resumed.
    pub(super) last_forwarded: MonoTime,
}

impl StreamSource {
    fn new(attempt: Attempt, event_pause: TimeSpan) -> Self {
        let max_silence = TimeSpan::from_millis(event_pause.millis() * MAX_SILENT_PAUSES);
        Self {
            silence: SilenceWatch::new(max_silence),
            reuse: ConnectionReuse::of(&attempt.answer),
            framing: StreamFraming::of(&attempt.answer),
            scanner: HeadScanner::new(AnswerMarks::of(attempt.answer.headers())),
            slot: attempt.slot,
            connection: attempt.connection,
            body: attempt.answer.into_body(),
            is_resumed: false,
            is_empty: true,
        }
    }

    /// The source of a stream that an attempt continues.
    pub(super) fn resumed(attempt: Attempt, event_pause: TimeSpan) -> Self {
        Self {
            is_resumed: true,
            ..Self::new(attempt, event_pause)
        }
    }

    /// The step at the end of the answer, at this position.
    async fn end_step(&self, cursor: EventCursor) -> RelayStep {
        let mut reason = self.early_end(cursor);
        let is_unframed = self.framing.ends_with_connection;
        if reason.is_none() && !is_unframed {
            let finding = self.scanner.finding_at_end();
            reason = joined_end(finding, &self.connection, is_unframed).await;
        }
        if reason.is_none() && self.framing.ends_with_connection && !self.is_empty {
            reason = unframed_end(&self.slot, &self.connection).await;
        }
        match reason {
            Some(reason) => {
                self.slot.set_run_state(RunState::BrokenOff);
                RelayStep::Broken(reason)
            }
            None => RelayStep::End,
        }
    }

    fn early_end(&self, cursor: EventCursor) -> Option<&'static str> {
        if self.is_resumed && !cursor.has_event() {
            // The engine before did not end the stream, so some of it is missing.
            return Some("the resumed stream ended before its first event");
        }
        self.framing.early_end(self.is_empty, cursor)
    }
}

/// Result of reading the next frame from the engine.
enum RelayStep {
    Data(Bytes),
    End,
    Broken(&'static str),
    Timeout,
}

impl StreamRelay {
    pub(crate) fn new(gateway: Rc<Gateway>, start: RelayStart) -> Self {
        let source = StreamSource::new(start.attempt, start.event_pause);
        let first_framing = source.framing;
        let partial_share = gateway.buffers.share();
        let resume_ticket = start
            .resume_ticket
            .filter(|_| first_framing.may_continue_elsewhere());
        Self {
            gateway,
            request: start.request,
            source: Some(source),
            first_framing,
            resume_ticket,
            attempts_left: start.attempts_left,
            event_pause: start.event_pause,
            caller_timeout: start.caller_timeout,
            splitter: EventSplitter::default(),
            partial_share,
            has_memory: true,
            forwarded_bytes: 0,
            start_time: clock::now(),
            last_forwarded: clock::now(),
        }
    }

    /// Turns the relay into the stream of bytes for the caller.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Bytes, RelayError>> {
        stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => None,
                Err(error) => {
                    // The connection drops what it has not written yet, the head included.
                    tokio::task::yield_now().await;
                    Some((Err(error), None))
                }
            }
        })
    }

    /// The next bytes to forward; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            match self.next_step().await {
                RelayStep::Data(bytes) => {
                    let bytes = self.split_events(bytes);
                    if !bytes.is_empty() {
                        self.forwarded_bytes += bytes.len() as u64;
                        self.last_forwarded = clock::now();
                        return Ok(Some(bytes));
                    }
                    if let Some(reason) = self.splitter_failure()
                        && !self.resume_elsewhere(reason).await
                    {
                        return Err(self.break_off(RelayError::Broken));
                    }
                }
                RelayStep::End => return Ok(self.finish()),
                RelayStep::Timeout => return Err(self.break_off(RelayError::Timeout)),
                RelayStep::Broken(reason) => {
                    if !self.resume_elsewhere(reason).await {
                        return Err(self.break_off(RelayError::Broken));
                    }
                }
            }
        }
    }

    /// The bytes to forward: complete events of a resumable stream, otherwise all.
    fn split_events(&mut self, bytes: Bytes) -> Bytes {
        if self.resume_ticket.is_some() {
            let complete = self.splitter.push(&bytes);
            let partial_bytes = self.splitter.partial_bytes();
            self.has_memory = self.partial_share.resize_to(partial_bytes);
            complete
        } else {
            self.splitter.pass(&bytes);
            bytes
        }
    }

    /// Why the engine's events cannot be forwarded, if so.
    fn splitter_failure(&self) -> Option<&'static str> {
        if self.splitter.is_repeating() {
            return Some("the engine repeats events");
        }
        if !self.has_memory {
            return Some("there is no memory left for an event");
        }
        let is_too_long = self.splitter.is_too_long();
        is_too_long.then_some("an event is too long")
    }

    async fn next_step(&mut self) -> RelayStep {
        let Some(source) = &mut self.source else {
            return RelayStep::End;
        };
        let deadline = self.request.deadline + END_GRACE;
        let remaining = deadline.since(clock::now()).duration();
        let is_resumable = self.resume_ticket.is_some();
        let slot = &source.slot;
        // Bytes that complete no event don't end a silence.
        let run_end = source.silence.run_end(
            &self.gateway,
            slot,
            &self.request.id_text,
            self.last_forwarded,
        );
        let frame = tokio::select! {
            biased;
            frame = source.body.frame() => frame,
            reason = run_end, if is_resumable => return RelayStep::Broken(reason),
            () = tokio::time::sleep(remaining) => return RelayStep::Timeout,
        };
        match frame {
            Some(Ok(frame)) => {
                source.slot.record_progress();
                let bytes = frame.into_data().unwrap_or_default();
                source.is_empty &= bytes.is_empty();
                if source.scanner.advance(&bytes) != HeadFinding::Nothing {
                    source.slot.set_run_state(RunState::BrokenOff);
                    self.gateway.pool.record_unreliable(&source.slot.engine.id);
                    return RelayStep::Broken("the stream holds the head of another answer");
                }
                RelayStep::Data(bytes)
            }
            Some(Err(_)) => {
                source.slot.set_run_state(RunState::BrokenOff);
                RelayStep::Broken("the engine broke off")
            }
            None => source.end_step(self.splitter.cursor()).await,
        }
    }

    /// Records that the stream is complete and keeps its connection; returns the bytes
    /// that are left to forward.
    fn finish(&mut self) -> Option<Bytes> {
        let remainder = self.splitter.take_remainder();
        let source = self.source.take()?;
        record_signal(&self.gateway, &source.slot, EngineSignal::Answered);
        source.slot.set_run_state(RunState::Answered);
        info!(
            self.gateway.logger, "stream: ended"; "request" => &self.request.id_text,
            "engine" => %source.slot.engine.id, "bytes" => self.forwarded_bytes,
            "millis" => clock::now().since(self.start_time).millis(),
        );
        let StreamSource {
            slot,
            connection,
            reuse,
            ..
        } = source;
        reuse.put_back(&self.gateway, &slot, connection);
        (!remainder.is_empty()).then_some(remainder)
    }

    /// Counts and logs a stream that ends before it is complete; returns the error.
    fn break_off(&mut self, error: RelayError) -> RelayError {
        let source = self.source.take();
        let engine = source.map(|source| source.slot.engine.id.to_string());
        self.gateway
            .metrics
            .answers
            .with_label_values(&["broken"])
            .inc();
        warn!(
            self.gateway.logger, "stream: broken off"; "request" => &self.request.id_text,
            "engine" => engine, "bytes" => self.forwarded_bytes, "why" => %error,
            "millis" => clock::now().since(self.start_time).millis(),
        );
        error
    }
}
