//! One request of a caller, from its head to its answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use indexmap::IndexSet;
use slog::{info, warn};
use tokio::net::TcpStream;
use ward_adapter::RequestMarks;
use ward_adapter::header::closes;
use ward_fleet::health::EngineSign;
use ward_fleet::{RouteKind, RunningCount, WaitingCount};
use ward_protocol::{BackendId, MonoTime, RequestFingerprint, TimeSpan};

use super::answer::{AnswerBody, OwnAnswer, streamed_answer, whole_answer};
use super::route::{RoutedRequest, named_host, origin_target, route_request};
use crate::clock;
use crate::forward::{
    Attempt, AttemptEnd, AttemptRequest, ConnectionNeed, RelayStart, StreamRelay, send_attempt,
};
use crate::gateway::Gateway;
use crate::queue::{WaitFailure, WaitTicket, acquire};

/// Sends that the engine never saw, after which a request is refused.
const MOST_UNSENT: u32 = 6;
/// Refusals by engines after which a request is refused.
const MOST_REFUSED: u32 = 12;
/// Pause after an engine refused for lack of room.
const REFUSED_PAUSE: Duration = Duration::from_millis(25);
/// Time before the deadline at which a request that still waits is given up.
const LEAST_SERVICE: TimeSpan = TimeSpan::from_millis(60);
/// When a caller may come back after a refusal that says nothing better.
const RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);
/// Pause after which an engine that did not crash can be connected to.
const CRASH_PAUSE: Duration = Duration::from_millis(100);
const CRASH_CONNECT_TIME: Duration = Duration::from_millis(400);
/// Part of the target after which an idempotent request is sent elsewhere, in
/// percent.
const SILENT_PERCENT: u64 = 70;
/// Most urgent and least urgent priority at engines that routes map to.
const FIRST_PRIORITY: u32 = 1;
const LAST_PRIORITY: u32 = 9;

/// Answers a caller's request.
pub(crate) async fn handle_request(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let begun = clock::now();
    let marks = RequestMarks::read(request.headers());
    let id = marks.id.clone();
    let id_text = marks.id_text().to_owned();
    let wanted = wanted_text(&marks);
    let host = named_host(&request);
    let path = request.uri().path().to_owned();
    let served = serve(&gateway, request, marks, &host, begun).await;
    let millis = clock::now().since(begun).millis();
    match served {
        Ok(response) => {
            gateway.metrics.answers.with_label_values(&["engine"]).inc();
            info!(
                gateway.logger, "request: answered"; "request" => id_text, "path" => path,
                "status" => response.status().as_u16(), "millis" => millis,
            );
            response
        }
        Err(refusal) => {
            gateway
                .metrics
                .answers
                .with_label_values(&[refusal.answer.word()])
                .inc();
            warn!(
                gateway.logger, "request: own answer"; "request" => id_text, "path" => path,
                "wanted" => wanted, "outcome" => refusal.answer.word(), "why" => refusal.why, "millis" => millis,
                "manifest" => gateway.manifest().map(|manifest| manifest.version.0),
                "waiting" => gateway.queue.len(),
            );
            refusal.answer.response(id.as_ref())
        }
    }
}

/// The model and adapter that a request names, for logs.
fn wanted_text(marks: &RequestMarks) -> Option<String> {
    let model = marks.model.as_ref()?;
    Some(match &marks.adapter {
        Some(adapter) => format!("{model}/{adapter}"),
        None => model.to_string(),
    })
}

/// An own answer and why it is given.
struct Refusal {
    answer: OwnAnswer,
    why: &'static str,
}

fn refuse(answer: OwnAnswer, why: &'static str) -> Refusal {
    Refusal { answer, why }
}

fn not_run(why: &'static str) -> Refusal {
    refuse(OwnAnswer::NotRun(RETRY_AFTER), why)
}

