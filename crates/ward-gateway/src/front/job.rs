//! Processing of a routed request: waits for an engine, sends the request, retries
//! it where that is allowed, and answers it.

use std::rc::Rc;
use std::time::Duration;

use http::Response;
use slog::{info, warn};
use ward_fleet::{RouteKind, RunningCount, StreamOrigin};
use ward_protocol::{BackendId, MonoTime, TimeSpan};

use super::answer::{AnswerBody, OwnAnswer, promises_no_run, streamed_answer};
use super::collect::collect_answer;
use super::refusal::{Refusal, blocked_refusal, not_run, refuse};
use super::route::RoutedRequest;
use crate::clock;
use crate::forward::{
    Attempt, AttemptFailure, AttemptRequest, RelayStart, StreamRelay, send_attempt,
};
use crate::gateway::Gateway;
use crate::phase::RequestPhase;
use crate::queue::{WaitFailure, WaitTicket, acquire_slot};
use crate::streams::{OriginCopies, StreamTry, record_origin};

/// Attempts that did not reach an engine after which a request is refused.
const MAX_UNSENT: u32 = 6;
/// Refusals by engines after which a request is refused.
const MAX_REFUSALS: u32 = 12;
/// Delay after a first refusal by an engine; multiplied by the number of refusals.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(25);
/// Percentage of the route's target latency after which an idempotent request
/// without an answer is sent to another engine.
const ATTEMPT_TIMEOUT_PERCENT_OF_TARGET: u64 = 70;

/// A routed request that is being processed.
pub(super) struct ServeJob {
    pub(super) routed: RoutedRequest,
    pub(super) request: AttemptRequest,
    pub(super) ticket: WaitTicket,
    pub(super) stream: StreamTry,
    pub(super) arrival: MonoTime,
}

/// Outcomes of the attempts to serve a request so far.
#[derive(Default)]
struct Progress {
    /// Attempts in which an engine may have run the request.
    runs: u32,
    /// Attempts in which the request did not reach an engine.
    unsent: u32,
    /// Attempts in which an engine refused to run the request.
    refused: u32,
    /// An engine's error answer, forwarded when no further attempt succeeds.
    error_answer: Option<Response<AnswerBody>>,
}

impl ServeJob {
    /// Sends the request to an engine, and retries it where that is allowed.
    pub(super) async fn run(
        mut self,
        gateway: &Rc<Gateway>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let mut progress = Progress::default();
        loop {
            let slot = match acquire_slot(gateway, self.ticket.clone()).await {
                Ok(slot) => slot,
                Err(failure) => return self.wait_failure_result(progress, failure),
            };
            let waited = clock::now().since(self.arrival);
            gateway.metrics.waited.observe(waited.seconds());
            let engine = slot.engine.id.clone();
            let timeout = self.attempt_timeout(&progress);
            self.ticket
                .phase
                .enter(RequestPhase::Answer(engine.clone()));
            info!(
                gateway.logger, "request: sent"; "request" => &self.request.id_text,
                "engine" => %engine, "service" => %self.routed.service,
                "model" => self.ticket.model.as_ref().map(ToString::to_string),
                "waited" => waited.millis(), "run" => progress.runs + 1,
            );
            let started = clock::now();
            let sent = send_attempt(gateway, &self.request, slot, None, timeout).await;
            if sent.is_ok() {
                let span = clock::now().since(started);
                gateway
                    .queue
                    .record_first_part(&self.routed.route.name, span);
            }
            let failure = match sent {
                Ok(attempt) => match self.forward_answer(gateway, attempt, &mut progress).await {
                    Some(response) => return Ok(response),
                    None => AttemptFailure::Unknown,
                },
                Err(failure) => failure,
            };
            if let Some(result) = self
                .handle_failure(gateway, &engine, failure, &mut progress)
                .await
            {
                return result;
            }
        }
    }

