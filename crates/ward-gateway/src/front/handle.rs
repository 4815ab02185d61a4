//! Handles one request of a caller, from its header to its answer.

use std::rc::Rc;

use http::{Request, Response};
use hyper::body::Incoming;
use indexmap::IndexSet;
use slog::{info, warn};
use ward_adapter::RequestFields;
use ward_adapter::header::remove_credentials;
use ward_fleet::admission::RequestWork;
use ward_fleet::queue::RequestTimes;
use ward_fleet::{RequestPriority, RouteKind, ServingManifest, WaitingCount};
use ward_protocol::{MonoTime, RequestFingerprint, TimeSpan};

use super::answer::{AnswerBody, OwnAnswer};
use super::body::receive_body;
use super::job::ServeJob;
use super::newest::route_by_newest;
use super::quota::charge_quota;
use super::refusal::{Refusal, blocked_refusal, refuse};
use super::resume::{required_software, stream_try};
use super::route::{RoutedRequest, origin_target, requested_host};
use super::tenant::required_key;
use crate::clock;
use crate::crash::request_block;
use crate::forward::{AttemptRequest, ConnectionNeed};
use crate::gateway::Gateway;
use crate::phase::SharedPhase;
use crate::queue::{RequestIdentity, WaitTicket};

/// Minimum time that an engine needs for a request. A request that has no slot this
/// long before its answer must begin is refused.
const MIN_SERVICE_TIME: TimeSpan = TimeSpan::from_millis(60);
/// Retry-After of a request that another daemon can serve at once.
const STOP_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(50);
/// Engine priority of routes with the most urgent priority, zero.
const MOST_URGENT_PRIORITY: u32 = 1;
/// Engine priority of the least urgent routes.
const LEAST_URGENT_PRIORITY: u32 = 9;
/// Engine priorities that the tenants of one priority share.
const TENANT_BAND: u32 = 3;

/// Answers a caller's request.
pub(crate) async fn handle_request(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrival = clock::now();
    let fields = RequestFields::read(request.headers());
    let id = fields.id.clone();
    let id_text = fields.id_text().to_owned();
    let requested = requested_model(&fields);
    let host = requested_host(&request);
    let path = request.uri().path().to_owned();
    let mut guard = CallerGuard {
        gateway: Rc::clone(&gateway),
        id: id_text.clone(),
        requested: requested.clone(),
        phase: SharedPhase::default(),
        arrival,
        answered: false,
    };
    let phase = guard.phase.clone();
    let served = tokio::select! {
        biased;
        served = serve_request(&gateway, request, fields, &host, arrival, phase.clone()) => served,
        () = gateway.final_answers_due() => Err(stop_refusal(&phase)),
    };
    guard.answered = true;
    let millis = clock::now().since(arrival).millis();
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
                .with_label_values(&[refusal.answer.label()])
                .inc();
            warn!(
                gateway.logger, "request: own answer"; "request" => id_text, "path" => path,
                "wanted" => requested, "outcome" => refusal.answer.label(), "why" => refusal.reason, "millis" => millis,
                "manifest" => gateway.manifest().map(|manifest| manifest.version.0),
                "behind_ms" => gateway.manifests.behind_for().map(TimeSpan::millis),
                "waiting" => gateway.queue.len(),
            );
            refusal.answer.response(id.as_ref())
        }
    }
}

/// The answer to a request that has none shortly before the process exits.
fn stop_refusal(phase: &SharedPhase) -> Refusal {
    if phase.was_sent() {
        refuse(
            OwnAnswer::BadEngine,
            "the daemon stops before the engine has answered",
        )
    } else {
        refuse(
            OwnAnswer::NotRun(STOP_RETRY_AFTER),
            "the daemon stops, and the request was not sent",
        )
    }
}

/// Logs and counts a request whose caller disconnected before the answer: hyper then
/// drops the request's future, and this guard with it.
struct CallerGuard {
    gateway: Rc<Gateway>,
    id: String,
    requested: Option<String>,
    phase: SharedPhase,
    arrival: MonoTime,
    answered: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let metrics = &self.gateway.metrics;
        metrics.answers.with_label_values(&["caller_left"]).inc();
        warn!(
            self.gateway.logger, "request: caller left"; "request" => &self.id,
            "wanted" => self.requested.as_deref(), "why" => %self.phase,
            "waiting" => self.gateway.queue.len(),
            "millis" => clock::now().since(self.arrival).millis(),
        );
    }
}

/// The model and adapter that a request names, formatted for logs.
fn requested_model(fields: &RequestFields) -> Option<String> {
    let model = fields.model.as_ref()?;
    Some(match &fields.adapter {
        Some(adapter) => format!("{model}/{adapter}"),
        None => model.to_string(),
    })
}

async fn serve_request(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    fields: RequestFields,
    host: &str,
    arrival: MonoTime,
    phase: SharedPhase,
) -> Result<Response<AnswerBody>, Refusal> {
    let path = request.uri().path();
    let (manifest, routed) = route_by_newest(gateway, fields, host, path).await?;
    if routed.fields.is_model_malformed {
        let reason = "the name of the model or adapter is invalid";
        return Err(refuse(OwnAnswer::BadModel, reason));
    }
    let charge = charge_quota(gateway, &manifest, &routed, arrival, &phase).await?;
    let served = serve_routed(gateway, request, &manifest, routed, arrival, phase).await;
    if let Some(mut charge) = charge {
        charge.settle(&served);
    }
    served
}