async fn serve(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    marks: RequestMarks,
    host: &str,
    begun: MonoTime,
) -> Result<Response<AnswerBody>, Refusal> {
    let manifest = gateway
        .manifest()
        .ok_or_else(|| not_run("no manifest is known yet"))?;
    let path = request.uri().path();
    let routed = route_request(&manifest, marks, host, path)
        .ok_or_else(|| refuse(OwnAnswer::NoRoute, "no route of the manifest fits"))?;
    let (head, body) = request.into_parts();
    let body = read_body(body, manifest.limits.body_bytes, routed.patience).await?;
    let fingerprint = fingerprint(&head.uri, &body);
    if gateway.crashes.borrow().is_blocked(&fingerprint) {
        return Err(not_run("the request has crashed engines"));
    }
    gateway.note_request(&routed.service);
    note_arrival(gateway, &routed);
    let job = ServeJob {
        request: AttemptRequest {
            id: routed.marks.id.clone(),
            id_text: routed.marks.id_text().to_owned(),
            method: head.method,
            target: origin_target(&head.uri),
            headers: head.headers,
            body,
            deadline: begun + routed.patience,
            priority: engine_priority(&routed),
            need: connection_need(routed.route.kind),
        },
        ticket: wait_ticket(&routed, begun),
        routed,
        fingerprint,
        begun,
    };
    job.run(gateway).await
}

async fn read_body(body: Incoming, limit: usize, patience: TimeSpan) -> Result<Bytes, Refusal> {
    let whole = Limited::new(body, limit).collect();
    match tokio::time::timeout(patience.duration(), whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => Err(refuse(
            OwnAnswer::TooLong,
            "the body is longer than the manifest allows",
        )),
        Ok(Err(_)) => Err(refuse(OwnAnswer::NoBody, "the body broke off")),
        Err(_) => Err(refuse(OwnAnswer::NoBody, "the body did not come in time")),
    }
}

fn fingerprint(uri: &http::Uri, body: &[u8]) -> RequestFingerprint {
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    RequestFingerprint::of(target, body)
}

fn note_arrival(gateway: &Gateway, routed: &RoutedRequest) {
    let Some(model) = routed.marks.model.clone() else {
        return;
    };
    let mut notes = gateway.notes.borrow_mut();
    notes.arrivals.push(WaitingCount {
        service: routed.service.clone(),
        model,
        adapter: routed.marks.adapter.clone(),
        count: 1,
    });
}

fn engine_priority(routed: &RoutedRequest) -> Option<u8> {
    routed.marks.model.as_ref()?;
    let priority = (FIRST_PRIORITY + 2 * routed.route.priority).min(LAST_PRIORITY);
    u8::try_from(priority).ok()
}

const fn connection_need(kind: RouteKind) -> ConnectionNeed {
    match kind {
        RouteKind::Safe | RouteKind::ResumableStream => ConnectionNeed::Any,
        RouteKind::Stream => ConnectionNeed::Fresh,
        RouteKind::Unsafe => ConnectionNeed::New,
    }
}

fn wait_ticket(routed: &RoutedRequest, begun: MonoTime) -> WaitTicket {
    WaitTicket {
        service: routed.service.clone(),
        model: routed.marks.model.clone(),
        adapter: routed.marks.adapter.clone(),
        shared_tokens: routed.marks.shared_tokens,
        shared_part: routed.marks.shared_part.clone(),
        priority: routed.route.priority,
        target: begun + routed.route.target_latency,
        deadline: (begun + routed.patience) - LEAST_SERVICE,
        avoided: IndexSet::new(),
    }
}

struct ServeJob {
    routed: RoutedRequest,
    request: AttemptRequest,
    ticket: WaitTicket,
    fingerprint: RequestFingerprint,
    begun: MonoTime,
}

/// What a request has been through.
#[derive(Default)]
struct Progress {
    /// Engines that may have run it.
    runs: u32,
    unsent: u32,
    refused: u32,
    /// An engine's failure to pass on when nothing better comes.
    failure: Option<Response<AnswerBody>>,
}