    /// Time within which an engine must begin its answer: all that is left if this is
    /// the last attempt, otherwise less, so that another engine can be tried.
    fn attempt_timeout(&self, progress: &Progress) -> TimeSpan {
        let remaining = self.request.deadline.since(clock::now());
        if !self.may_retry(progress.runs + 1) {
            return remaining;
        }
        let target = self.routed.route.target_latency.millis();
        remaining.min(TimeSpan::from_millis(
            target * ATTEMPT_TIMEOUT_PERCENT_OF_TARGET / 100,
        ))
    }

    fn may_retry(&self, runs: u32) -> bool {
        self.routed.route.kind.is_idempotent() && runs < self.routed.route.attempts
    }

    /// Forwards an answer; returns `None` if it is incomplete, has a status that would
    /// promise that the request did not run, or is a server error after which the request
    /// may be retried.
    async fn forward_answer(
        &self,
        gateway: &Rc<Gateway>,
        attempt: Attempt,
        progress: &mut Progress,
    ) -> Option<Response<AnswerBody>> {
        let status = attempt.answer.status();
        if self.routed.route.kind.is_stream() && status.is_success() {
            if self.routed.route.kind == RouteKind::ResumableStream {
                self.record_stream(gateway, &attempt).await;
            }
            let headers = attempt.answer.headers().clone();
            let relay = self.relay(gateway, attempt, progress.runs + 1);
            return Some(streamed_answer(status, &headers, relay));
        }
        let engine = attempt.slot.engine.id.clone();
        let response = collect_answer(gateway, &self.request, attempt).await?;
        // Callers would take it for a promise that the engine has not made.
        if promises_no_run(status) {
            warn!(
                gateway.logger, "send: failure is no refusal"; "request" => &self.request.id_text,
                "engine" => %engine, "status" => status.as_u16(),
                "why" => "the engine does not say that the request did not run",
            );
            return None;
        }
        if !status.is_server_error() || !self.may_retry(progress.runs + 1) {
            return Some(response);
        }
        progress.error_answer = Some(response);
        None
    }

    /// Records which engines the stream comes from, for its caller's next try.
    async fn record_stream(&self, gateway: &Rc<Gateway>, attempt: &Attempt) {
        let engine = &attempt.slot.engine;
        let origin = StreamOrigin {
            service: engine.service.clone(),
            software: engine.software.clone(),
        };
        let copies = record_origin(gateway, &self.stream, &origin).await;
        if let Some(OriginCopies { told, stored }) = copies {
            info!(
                gateway.logger, "stream: origin recorded"; "request" => &self.request.id_text,
                "service" => %origin.service, "software" => %origin.software,
                "engine" => %engine.id, "birth" => engine.birth.map(|birth| birth.0),
                "told" => told, "stored" => stored,
            );
        }
    }

    fn relay(&self, gateway: &Rc<Gateway>, attempt: Attempt, runs: u32) -> StreamRelay {
        let resumable = self.routed.route.kind == RouteKind::ResumableStream;
        let start = RelayStart {
            attempt,
            request: self.request.clone(),
            resume_ticket: resumable.then(|| self.ticket.clone()),
            attempts_left: self.routed.route.attempts.saturating_sub(runs),
            event_pause: self.routed.route.event_pause,
            caller_timeout: self.routed.first_byte_timeout,
        };
        StreamRelay::new(Rc::clone(gateway), start)
    }

    /// Handles an attempt whose answer was not forwarded; returns `None` when the request
    /// should be retried, otherwise its result.
    async fn handle_failure(
        &mut self,
        gateway: &Rc<Gateway>,
        engine: &BackendId,
        failure: AttemptFailure,
        progress: &mut Progress,
    ) -> Option<Result<Response<AnswerBody>, Refusal>> {
        let may_resend = match failure {
            AttemptFailure::Unsent => {
                self.ticket.avoided.insert(engine.clone());
                progress.unsent += 1;
                progress.unsent < MAX_UNSENT
            }
            AttemptFailure::Full | AttemptFailure::Misplaced => {
                progress.refused += 1;
                if failure == AttemptFailure::Misplaced {
                    self.record_misplaced(gateway, engine);
                }
                progress.refused < MAX_REFUSALS
                    && self.sleep_in_time(REFUSAL_BACKOFF * progress.refused).await
                    && gateway.take_retry(&self.routed.service)
            }
            AttemptFailure::Unknown | AttemptFailure::Silent => {
                self.ticket.avoided.insert(engine.clone());
                progress.runs += 1;
                self.may_retry(progress.runs) && gateway.take_retry(&self.routed.service)
            }
        };
        if may_resend && clock::now() < self.ticket.times.deadline {
            return None;
        }
        Some(self.final_result(progress, failure))
    }

