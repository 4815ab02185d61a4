//! Relays a stream to the caller and recovers it if its source breaks.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderValue, Response};
use serde::Serialize;
use tokio::time::{sleep, timeout};
use viz::Body;
use ward_backend::request::{AnswerBody, CallError};
use ward_protocol::{BackendId, RequestId, ResultCode};

use super::attempt::{ModelCall, SendOutcome, attempt_model, record_attempt_failure};
use super::cancel::CancelGuard;
use super::complete::is_stream;
use super::event::EventBuffer;
use super::progress::{StreamProgress, StreamStep};
use super::suspect::is_crash;
use crate::REQUEST_ID;
use crate::core::TrafficCore;
use crate::input::RequestTerms;
use crate::problem::{ProblemReport, id_value};
use crate::waiting::{SlotGrant, WaitRequest};

/// Timeout for the next piece of a stream; the time left until the request's deadline
/// applies instead while it is longer.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of recoveries in a row without a new token in between.
const MAX_RECOVERIES: u32 = 3;
/// Timeout for an engine to cancel a stream before the request runs again.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size in bytes of a KV cache that is moved to another engine.
const MAX_CACHE_BYTES: usize = 64 << 20;
/// Timeout for the engine to end the answer after the last event.
const TAIL_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for the last event to reach the caller before the connection is aborted.
const FLUSH_DELAY: Duration = Duration::from_millis(50);
const STREAM_TYPE: HeaderValue = HeaderValue::from_static("text/event-stream");
const NO_CACHE: HeaderValue = HeaderValue::from_static("no-cache");

/// Stream that is being relayed to the caller.
#[derive(Debug)]
pub(crate) struct StreamRelay {
    core: Arc<TrafficCore>,
    call: ModelCall,
    grant: SlotGrant,
    guard: CancelGuard,
    body: AnswerBody,
    events: EventBuffer,
    progress: StreamProgress,
    recoveries: u32,
    /// Position of the first missing token at the last recovery.
    recovered_at: u64,
    state: RelayState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayState {
    Running,
    /// The end marker has been delivered.
    Ended,
    /// The event that reports the cut has been delivered; the connection is aborted next.
    Cut,
}

#[derive(Serialize)]
struct CutEvent<'a> {
    id: RequestId,
    error: CutError<'a>,
    resume: ResumePoint<'a>,
}

#[derive(Serialize)]
struct CutError<'a> {
    message: &'a str,
    r#type: &'static str,
    code: String,
}

#[derive(Serialize)]
struct ResumePoint<'a> {
    request: RequestId,
    backend: &'a BackendId,
    from: u64,
}

impl StreamRelay {
    pub(crate) fn new(
        core: Arc<TrafficCore>,
        call: ModelCall,
        grant: SlotGrant,
        guard: CancelGuard,
        body: AnswerBody,
    ) -> Self {
        let progress = StreamProgress::new(call.request);
        grant.mark_answering();
        Self {
            core,
            call,
            grant,
            guard,
            body,
            events: EventBuffer::default(),
            progress,
            recoveries: 0,
            recovered_at: 0,
            state: RelayState::Running,
        }
    }

