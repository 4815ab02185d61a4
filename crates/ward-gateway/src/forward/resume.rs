//! Resumption of a stream at another engine, within the same answer to the caller.

use slog::{info, warn};
use ward_fleet::health::EngineSignal;
use ward_protocol::TimeSpan;

use super::attempt::{Attempt, record_signal, send_attempt};
use super::relay::{StreamRelay, StreamSource};
use crate::clock;
use crate::events::ResumePoint;
use crate::queue::{EngineSlot, RunState, WaitFailure, WaitTicket, acquire_slot};

/// Minimum remaining time for a stream to be resumed at another engine.
const MIN_RESUME_TIME: TimeSpan = TimeSpan::from_millis(200);

impl StreamRelay {
    /// Resumes the stream at another engine, after the last event that the caller has
    /// received; returns whether that succeeded.
    pub(super) async fn resume_elsewhere(&mut self, reason: &'static str) -> bool {
        let Some(source) = self.source.take() else {
            return false;
        };
        record_signal(&self.gateway, &source.slot, EngineSignal::Failed);
        let failed_engine = source.slot.engine.id.clone();
        let software = source.slot.engine.software.clone();
        drop(source);
        let Some(mut ticket) = self.resume_ticket.clone() else {
            return false;
        };
        if *self.splitter.resume_point() == ResumePoint::Unknown {
            warn!(
                self.gateway.logger, "stream: not resumable after an event without id";
                "request" => &self.request.id_text, "why" => reason,
            );
            return false;
        }
        ticket.avoided.insert(failed_engine.clone());
        // What engines of two versions write does not fit together.
        ticket.software = Some(software);
        let caller_deadline = self.last_forwarded + self.caller_timeout;
        ticket.times.deadline = caller_deadline.min(self.request.deadline);
        while self.may_resume(&ticket) {
            self.attempts_left -= 1;
            info!(
                self.gateway.logger, "stream: goes on elsewhere"; "request" => &self.request.id_text,
                "former" => %failed_engine, "why" => reason, "after" => self.splitter.last_id(),
            );
            let Some(slot) = self.acquire_slot(&ticket).await else {
                return false;
            };
            let engine = slot.engine.id.clone();
            if let Some(attempt) = self.resend(&ticket, slot).await {
                self.splitter.begin_resumed();
                self.source = Some(StreamSource::resumed(attempt, self.event_pause));
                self.resume_ticket = Some(ticket);
                self.last_forwarded = clock::now();
                return true;
            }
            ticket.avoided.insert(engine);
        }
        false
    }

    fn may_resume(&self, ticket: &WaitTicket) -> bool {
        self.attempts_left > 0
            && ticket.times.deadline.since(clock::now()) > MIN_RESUME_TIME
            && self.gateway.take_retry(&ticket.service)
    }

    /// Whether an engine of the required software version holds what the stream needs, or
    /// only that version serves, so that a load is likely. Otherwise the caller had better
    /// take the stream up with a request that may wait for a load.
    fn has_engine_of_version(&self, ticket: &WaitTicket) -> bool {
        let requirement = ticket.requirement();
        let table = self.gateway.table.borrow();
        let mut engines = table.of_service(&ticket.service);
        if engines.any(|engine| requirement.has_software(engine) && requirement.fits(engine)) {
            return true;
        }
        let mut engines = table.of_service(&ticket.service);
        engines.all(|engine| requirement.has_software(engine))
    }

    /// Waits for a slot; `None` if no engine can continue the stream in time.
    async fn acquire_slot(&self, ticket: &WaitTicket) -> Option<EngineSlot> {
        if !self.has_engine_of_version(ticket) {
            warn!(
                self.gateway.logger, "stream: no engine of its software version";
                "request" => &self.request.id_text,
                "version" => ticket.software.as_ref().map(ToString::to_string),
            );
            return None;
        }
        let acquired = acquire_slot(&self.gateway, ticket.clone()).await;
        let log_failure = |failure: &WaitFailure| {
            warn!(
                self.gateway.logger, "stream: no engine to resume at";
                "request" => &self.request.id_text, "why" => ?failure,
            );
        };
        acquired.inspect_err(log_failure).ok()
    }

    /// Sends the request again, to continue after the last forwarded event; `None` if the
    /// engine does not answer with a stream that continues this one.
    async fn resend(&self, ticket: &WaitTicket, slot: EngineSlot) -> Option<Attempt> {
        let timeout = ticket.times.deadline.since(clock::now());
        let last_event_id = self.splitter.last_id();
        let sent = send_attempt(&self.gateway, &self.request, slot, last_event_id, timeout).await;
        // `send_attempt` has logged the cause of a failure.
        let attempt = sent.ok()?;
        let Some(reason) = self.first_framing.mismatch(&attempt) else {
            return Some(attempt);
        };
        let status = attempt.answer.status();
        warn!(
            self.gateway.logger, "stream: not continued by the answer";
            "request" => &self.request.id_text, "engine" => %attempt.slot.engine.id,
            "status" => status.as_u16(), "why" => reason,
        );
        if status.is_success() {
            record_signal(&self.gateway, &attempt.slot, EngineSignal::Failed);
        } else {
            attempt.slot.set_run_state(RunState::Failed);
        }
        None
    }
}