impl ServeJob {
    async fn run(mut self, gateway: &Rc<Gateway>) -> Result<Response<AnswerBody>, Refusal> {
        let mut progress = Progress::default();
        loop {
            let lease = match acquire(gateway, self.ticket.clone()).await {
                Ok(lease) => lease,
                Err(failure) => return self.give_up(progress, failure),
            };
            let waited = clock::now().since(self.begun);
            gateway.metrics.waited.observe(waited.seconds());
            let engine = lease.engine.id.clone();
            let address = lease.engine.address;
            let patience = self.patience(&progress);
            info!(
                gateway.logger, "request: sent"; "request" => &self.request.id_text,
                "engine" => %engine, "service" => %self.routed.service,
                "model" => self.ticket.model.as_ref().map(ToString::to_string),
                "waited" => waited.millis(), "run" => progress.runs + 1,
            );
            let sent = send_attempt(gateway, &self.request, lease, None, patience).await;
            let end = match sent {
                Ok(attempt) => match self.finish(gateway, attempt, &mut progress).await {
                    Some(response) => return Ok(response),
                    None => AttemptEnd::Unknown,
                },
                Err(end) => end,
            };
            if let Some(result) = self
                .after(gateway, &engine, address, end, &mut progress)
                .await
            {
                return result;
            }
        }
    }

    /// How long an answer may take to begin.
    fn patience(&self, progress: &Progress) -> TimeSpan {
        let left = self.request.deadline.since(clock::now());
        if !self.may_run_again(progress.runs + 1) {
            return left;
        }
        let target = self.routed.route.target_latency.millis();
        left.min(TimeSpan::from_millis(target * SILENT_PERCENT / 100))
    }

    fn may_run_again(&self, runs: u32) -> bool {
        self.routed.route.kind.is_idempotent() && runs < self.routed.route.attempts
    }

    /// Passes an answer on; nothing when the request is to be sent again.
    async fn finish(
        &self,
        gateway: &Rc<Gateway>,
        attempt: Attempt,
        progress: &mut Progress,
    ) -> Option<Response<AnswerBody>> {
        let status = attempt.answer.status();
        if self.routed.route.kind.is_stream() && status.is_success() {
            let headers = attempt.answer.headers().clone();
            let relay = self.relay(gateway, attempt, progress.runs + 1);
            return Some(streamed_answer(status, &headers, relay));
        }
        let response = self.whole(gateway, attempt).await?;
        if !status.is_server_error() || !self.may_run_again(progress.runs + 1) {
            return Some(response);
        }
        progress.failure = Some(response);
        None
    }

    fn relay(&self, gateway: &Rc<Gateway>, attempt: Attempt, runs: u32) -> StreamRelay {
        let resumable = self.routed.route.kind == RouteKind::ResumableStream;
        let start = RelayStart {
            attempt,
            request: self.request.clone(),
            resume: resumable.then(|| self.ticket.clone()),
            attempts_left: self.routed.route.attempts.saturating_sub(runs),
        };
        StreamRelay::new(Rc::clone(gateway), start)
    }

    /// An answer that is passed on only when it is complete.
    async fn whole(&self, gateway: &Rc<Gateway>, attempt: Attempt) -> Option<Response<AnswerBody>> {
        let Attempt {
            lease,
            sender,
            answer,
            ..
        } = attempt;
        let (head, body) = answer.into_parts();
        let left = self.request.deadline.since(clock::now());
        let body = tokio::time::timeout(left.duration(), body.collect()).await;
        let mut table = gateway.table.borrow_mut();
        let Ok(Ok(body)) = body else {
            table.note(&lease.engine.id, EngineSign::Failed, clock::now());
            drop(table);
            warn!(
                gateway.logger, "send: answer broke off"; "request" => &self.request.id_text,
                "engine" => %lease.engine.id, "status" => head.status.as_u16(),
            );
            return None;
        };
        table.note(&lease.engine.id, EngineSign::Answered, clock::now());
        drop(table);
        let keep = ward_adapter::header::keep_alive(&head.headers);
        if !closes(&head.headers) {
            gateway.pool.put_back(&lease.engine.id, sender, keep);
        }
        Some(whole_answer(head.status, &head.headers, body.to_bytes()))
    }