    /// The next event for the caller; an error aborts the connection, so that the
    /// caller sees that the answer is incomplete.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        match self.state {
            RelayState::Running => {}
            RelayState::Ended => return None,
            RelayState::Cut => return Some(Err(abort_after_flush().await)),
        }
        loop {
            let cause = match self.advance().await {
                Ok(Some(event)) => return Some(Ok(event)),
                Ok(None) => continue,
                Err(cause) => cause,
            };
            if let Err(report) = self.recover(cause).await {
                return Some(Ok(self.cut_event(&report)));
            }
        }
    }

    /// The next buffered event for the caller; if there is none, reads a piece of the
    /// stream and returns `None`.
    async fn advance(&mut self) -> Result<Option<Bytes>, StreamBreak> {
        while let Some(event) = self.events.next_event() {
            match self.progress.classify(&event) {
                StreamStep::Deliver => {
                    self.reset_recoveries();
                    return Ok(Some(event));
                }
                StreamStep::Skip => {}
                StreamStep::End => {
                    self.finish().await;
                    return Ok(Some(event));
                }
                StreamStep::Broken => return Err(StreamBreak::Invalid),
            }
        }
        if self.events.is_overlong() {
            return Err(StreamBreak::Invalid);
        }
        let idle_timeout = STREAM_IDLE_TIMEOUT.max(self.call.terms.time_left());
        match timeout(idle_timeout, self.body.chunk()).await {
            Ok(Ok(Some(piece))) => self.events.push(&piece),
            Ok(Ok(None)) => return Err(StreamBreak::Ended),
            Ok(Err(error)) => return Err(StreamBreak::Lost(error)),
            Err(_) => return Err(StreamBreak::Lost(CallError::TimedOut)),
        }
        Ok(None)
    }

    /// Resets the count of recoveries after a new token; a comment does not count as
    /// progress.
    fn reset_recoveries(&mut self) {
        if self.progress.next_token() > self.recovered_at {
            self.recoveries = 0;
        }
    }

    async fn finish(&mut self) {
        self.state = RelayState::Ended;
        self.guard.disarm();
        // Reading to the end allows the connection to return to the pool.
        let _ = timeout(TAIL_TIMEOUT, self.body.chunk()).await;
    }

    fn cut_event(&mut self, report: &ProblemReport) -> Bytes {
        self.state = RelayState::Cut;
        // Not cancelled: the engine may keep the request for a caller that resumes it.
        self.guard.disarm();
        self.core.metrics.streams_cut.inc();
        self.core.metrics.count_problem(report);
        let event = CutEvent {
            id: self.call.request,
            error: CutError {
                message: &report.detail,
                r#type: report.code.name(),
                code: report.code.number().to_string(),
            },
            resume: ResumePoint {
                request: self.call.request,
                backend: &self.grant.backend,
                from: self.progress.next_token(),
            },
        };
        let json = serde_json::to_string(&event).unwrap_or_default();
        Bytes::from(format!("data: {json}\n\n"))
    }

    /// Resumes the stream, moves it or runs its request again; an error ends it.
    async fn recover(&mut self, cause: StreamBreak) -> Result<(), ProblemReport> {
        self.events.clear();
        self.recoveries += 1;
        self.recovered_at = self.progress.next_token();
        let detail = cause.to_string();
        let cut = || ProblemReport::failed(ResultCode::StreamCut, detail.clone());
        if self.recoveries > MAX_RECOVERIES {
            return Err(cut());
        }
        if self.resume(self.grant.address).await || self.migrate().await {
            return Ok(());
        }
        let mut crashed = false;
        if let StreamBreak::Lost(error) = &cause {
            crashed = is_crash(&self.core, &self.grant.backend, error);
            record_attempt_failure(&self.core, &self.call, &self.grant.backend, error);
        }
        if !self.core.retry_budget.take_retry() {
            self.core.metrics.retries_denied.inc();
            return Err(cut());
        }
        self.core.metrics.retries.inc();
        self.restart(crashed).await.map_err(|report| {
            let detail = format!("{detail}; running it again failed: {}", report.detail);
            ProblemReport::failed(ResultCode::StreamCut, detail)
        })
    }

    /// Continues the stream at an engine that has the request; returns whether the engine
    /// does so.
    async fn resume(&mut self, address: SocketAddr) -> bool {
        let from = self.progress.next_token();
        let client = self.core.client.clone();
        let Ok(answer) = client.resume(address, self.call.request, from).await else {
            return false;
        };
        if !is_stream(&answer) {
            return false;
        }
        self.core.metrics.streams_resumed.inc();
        self.progress.mark_resumed();
        self.body = answer.body;
        true
    }

    /// Moves the stream and its KV cache from an engine that is leaving to another;
    /// returns false if the engine stays or the move failed.
    async fn migrate(&mut self) -> bool {
        let view = self.core.view();
        let old = view.backends.get(&self.grant.backend);
        if !old.is_some_and(|route| route.leaving) {
            return false;
        }
        let client = self.core.client.clone();
        let (address, request) = (self.grant.address, self.call.request);
        let Ok(Some(cache)) = client.export_kv(address, request, MAX_CACHE_BYTES).await else {
            return false;
        };
        let Ok(grant) = self.core.wait_list.acquire(self.next_wait_request()).await else {
            return false;
        };
        let imported = client.import_kv(grant.address, request, cache).await;
        if !imported.unwrap_or(false) || !self.resume(grant.address).await {
            return false;
        }
        let guard = CancelGuard::new(&self.core, grant.address, request);
        self.switch_to(grant, guard);
        true
    }

    /// The request for a slot on any replica of the same version, with the default time
    /// limit from now on.
    fn next_wait_request(&self) -> WaitRequest {
        let limit = self.core.limits.default_deadline;
        let mut wait = self.call.wait_request();
        wait.terms = RequestTerms::starting_now(limit, self.call.terms.priority);
        wait.target = self.grant.target.clone();
        // Another version would continue with different output.
        wait.reference = None;
        wait
    }

    fn switch_to(&mut self, grant: SlotGrant, guard: CancelGuard) {
        self.guard.disarm();
        self.guard = guard;
        grant.mark_answering();
        self.grant = grant;
    }

    /// Runs the request again on any replica of the same version.
    async fn restart(&mut self, crashed: bool) -> Result<(), ProblemReport> {
        self.call.crashes += u32::from(crashed);
        self.call.failed_backend = Some(self.grant.backend.clone());
        // The slot that the request waits for may be the one that it still holds.
        self.grant.release();
        self.guard.cancel(CANCEL_TIMEOUT).await;
        let wait = self.next_wait_request();
        let deadline = wait.terms.deadline;
        loop {
            let grant = self.core.wait_list.acquire(wait.clone()).await?;
            let mut guard = CancelGuard::new(&self.core, grant.address, self.call.request);
            let answer = match attempt_model(&self.core, &self.call, &grant, deadline).await {
                SendOutcome::Answered(answer) if is_stream(&answer) => answer,
                SendOutcome::NotRun => {
                    guard.disarm();
                    continue;
                }
                SendOutcome::Answered(_) | SendOutcome::Expired => return Err(not_restarted()),
                SendOutcome::Suspect(report) => {
                    guard.disarm();
                    // It ran before, so the report may not say that it did not run.
                    return Err(ProblemReport::failed(report.code, report.detail));
                }
                SendOutcome::Broken(error) => {
                    let backend = &grant.backend;
                    return Err(record_attempt_failure(
                        &self.core, &self.call, backend, &error,
                    ));
                }
            };
            self.switch_to(grant, guard);
            self.progress.mark_restarted();
            self.body = answer.body;
            return Ok(());
        }
    }
}

