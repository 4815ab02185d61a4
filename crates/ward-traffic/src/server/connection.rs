//! Serves the requests of one caller connection.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::debug;
use tokio::net::TcpStream;
use tokio::time::timeout;
use viz::{Body, Responder, Tree};
use ward_protocol::ResultCode;

use super::stall::CallerStream;
use crate::core::{ServerPhase, TrafficCore};
use crate::problem::ProblemReport;

/// Shortest header field: one letter, a colon and the end of its line.
const MIN_FIELD_BYTES: usize = 4;
/// Most fields of a head. The parser makes a table of this length for each request.
const MAX_HEADER_FIELDS: usize = 4 << 10;

/// Serves a connection until the caller closes it, or until it is idle after the
/// server has entered the closing phase.
pub(super) async fn serve_connection(stream: TcpStream, tree: Arc<Tree>, core: &Arc<TrafficCore>) {
    let active = core.active.enter();
    core.metrics.caller_connections.inc();
    let responder = Responder::<()>::new(tree, None);
    let stream = CallerStream::new(stream, core.limits.body_time.duration());
    let served = connection_builder(core).serve_connection(TokioIo::new(stream), responder);
    let mut served = pin!(served);
    let mut phase = core.phase.subscribe();
    let ended = tokio::select! {
        ended = &mut served => Some(ended),
        _ = phase.wait_for(|phase| *phase == ServerPhase::Closing) => None,
    };
    let ended = if let Some(ended) = ended {
        ended
    } else {
        served.as_mut().graceful_shutdown();
        served.await
    };
    if let Err(error) = ended {
        debug!(core.logger, "traffic: connection ended"; "cause" => %error);
    }
    core.metrics.caller_connections.dec();
    drop(active);
}

/// Answers the request of a surplus connection with the refusal that too many
/// connections are open.
pub(super) async fn refuse_connection(stream: TcpStream, core: &Arc<TrafficCore>) {
    let detail = format!("{} connections are open", core.limits.connections);
    let report = ProblemReport::refused(ResultCode::TooManyConnections, detail);
    let refuse = service_fn(|_: Request<Incoming>| {
        core.metrics.count_problem(&report);
        let response: Response<Body> = report.response(None);
        async move { Ok::<_, Infallible>(response) }
    });
    let served = connection_builder(core).serve_connection(TokioIo::new(stream), refuse);
    // Whether the caller reads the refusal does not matter here.
    let _ = timeout(core.limits.header_time.duration(), served).await;
}

fn connection_builder(core: &TrafficCore) -> Builder {
    let header_bytes = core.limits.header_bytes as usize;
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(core.limits.header_time.duration())
        .max_headers((header_bytes / MIN_FIELD_BYTES).min(MAX_HEADER_FIELDS))
        .max_header_size(header_bytes);
    builder
}
