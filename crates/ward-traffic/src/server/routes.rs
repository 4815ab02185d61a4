//! Routes of the caller server, and the checks common to all requests that reach a
//! backend server.

use std::sync::Arc;

use http::{Method, Response};
use slog::{debug, info};
use viz::{Body, Request, Router, Tree};
use ward_protocol::{RequestId, RequestOutcome, ResultCode, ViewMode};

use crate::REQUEST_ID;
use crate::core::TrafficCore;
use crate::handle::{
    ModelPath, list_entries, list_models, report_health, resume_stream, serve_model, serve_service,
};
use crate::metrics::RequestKind;
use crate::problem::{ProblemReport, id_value};

const MODELS: &str = "/v1/models";
const ENTRIES: &str = "/v1/entries";
const HEALTH: &str = "/healthz";
const RESUME: &str = "/v1/requests/:id/resume";
const SERVICES_PATH: &str = "/services/";

/// Handler that a route selects.
#[derive(Debug, Clone, Copy)]
enum Action {
    Model(ModelPath),
    Service,
    Resume,
    Models,
    Entries,
    Health,
    /// No handler: the path is unknown or does not take the method.
    Missing,
}

/// Routing tree with all paths of the server.
pub(super) fn route_tree(core: &Arc<TrafficCore>) -> Tree {
    let route = |action| handler(Arc::clone(core), action);
    Router::new()
        .post(
            ModelPath::Chat.path(),
            route(Action::Model(ModelPath::Chat)),
        )
        .post(
            ModelPath::Prompt.path(),
            route(Action::Model(ModelPath::Prompt)),
        )
        .post(RESUME, route(Action::Resume))
        .get(MODELS, route(Action::Models))
        .get(ENTRIES, route(Action::Entries))
        .get(HEALTH, route(Action::Health))
        .any("/services/*", route(Action::Service))
        .any("/", route(Action::Missing))
        .any("/*", route(Action::Missing))
        .into()
}

fn handler(
    core: Arc<TrafficCore>,
    action: Action,
) -> impl Fn(Request) -> futures::future::BoxFuture<'static, viz::Result<Response<Body>>> + Clone {
    move |request| {
        let core = Arc::clone(&core);
        Box::pin(async move { Ok(handle_request(&core, action, request).await) })
    }
}

async fn handle_request(
    core: &Arc<TrafficCore>,
    action: Action,
    request: Request,
) -> Response<Body> {
    let id = RequestId::random();
    let kind = action.kind();
    let result = dispatch(core, action, id, request).await;
    let response = match result {
        Ok(mut response) => {
            if let Some(value) = id_value(id) {
                // A resumed stream keeps its original request id.
                response.headers_mut().entry(REQUEST_ID).or_insert(value);
            }
            response
        }
        Err(report) => problem_response(core, &report, id),
    };
    core.metrics.count_request(kind, response.status().as_u16());
    response
}

fn problem_response(core: &TrafficCore, report: &ProblemReport, id: RequestId) -> Response<Body> {
    core.metrics.count_problem(report);
    // Refusals under load must not write a log line each; the metrics count them.
    if report.outcome == RequestOutcome::NotRun {
        debug!(core.logger, "traffic: request refused";
            "request" => %id, "code" => report.code.number(), "detail" => &report.detail);
    } else {
        info!(core.logger, "traffic: request failed";
            "request" => %id, "code" => report.code.number(), "outcome" => %report.outcome,
            "detail" => &report.detail);
    }
    report.response(Some(id))
}

async fn dispatch(
    core: &Arc<TrafficCore>,
    action: Action,
    id: RequestId,
    request: Request,
) -> Result<Response<Body>, ProblemReport> {
    match action {
        Action::Models => return Ok(list_models(core)),
        Action::Entries => return Ok(list_entries(core)),
        Action::Health => return Ok(report_health(core)),
        Action::Missing => return Err(unknown_path(request.method(), request.uri().path())),
        Action::Model(_) | Action::Service | Action::Resume => {}
    }
    if core.is_refusing() {
        let detail = "this daemon takes no new requests";
        return Err(ProblemReport::refused(ResultCode::Stopping, detail));
    }
    if core.view().mode == ViewMode::Starting {
        let detail = "this daemon has not read the log yet";
        return Err(ProblemReport::refused(ResultCode::StateMissing, detail));
    }
    match action {
        Action::Model(path) => serve_model(core, path, id, request).await,
        Action::Resume => resume_stream(core, request).await,
        _ => serve_service(core, id, request).await,
    }
}

impl Action {
    const fn kind(self) -> RequestKind {
        match self {
            Self::Model(_) | Self::Resume => RequestKind::Model,
            Self::Service => RequestKind::Service,
            Self::Models | Self::Entries | Self::Health | Self::Missing => RequestKind::Own,
        }
    }
}

fn unknown_path(method: &Method, path: &str) -> ProblemReport {
    let known = [
        ModelPath::Chat.path(),
        ModelPath::Prompt.path(),
        MODELS,
        ENTRIES,
        HEALTH,
    ];
    if known.contains(&path) {
        let detail = format!("{path} does not take {method}");
        return ProblemReport::refused(ResultCode::MethodNotAllowed, detail);
    }
    let detail = if path.starts_with(SERVICES_PATH) {
        "the address names no service".to_owned()
    } else {
        format!("there is nothing at {path}")
    };
    ProblemReport::refused(ResultCode::UnknownPath, detail)
}
