//! Connections of callers.
//!
//! A daemon that is shutting down keeps accepting and answering for a while, since
//! callers may still have its address. Each answer then carries `Connection: close`,
//! so that no idle connection is closed while a request is being sent on it.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use ward_fleet::CallerLimits;
use ward_protocol::TimeSpan;

use super::answer::{AnswerBody, set_connection_close};
use super::handle::handle_request;
use crate::gateway::Gateway;

/// Limits on connections of callers until a manifest is known; the idle timeout always
/// applies to the daemon's own endpoints.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: TimeSpan::from_secs(10),
    idle_timeout: TimeSpan::from_secs(15),
};
/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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
            Ok((stream, _)) => {
                tracker.open.set(tracker.open.get() + 1);
                let guard = ConnectionGuard(Rc::clone(&tracker));
                tokio::task::spawn_local(serve_caller(Rc::clone(&gateway), stream, guard));
            }
            Err(cause) => {
                warn!(gateway.logger, "callers: accept failed"; "cause" => %cause);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_caller(gateway: Rc<Gateway>, stream: TcpStream, guard: ConnectionGuard) {
    if let Err(cause) = stream.set_nodelay(true) {
        debug!(gateway.logger, "callers: TCP_NODELAY not set"; "cause" => %cause);
    }
    let limits = gateway
        .manifest()
        .map_or(DEFAULT_LIMITS, |manifest| manifest.limits);
    let service = service_fn(|request| {
        let gateway = Rc::clone(&gateway);
        async move {
            let mut response = handle_request(Rc::clone(&gateway), request).await;
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
    listener: TcpListener,
    handler: impl Fn(Rc<Gateway>, Request<Incoming>) -> F + Copy + 'static,
) where
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(cause) => {
                warn!(gateway.logger, "endpoint: accept failed"; "cause" => %cause);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = handler(Rc::clone(&gateway), request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_LIMITS.idle_timeout.duration())
                .serve_connection(TokioIo::new(stream), service);
            if let Err(cause) = connection.await {
                debug!(gateway.logger, "endpoint: connection ended"; "cause" => %cause);
            }
        });
    }
}