    /// What follows a send that brought no answer; nothing to try again.
    async fn after(
        &mut self,
        gateway: &Rc<Gateway>,
        engine: &BackendId,
        address: SocketAddr,
        end: AttemptEnd,
        progress: &mut Progress,
    ) -> Option<Result<Response<AnswerBody>, Refusal>> {
        let again = match end {
            AttemptEnd::Unsent => {
                self.ticket.avoided.insert(engine.clone());
                progress.unsent += 1;
                progress.unsent < MOST_UNSENT
            }
            AttemptEnd::Full | AttemptEnd::Misplaced => {
                progress.refused += 1;
                if end == AttemptEnd::Misplaced {
                    self.note_misplaced(gateway, engine);
                }
                tokio::time::sleep(REFUSED_PAUSE * progress.refused).await;
                progress.refused < MOST_REFUSED && gateway.take_repeat(&self.routed.service)
            }
            AttemptEnd::Unknown | AttemptEnd::Silent => {
                self.ticket.avoided.insert(engine.clone());
                progress.runs += 1;
                if end == AttemptEnd::Unknown && progress.failure.is_none() {
                    note_crash(gateway, self.fingerprint, address);
                }
                self.may_run_again(progress.runs) && gateway.take_repeat(&self.routed.service)
            }
        };
        if again && clock::now() < self.ticket.deadline {
            return None;
        }
        Some(self.conclude(progress, end))
    }

    fn conclude(
        &self,
        progress: &mut Progress,
        end: AttemptEnd,
    ) -> Result<Response<AnswerBody>, Refusal> {
        if let Some(failure) = progress.failure.take() {
            return Ok(failure);
        }
        if progress.runs == 0 {
            return Err(not_run("engines refused it or could not be reached"));
        }
        if end == AttemptEnd::Silent || clock::now() >= self.request.deadline {
            return Err(refuse(OwnAnswer::Timeout, "no answer of an engine in time"));
        }
        Err(refuse(OwnAnswer::BadEngine, "the engine broke off"))
    }

    fn give_up(
        &self,
        mut progress: Progress,
        failure: WaitFailure,
    ) -> Result<Response<AnswerBody>, Refusal> {
        if progress.failure.is_some() || progress.runs > 0 {
            return self.conclude(&mut progress, AttemptEnd::Unknown);
        }
        if let WaitFailure::Overload(retry_after) = failure {
            let answer = OwnAnswer::NotRun(retry_after);
            return Err(refuse(answer, "its engines are overloaded and it is late"));
        }
        if let WaitFailure::NotInTime(ready_in) = failure {
            let answer = OwnAnswer::NotRun(ready_in);
            return Err(refuse(answer, "its model cannot be ready in time"));
        }
        Err(not_run(match failure {
            WaitFailure::NoEngine => "the service has no engine",
            WaitFailure::Timeout | WaitFailure::Overload(_) | WaitFailure::NotInTime(_) => {
                "no engine had room in time"
            }
            WaitFailure::Closed => "the daemon stops",
        }))
    }

    fn note_misplaced(&self, gateway: &Gateway, engine: &BackendId) {
        let Some(model) = &self.ticket.model else {
            return;
        };
        let adapter = self.ticket.adapter.as_ref();
        gateway
            .table
            .borrow_mut()
            .forget_held(engine, model, adapter);
        gateway.notes.borrow_mut().misplaced.push(RunningCount {
            engine: engine.clone(),
            model: Some(model.clone()),
            adapter: adapter.cloned(),
            count: 1,
        });
        gateway.report_wanted.notify_one();
    }
}

/// Notes that a request may have crashed its engine: it broke off without an
/// answer, and the engine cannot be reached a moment later.
fn note_crash(gateway: &Rc<Gateway>, fingerprint: RequestFingerprint, address: SocketAddr) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(CRASH_PAUSE).await;
        let connect = TcpStream::connect(address);
        let reached = tokio::time::timeout(CRASH_CONNECT_TIME, connect).await;
        if matches!(reached, Ok(Ok(_))) {
            return;
        }
        warn!(
            gateway.logger, "crash: engine is gone after a request";
            "fingerprint" => %fingerprint, "address" => %address,
        );
        gateway.crashes.borrow_mut().note(fingerprint, clock::now());
        gateway.notes.borrow_mut().crashes.push(fingerprint);
    });
}