/// Serves a request that its tenant may send.
async fn serve_routed(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    manifest: &ServingManifest,
    mut routed: RoutedRequest,
    arrival: MonoTime,
    phase: SharedPhase,
) -> Result<Response<AnswerBody>, Refusal> {
    let (mut head, body) = request.into_parts();
    remove_credentials(&mut head.headers);
    let max_bytes = manifest.limits.body_bytes;
    let body = receive_body(gateway, &head, body, max_bytes, routed.timeout).await?;
    let identity = RequestIdentity {
        request_id: routed.fields.id_text().into(),
        fingerprint: fingerprint(&head.uri, &body),
        parts: routed.fields.shared_parts.as_slice().into(),
    };
    if !can_end_in_time(gateway, &routed) {
        return Err(refuse(
            OwnAnswer::NotRun(STOP_RETRY_AFTER),
            "the daemon is shutting down, and its answer may take too long",
        ));
    }
    // A blocked request must not count as demand for its model either, so this
    // precedes `record_arrival`.
    if let Some(block) = request_block(gateway, &identity) {
        return Err(blocked_refusal(block));
    }
    // A stream that cannot go on is no demand for its model either.
    let software = required_software(gateway, &mut routed).await?;
    gateway.record_request(&routed.service);
    record_arrival(gateway, &routed);
    let request = AttemptRequest {
        id: routed.fields.id.clone(),
        id_text: routed.fields.id_text().to_owned(),
        method: head.method,
        target: origin_target(&head.uri),
        headers: head.headers,
        body,
        deadline: arrival + routed.timeout,
        tenant: routed.tenant.clone(),
        priority: engine_priority(&routed, manifest.tenants.is_some()),
        need: connection_need(&routed),
        asks_runs: routed.route.kind == RouteKind::ResumableStream,
    };
    let job = ServeJob {
        request,
        ticket: WaitTicket {
            software,
            ..wait_ticket(gateway, &routed, identity, arrival, phase)
        },
        stream: stream_try(&routed, arrival),
        routed,
        arrival,
    };
    job.run(gateway).await
}

/// Whether the answer to a request can end before the process does; always true unless the
/// daemon is shutting down.
fn can_end_in_time(gateway: &Gateway, routed: &RoutedRequest) -> bool {
    gateway.stop_plan.get().is_none_or(|plan| {
        let bound = gateway.queue.answer_time_bound(&routed.route.name);
        plan.may_take(bound, routed.timeout, clock::now())
    })
}

fn fingerprint(uri: &http::Uri, body: &[u8]) -> RequestFingerprint {
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    RequestFingerprint::of(target, body)
}

fn record_arrival(gateway: &Gateway, routed: &RoutedRequest) {
    let Some(model) = routed.fields.model.clone() else {
        return;
    };
    let mut events = gateway.report_events.borrow_mut();
    events.arrivals.push(WaitingCount {
        service: routed.service.clone(),
        model,
        adapter: routed.fields.adapter.clone(),
        software: None,
        count: 1,
    });
}

/// Priority at the engine. With tenants, those of one tenant priority share a band, in
/// which the priorities of routes follow each other.
fn engine_priority(routed: &RoutedRequest, has_tenants: bool) -> Option<u8> {
    routed.fields.model.as_ref()?;
    let RequestPriority { tenant, route } = routed.priority;
    let rank = if has_tenants {
        TENANT_BAND
            .saturating_mul(tenant)
            .saturating_add(route.min(TENANT_BAND - 1))
    } else {
        route.saturating_mul(2)
    };
    let priority = MOST_URGENT_PRIORITY
        .saturating_add(rank)
        .min(LEAST_URGENT_PRIORITY);
    u8::try_from(priority).ok()
}

/// Answers to a request without an id can't be told apart on a connection that has carried
/// others.
const fn connection_need(routed: &RoutedRequest) -> ConnectionNeed {
    if routed.fields.id.is_none() {
        return ConnectionNeed::New;
    }
    match routed.route.kind {
        RouteKind::Safe | RouteKind::ResumableStream => ConnectionNeed::Any,
        RouteKind::Stream => ConnectionNeed::Fresh,
        RouteKind::Unsafe => ConnectionNeed::New,
    }
}

/// Work of a request at an engine that keeps what other requests share of its prompt.
fn request_work(routed: &RoutedRequest) -> RequestWork {
    let fields = &routed.fields;
    fields.tokens.map_or_else(RequestWork::default, |tokens| {
        RequestWork::from_tokens(tokens.prompt, fields.shared_tokens, tokens.output)
    })
}

fn wait_ticket(
    gateway: &Gateway,
    routed: &RoutedRequest,
    identity: RequestIdentity,
    arrival: MonoTime,
    phase: SharedPhase,
) -> WaitTicket {
    let route: Rc<str> = routed.route.name.as_str().into();
    let work = request_work(routed);
    let priority = routed.priority;
    let class = gateway
        .queue
        .classify(&routed.service, &route, priority, work);
    WaitTicket {
        identity,
        route,
        service: routed.service.clone(),
        model: routed.fields.model.clone(),
        adapter: routed.fields.adapter.clone(),
        software: None,
        arrival,
        shared_tokens: routed.fields.shared_tokens,
        priority,
        work,
        class,
        times: RequestTimes {
            target: arrival + routed.route.target_latency,
            deadline: (arrival + routed.first_byte_timeout) - MIN_SERVICE_TIME,
            first_part: gateway.queue.expected_first_part(&routed.route.name),
        },
        api_key: required_key(routed),
        avoided: IndexSet::new(),
        phase,
    }
}
