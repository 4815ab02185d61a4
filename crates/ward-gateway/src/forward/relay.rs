//! A stream on its way from an engine to a caller.
//!
//! Bytes are passed on as they come. A stream that may be resumed is passed on
//! in whole events, so that it can go on at another engine after the last event
//! that the caller has. Dropping a relay drops its connection to the engine,
//! which cancels the request there.

use std::rc::Rc;

use bytes::Bytes;
use futures::stream::{self, Stream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use slog::{info, warn};
use ward_fleet::health::EngineSignal;
use ward_protocol::{MonoTime, TimeSpan};

use super::attempt::{Attempt, AttemptRequest, ConnectionReuse, record_sign, send_attempt};
use super::events::EventSplitter;
use super::pool::EngineSender;
use crate::clock;
use crate::gateway::Gateway;
use crate::queue::{EngineSlot, RunState, WaitTicket, acquire_slot};

/// Time past the deadline in which an engine may still end its stream itself.
const END_GRACE: TimeSpan = TimeSpan::from_millis(100);
/// Silence, in pauses that the route allows, after which a stream goes on
/// elsewhere.
const MAX_SILENT_PAUSES: u64 = 3;
/// Least time that must be left for a stream to go on elsewhere.
const MIN_RESUME_TIME: TimeSpan = TimeSpan::from_millis(200);

quick_error! {
    /// A stream that ends without its end; the caller's connection is closed.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "quick_error knows no narrower visibility")]
    pub enum RelayError {
        /// The engine broke off.
        Broken {
            display("the engine broke off")
        }
        /// Its time ran out.
        Timeout {
            display("the time for the stream ran out")
        }
    }
}

/// What a relay begins with.
pub(crate) struct RelayStart {
    pub(crate) attempt: Attempt,
    pub(crate) request: AttemptRequest,
    /// How to find another engine, when the stream may be resumed.
    pub(crate) resume_ticket: Option<WaitTicket>,
    /// Engines that may still be tried.
    pub(crate) attempts_left: u32,
    /// Longest pause between events that is on time.
    pub(crate) event_pause: TimeSpan,
    /// Time without an event after which the caller leaves.
    pub(crate) caller_timeout: TimeSpan,
}

struct StreamSource {
    slot: EngineSlot,
    sender: EngineSender,
    body: Incoming,
    reuse: ConnectionReuse,
}

/// A stream on its way.
pub(crate) struct StreamRelay {
    gateway: Rc<Gateway>,
    request: AttemptRequest,
    source: Option<StreamSource>,
    resume_ticket: Option<WaitTicket>,
    attempts_left: u32,
    event_pause: TimeSpan,
    caller_timeout: TimeSpan,
    splitter: EventSplitter,
    bytes: u64,
    start_time: MonoTime,
    /// When bytes were last passed on.
    last_forwarded: MonoTime,
}

impl From<Attempt> for StreamSource {
    fn from(attempt: Attempt) -> Self {
        Self {
            reuse: ConnectionReuse::of(&attempt.answer),
            slot: attempt.slot,
            sender: attempt.sender,
            body: attempt.answer.into_body(),
        }
    }
}

enum RelayStep {
    Data(Bytes),
    End,
    Broken(&'static str),
    Timeout,
}

impl StreamRelay {
    pub(crate) fn new(gateway: Rc<Gateway>, start: RelayStart) -> Self {
        Self {
            gateway,
            request: start.request,
            source: Some(StreamSource::from(start.attempt)),
            resume_ticket: start.resume_ticket,
            attempts_left: start.attempts_left,
            event_pause: start.event_pause,
            caller_timeout: start.caller_timeout,
            splitter: EventSplitter::default(),
            bytes: 0,
            start_time: clock::now(),
            last_forwarded: clock::now(),
        }
    }

    /// The stream's bytes.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Bytes, RelayError>> {
        stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        })
    }

    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            match self.next_step().await {
                RelayStep::Data(bytes) => {
                    let bytes = self.split_events(bytes);
                    if !bytes.is_empty() {
                        self.bytes += bytes.len() as u64;
                        self.last_forwarded = clock::now();
                        return Ok(Some(bytes));
                    }
                    if self.splitter.is_too_long()
                        && !self.resume_elsewhere("an event has no end").await
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

    fn split_events(&mut self, bytes: Bytes) -> Bytes {
        if self.resume_ticket.is_some() {
            self.splitter.push(&bytes)
        } else {
            bytes
        }
    }

    async fn next_step(&mut self) -> RelayStep {
        let Some(source) = &mut self.source else {
            return RelayStep::End;
        };
        let now = clock::now();
        let mut deadline = self.request.deadline + END_GRACE;
        if self.resume_ticket.is_some() {
            // Bytes that complete no event are no sign of life.
            let max_silence = TimeSpan::from_millis(self.event_pause.millis() * MAX_SILENT_PAUSES);
            deadline = deadline.min(self.last_forwarded + max_silence);
        }
        let timeout = deadline.since(now).duration();
        let frame = tokio::time::timeout(timeout, source.body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => RelayStep::Data(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(_))) => {
                source.slot.set_run_state(RunState::BrokenOff);
                RelayStep::Broken("the engine broke off")
            }
            Ok(None) => RelayStep::End,
            Err(_) if clock::now() >= self.request.deadline => RelayStep::Timeout,
            Err(_) => RelayStep::Broken("the engine fell silent"),
        }
    }

    fn finish(&mut self) -> Option<Bytes> {
        let remainder = self.splitter.take_remainder();
        let source = self.source.take()?;
        record_sign(&self.gateway, &source.slot, EngineSignal::Answered);
        source.slot.set_run_state(RunState::Answered);
        info!(
            self.gateway.logger, "stream: ended"; "request" => &self.request.id_text,
            "engine" => %source.slot.engine.id, "bytes" => self.bytes,
            "millis" => clock::now().since(self.start_time).millis(),
        );
        let StreamSource {
            slot,
            sender,
            reuse,
            ..
        } = source;
        reuse.put_back(&self.gateway, &slot, sender);
        (!remainder.is_empty()).then_some(remainder)
    }

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
            "engine" => engine, "bytes" => self.bytes, "why" => %error,
            "millis" => clock::now().since(self.start_time).millis(),
        );
        error
    }

    /// Goes on at another engine after the last event that the caller has.
    async fn resume_elsewhere(&mut self, reason: &'static str) -> bool {
        let Some(source) = self.source.take() else {
            return false;
        };
        record_sign(&self.gateway, &source.slot, EngineSignal::Failed);
        let failed_engine = source.slot.engine.id.clone();
        drop(source);
        let Some(mut ticket) = self.resume_ticket.clone() else {
            return false;
        };
        ticket.avoided.insert(failed_engine.clone());
        let caller_deadline = self.last_forwarded + self.caller_timeout;
        ticket.times.deadline = caller_deadline.min(self.request.deadline);
        while self.may_resume(&ticket) {
            self.attempts_left -= 1;
            info!(
                self.gateway.logger, "stream: goes on elsewhere"; "request" => &self.request.id_text,
                "former" => %failed_engine, "why" => reason, "after" => self.splitter.last_id(),
            );
            if let Some(attempt) = self.resend(&ticket).await {
                self.splitter.discard_partial();
                self.source = Some(StreamSource::from(attempt));
                self.resume_ticket = Some(ticket);
                self.last_forwarded = clock::now();
                return true;
            }
        }
        false
    }

    fn may_resume(&self, ticket: &WaitTicket) -> bool {
        self.attempts_left > 0
            && ticket.times.deadline.since(clock::now()) > MIN_RESUME_TIME
            && self.gateway.take_retry(&ticket.service)
    }

    async fn resend(&self, ticket: &WaitTicket) -> Option<Attempt> {
        let slot = match acquire_slot(&self.gateway, ticket.clone()).await {
            Ok(slot) => slot,
            Err(failure) => {
                warn!(
                    self.gateway.logger, "stream: no other engine";
                    "request" => &self.request.id_text, "why" => ?failure,
                );
                return None;
            }
        };
        let timeout = ticket.times.deadline.since(clock::now());
        let last_event_id = self.splitter.last_id();
        let sent = send_attempt(&self.gateway, &self.request, slot, last_event_id, timeout).await;
        // A send that failed was logged with its cause.
        sent.ok()
            .filter(|attempt| attempt.answer.status().is_success())
    }
}