    /// Sleeps, unless the request's time would be over before; returns whether it has slept.
    async fn sleep_in_time(&self, delay: Duration) -> bool {
        let remaining = self.ticket.times.deadline.since(clock::now());
        if remaining.duration() <= delay {
            return false;
        }
        tokio::time::sleep(delay).await;
        true
    }

    /// The result after the last attempt: an engine's error answer if there is one,
    /// otherwise a refusal.
    fn final_result(
        &self,
        progress: &mut Progress,
        failure: AttemptFailure,
    ) -> Result<Response<AnswerBody>, Refusal> {
        if let Some(answer) = progress.error_answer.take() {
            return Ok(answer);
        }
        if progress.runs == 0 {
            return Err(not_run("engines refused it or could not be reached"));
        }
        if failure == AttemptFailure::Silent || clock::now() >= self.request.deadline {
            return Err(refuse(OwnAnswer::Timeout, "no engine answered in time"));
        }
        Err(refuse(OwnAnswer::BadEngine, "the engine broke off"))
    }

    /// The result for a request that got no slot at an engine.
    fn wait_failure_result(
        &self,
        mut progress: Progress,
        failure: WaitFailure,
    ) -> Result<Response<AnswerBody>, Refusal> {
        if progress.error_answer.is_some() || progress.runs > 0 {
            return self.final_result(&mut progress, AttemptFailure::Unknown);
        }
        Err(match failure {
            WaitFailure::Overload(retry_after) => {
                let answer = OwnAnswer::NotRun(retry_after);
                refuse(answer, "its engines are overloaded and it is late")
            }
            WaitFailure::NotInTime(ready_in) => {
                let answer = OwnAnswer::NotRun(ready_in);
                refuse(answer, "its model cannot be ready in time")
            }
            WaitFailure::Paused(remaining) => refuse(
                OwnAnswer::NotRun(remaining),
                "its engines have asked for a pause",
            ),
            WaitFailure::Limited(wait) => {
                refuse(OwnAnswer::NotRun(wait), "its engines take too few requests")
            }
            WaitFailure::Blocked(block) => blocked_refusal(block),
            WaitFailure::KeyWithdrawn => refuse(
                OwnAnswer::UnknownKey,
                "its API key was withdrawn while it waited",
            ),
            WaitFailure::NoEngine if self.ticket.software.is_some() => {
                not_run("the service has no engine of the stream's software version")
            }
            WaitFailure::NoEngine => not_run("the service has no engine"),
            WaitFailure::Timeout => not_run("no engine had room in time"),
            WaitFailure::Closed => not_run("the daemon is shutting down"),
        })
    }

    /// Records that an engine does not hold the request's model or adapter, and reports
    /// this to the coordinator.
    fn record_misplaced(&self, gateway: &Gateway, engine: &BackendId) {
        let Some(model) = &self.ticket.model else {
            return;
        };
        let adapter = self.ticket.adapter.as_ref();
        gateway
            .table
            .borrow_mut()
            .remove_held(engine, model, adapter);
        gateway
            .report_events
            .borrow_mut()
            .misplaced
            .push(RunningCount {
                engine: engine.clone(),
                model: Some(model.clone()),
                adapter: adapter.cloned(),
                count: 1,
            });
        gateway.report_requested.notify_one();
    }
}
