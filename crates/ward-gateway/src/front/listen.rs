//! Connections of callers.
//!
//! A daemon that is shutting down keeps accepting and answering for a while, since
//! callers may still have its address. Each answer then carries `Connection: close`,
//! so that no idle connection is closed while a request is being sent on it.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use ward_adapter::RequestFields;
use ward_fleet::CallerLimits;
use ward_fleet::callers::{BodyLength, EndpointKind, max_header_fields};
use ward_protocol::TimeSpan;

use super::answer::{AnswerBody, OwnAnswer, set_connection_close};
use super::body::discard_rest;
use super::connection::TrackedConnection;
use super::handle::handle_request;
use super::stream::{TrackedAnswer, TrackedStream};
use crate::gateway::Gateway;

/// Limits on connections of callers until a manifest is known; the idle timeout always
/// applies to the daemon's own endpoints.
pub(crate) const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: TimeSpan::from_secs(10),
    idle_timeout: TimeSpan::from_secs(15),
};
/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Retry-After of a request for whose head there is no memory left.
const NO_ROOM_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// Counts open connections of callers and signals them to close.
#[derive(Default)]
pub(crate) struct ConnectionTracker {
    open: Cell<usize>,
    closing: Cell<bool>,
    close_requested: Notify,
}

impl ConnectionTracker {
    /// Number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Stops accepting connections, and closes each open one once its current answer is
    /// complete.
    pub(crate) fn close_all(&self) {
        self.closing.set(true);
        self.close_requested.notify_waiters();
    }
}

/// Counts a connection as closed when dropped.
struct ConnectionGuard(Rc<ConnectionTracker>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Accepts connections of callers until `close_all` is called.
pub(crate) async fn accept_callers(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    tracker: Rc<ConnectionTracker>,
) {
    while !tracker.closing.get() {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = tracker.close_requested.notified() => continue,
        };
        match accepted {
            Ok((stream, source)) => {
                accept_caller(&gateway, &tracker, stream, source);
                // Connections that this one displaced are closed before the next.
                tokio::task::yield_now().await;
            }
            Err(cause) => {
                warn!(gateway.logger, "callers: accept failed"; "cause" => %cause);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn accept_caller(
    gateway: &Rc<Gateway>,
    tracker: &Rc<ConnectionTracker>,
    stream: TcpStream,
    source: SocketAddr,
) {
    let limits = gateway
        .manifest()
        .map_or(DEFAULT_LIMITS, |manifest| manifest.limits);
    let registry = &gateway.connections;
    let buffer_bytes = limits.header_bytes.max(MIN_BUFFER_BYTES);
    let opened = registry.open(EndpointKind::Callers, source.ip(), buffer_bytes);
    let Some(connection) = opened else {
        return;
    };
    let key = connection.key();
    tracker.open.set(tracker.open.get() + 1);
    let guard = ConnectionGuard(Rc::clone(tracker));
    let served = serve_caller(Rc::clone(gateway), stream, connection, limits, guard);
    let task = tokio::task::spawn_local(served);
    registry.set_task(key, task.abort_handle());
}

async fn serve_caller(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    connection: TrackedConnection,
    limits: CallerLimits,
    guard: ConnectionGuard,
) {
    if let Err(cause) = stream.set_nodelay(true) {
        debug!(gateway.logger, "callers: TCP_NODELAY not set"; "cause" => %cause);
    }
    let connection = Rc::new(connection);
    let stream = TrackedStream::new(stream, Rc::clone(&connection));
    let service = service_fn(|request| {
        let handling = |request| handle_request(Rc::clone(&gateway), request);
        let answer = answer_tracked(Rc::clone(&connection), request, handling);
        let gateway = Rc::clone(&gateway);
        async move {
            let mut response = answer.await;
            if gateway.is_stopping() {
                set_connection_close(&mut response);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let idle = limits.idle_timeout.max(limits.header_timeout);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.duration())
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(max_header_fields(limits.header_bytes))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let tracker = Rc::clone(&guard.0);
    loop {
        let closing = tracker.close_requested.notified();
        if tracker.closing.get() {
            connection.as_mut().graceful_shutdown();
        }
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(cause) = result {
                    debug!(gateway.logger, "callers: connection ended"; "cause" => %cause);
                }
                return;
            }
            () = closing => {}
        }
    }
}

/// Serves one of the daemon's own HTTP endpoints.
pub(crate) async fn serve_endpoint<F>(
    gateway: Rc<Gateway>,
    endpoint: EndpointKind,
    listener: TcpListener,
    handler: impl Fn(Rc<Gateway>, Request<Incoming>) -> F + Copy + 'static,
) where
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    loop {
        let (stream, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(cause) => {
                warn!(gateway.logger, "endpoint: accept failed"; "cause" => %cause);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let registry = &gateway.connections;
        let buffer_bytes = DEFAULT_LIMITS.header_bytes;
        if let Some(connection) = registry.open(endpoint, source.ip(), buffer_bytes) {
            let key = connection.key();
            let served = serve_own(Rc::clone(&gateway), stream, connection, handler);
            let task = tokio::task::spawn_local(served);
            registry.set_task(key, task.abort_handle());
        }
        tokio::task::yield_now().await;
    }
}

async fn serve_own<F>(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    connection: TrackedConnection,
    handler: impl Fn(Rc<Gateway>, Request<Incoming>) -> F + Copy + 'static,
) where
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    let connection = Rc::new(connection);
    let stream = TrackedStream::new(stream, Rc::clone(&connection));
    let service = service_fn(|request| {
        let handling = |request| handler(Rc::clone(&gateway), request);
        let answer = answer_tracked(Rc::clone(&connection), request, handling);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_LIMITS.idle_timeout.duration())
        .max_buf_size(DEFAULT_LIMITS.header_bytes)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(cause) = served.await {
        debug!(gateway.logger, "endpoint: connection ended"; "cause" => %cause);
    }
}

/// Answers a request, unless there is no room for its head beside all others, and tells
/// the registry how far it is.
fn answer_tracked<F>(
    connection: Rc<TrackedConnection>,
    mut request: Request<Incoming>,
    handling: impl FnOnce(Request<Incoming>) -> F,
) -> impl Future<Output = Response<TrackedAnswer>>
where
    F: Future<Output = Response<AnswerBody>>,
{
    let length = request.body().size_hint().exact();
    let body = length.map_or(BodyLength::Unknown, |length| {
        BodyLength::Exact(usize::try_from(length).unwrap_or(usize::MAX))
    });
    let decision = connection.record_head(request.headers().len(), body);
    request.extensions_mut().insert(connection.key());
    let outcome = if decision.has_room {
        // Only connections with a request have this large future.
        Ok(Box::pin(handling(request)))
    } else {
        let id = RequestFields::read(request.headers()).id;
        let registry = connection.registry();
        discard_rest(registry, connection.key(), request.into_body());
        Err(OwnAnswer::NotRun(NO_ROOM_RETRY_AFTER).response(id.as_ref()))
    };
    async move {
        let mut response = match outcome {
            Ok(answer) => answer.await,
            Err(refusal) => refusal,
        };
        if decision.is_last || !decision.has_room {
            set_connection_close(&mut response);
        }
        response.map(|body| TrackedAnswer::new(body, connection))
    }
}