/// Reason why a stream broke.
#[derive(Debug)]
enum StreamBreak {
    /// The stream ended without its end marker.
    Ended,
    /// An event is malformed, too long or of another request, or tokens are missing
    /// before it.
    Invalid,
    /// The connection failed or timed out.
    Lost(CallError),
}

impl std::fmt::Display for StreamBreak {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Ended => formatter.write_str("the stream ended without its end marker"),
            Self::Invalid => formatter
                .write_str("an event is malformed, too long, of another request or out of order"),
            Self::Lost(error) => error.fmt(formatter),
        }
    }
}

fn not_restarted() -> ProblemReport {
    ProblemReport::failed(ResultCode::BackendFailed, "no replica restarted the stream")
}

/// The response that relays a stream to the caller.
pub(crate) fn relay_response(relay: StreamRelay) -> Response<Body> {
    let request = relay.call.request;
    let events = stream::unfold(relay, |mut relay| async {
        let event = relay.next().await?;
        Some((event, relay))
    });
    event_response(Body::from_stream(events), request)
}

/// A response whose body is a stream of events.
pub(crate) fn event_response(body: Body, request: RequestId) -> Response<Body> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, STREAM_TYPE);
    headers.insert(CACHE_CONTROL, NO_CACHE);
    if let Some(id) = id_value(request) {
        headers.insert(REQUEST_ID, id);
    }
    response
}

/// The error that aborts an answer, returned after a delay in which the bytes written
/// before reach the caller.
pub(crate) async fn abort_after_flush() -> io::Error {
    sleep(FLUSH_DELAY).await;
    io::ErrorKind::ConnectionAborted.into()
}
