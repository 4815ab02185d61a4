//! Resumption of a stream at another engine, within the same answer to the caller.

use slog::{info, warn};
use ward_fleet::health::EngineSignal;
use ward_protocol::TimeSpan;

use super::attempt::{Attempt, record_signal, send_attempt};
use super::relay::{StreamRelay, StreamSource};
use crate::clock;
use crate::queue::{WaitTicket, acquire_slot};

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
                self.splitter.begin_resumed();
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

    /// Sends the request again, to continue after the last forwarded event; `None` if no
    /// engine answers with success.
    async fn resend(&self, ticket: &WaitTicket) -> Option<Attempt> {
        let slot = match acquire_slot(&self.gateway, ticket.clone()).await {
            Ok(slot) => slot,
            Err(failure) => {
                warn!(
                    self.gateway.logger, "stream: no engine to resume at";
                    "request" => &self.request.id_text, "why" => ?failure,
                );
                return None;
            }
        };
        let timeout = ticket.times.deadline.since(clock::now());
        let last_event_id = self.splitter.last_id();
        let sent = send_attempt(&self.gateway, &self.request, slot, last_event_id, timeout).await;
        // `send_attempt` has logged the cause of a failure.
        sent.ok()
            .filter(|attempt| attempt.answer.status().is_success())
    }
}
