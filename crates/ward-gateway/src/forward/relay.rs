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

use super::attempt::{Attempt, AttemptRequest, Reuse, note, send_attempt};
use super::events::EventCutter;
use super::pool::EngineSender;
use crate::clock;
use crate::gateway::Gateway;
use crate::queue::{EngineLease, RunState, WaitTicket, acquire};

/// Time past the deadline in which an engine may still end its stream itself.
const END_GRACE: TimeSpan = TimeSpan::from_millis(100);
/// Silence, in pauses that the route allows, after which a stream goes on
/// elsewhere.
const SILENT_PAUSES: u64 = 3;
/// Least time that must be left for a stream to go on elsewhere.
const LEAST_TIME: TimeSpan = TimeSpan::from_millis(200);

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
    pub(crate) resume: Option<WaitTicket>,
    /// Engines that may still be tried.
    pub(crate) attempts_left: u32,
    /// Longest pause between events that is on time.
    pub(crate) event_pause: TimeSpan,
    /// Time without an event after which the caller leaves.
    pub(crate) caller_patience: TimeSpan,
}

struct Source {
    lease: EngineLease,
    sender: EngineSender,
    body: Incoming,
    reuse: Reuse,
}

/// A stream on its way.
pub(crate) struct StreamRelay {
    gateway: Rc<Gateway>,
    request: AttemptRequest,
    source: Option<Source>,
    resume: Option<WaitTicket>,
    attempts_left: u32,
    event_pause: TimeSpan,
    caller_patience: TimeSpan,
    cutter: EventCutter,
    bytes: u64,
    begun: MonoTime,
    /// When bytes were last passed on.
    passed: MonoTime,
}

impl From<Attempt> for Source {
    fn from(attempt: Attempt) -> Self {
        Self {
            reuse: Reuse::of(&attempt.answer),
            lease: attempt.lease,
            sender: attempt.sender,
            body: attempt.answer.into_body(),
        }
    }
}

enum Step {
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
            source: Some(Source::from(start.attempt)),
            resume: start.resume,
            attempts_left: start.attempts_left,
            event_pause: start.event_pause,
            caller_patience: start.caller_patience,
            cutter: EventCutter::default(),
            bytes: 0,
            begun: clock::now(),
            passed: clock::now(),
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
            match self.step().await {
                Step::Data(bytes) => {
                    let bytes = self.cut(bytes);
                    if !bytes.is_empty() {
                        self.bytes += bytes.len() as u64;
                        self.passed = clock::now();
                        return Ok(Some(bytes));
                    }
                    if self.cutter.is_too_long() && !self.go_on("an event has no end").await {
                        return Err(self.give_up(RelayError::Broken));
                    }
                }
                Step::End => return Ok(self.finish()),
                Step::Timeout => return Err(self.give_up(RelayError::Timeout)),
                Step::Broken(why) => {
                    if !self.go_on(why).await {
                        return Err(self.give_up(RelayError::Broken));
                    }
                }
            }
        }
    }

    fn cut(&mut self, bytes: Bytes) -> Bytes {
        if self.resume.is_some() {
            self.cutter.push(&bytes)
        } else {
            bytes
        }
    }

    async fn step(&mut self) -> Step {
        let Some(source) = &mut self.source else {
            return Step::End;
        };
        let now = clock::now();
        let mut until = self.request.deadline + END_GRACE;
        if self.resume.is_some() {
            // Bytes that complete no event are no sign of life.
            let silence = TimeSpan::from_millis(self.event_pause.millis() * SILENT_PAUSES);
            until = until.min(self.passed + silence);
        }
        let patience = until.since(now).duration();
        let frame = tokio::time::timeout(patience, source.body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => Step::Data(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(_))) => {
                source.lease.note_run(RunState::BrokenOff);
                Step::Broken("the engine broke off")
            }
            Ok(None) => Step::End,
            Err(_) if clock::now() >= self.request.deadline => Step::Timeout,
            Err(_) => Step::Broken("the engine fell silent"),
        }
    }

    fn finish(&mut self) -> Option<Bytes> {
        let rest = self.cutter.take_rest();
        let source = self.source.take()?;
        note(&self.gateway, &source.lease, EngineSignal::Answered);
        source.lease.note_run(RunState::Answered);
        info!(
            self.gateway.logger, "stream: ended"; "request" => &self.request.id_text,
            "engine" => %source.lease.engine.id, "bytes" => self.bytes,
            "millis" => clock::now().since(self.begun).millis(),
        );
        let Source {
            lease,
            sender,
            reuse,
            ..
        } = source;
        reuse.put_back(&self.gateway, &lease, sender);
        (!rest.is_empty()).then_some(rest)
    }

    fn give_up(&mut self, error: RelayError) -> RelayError {
        let source = self.source.take();
        let engine = source.map(|source| source.lease.engine.id.to_string());
        self.gateway
            .metrics
            .answers
            .with_label_values(&["broken"])
            .inc();
        warn!(
            self.gateway.logger, "stream: broken off"; "request" => &self.request.id_text,
            "engine" => engine, "bytes" => self.bytes, "why" => %error,
            "millis" => clock::now().since(self.begun).millis(),
        );
        error
    }

    /// Goes on at another engine after the last event that the caller has.
    async fn go_on(&mut self, why: &'static str) -> bool {
        let Some(source) = self.source.take() else {
            return false;
        };
        note(&self.gateway, &source.lease, EngineSignal::Failed);
        let broken = source.lease.engine.id.clone();
        drop(source);
        let Some(mut ticket) = self.resume.clone() else {
            return false;
        };
        ticket.avoided.insert(broken.clone());
        let leaves = self.passed + self.caller_patience;
        ticket.times.deadline = leaves.min(self.request.deadline);
        while self.may_go_on(&ticket) {
            self.attempts_left -= 1;
            info!(
                self.gateway.logger, "stream: goes on elsewhere"; "request" => &self.request.id_text,
                "former" => %broken, "why" => why, "after" => self.cutter.last_id(),
            );
            if let Some(attempt) = self.resend(&ticket).await {
                self.cutter.drop_partial();
                self.source = Some(Source::from(attempt));
                self.resume = Some(ticket);
                self.passed = clock::now();
                return true;
            }
        }
        false
    }

    fn may_go_on(&self, ticket: &WaitTicket) -> bool {
        self.attempts_left > 0
            && ticket.times.deadline.since(clock::now()) > LEAST_TIME
            && self.gateway.take_repeat(&ticket.service)
    }

    async fn resend(&self, ticket: &WaitTicket) -> Option<Attempt> {
        let lease = match acquire(&self.gateway, ticket.clone()).await {
            Ok(lease) => lease,
            Err(failure) => {
                warn!(
                    self.gateway.logger, "stream: no other engine";
                    "request" => &self.request.id_text, "why" => ?failure,
                );
                return None;
            }
        };
        let patience = ticket.times.deadline.since(clock::now());
        let last_event = self.cutter.last_id();
        let sent = send_attempt(&self.gateway, &self.request, lease, last_event, patience).await;
        // A send that failed was logged with its cause.
        sent.ok()
            .filter(|attempt| attempt.answer.status().is_success())
    }
}
