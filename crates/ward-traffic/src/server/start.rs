//! Starts the server and stops it without cutting off a request.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use ward_backend::request::{BackendClient, ClientLimits};
use ward_protocol::{DaemonId, RoutingView, TimeSpan, TrafficLimits, ZoneName};

use super::accept::accept_callers;
use super::routes::route_tree;
use super::upkeep::keep_up;
use crate::core::{NoticeHolder, ServerPhase, TrafficCore, WorkCount};
use crate::forward::RetryBudget;
use crate::input::BodyMemory;
use crate::metrics::TrafficMetrics;
use crate::notice::NoticeSink;
use crate::once::OnceCalls;
use crate::waiting::{RequestEntry, WaitList, WaitSettings};

/// How long a backend server that did not answer gets nothing.
const AVOID_TIME: TimeSpan = TimeSpan::from_millis(250);

quick_error! {
    /// Why the server did not start.
    #[derive(Debug)]
    pub enum StartError {
        /// The address of the listener is not known.
        Address(cause: io::Error) {
            from()
            display("the listener has no address: {cause}; bind it again")
            source(cause)
        }
        /// A metric is registered already.
        Metrics(cause: prometheus::Error) {
            from()
            display("the metrics cannot be registered: {cause}; use a fresh registry")
            source(cause)
        }
    }
}

/// What the server is given.
#[derive(Clone)]
pub struct ServerParts {
    /// This daemon.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Limits on requests.
    pub limits: TrafficLimits,
    /// The control state as published.
    pub view: watch::Receiver<Arc<RoutingView>>,
    /// Takes notices for the control thread.
    pub notice: NoticeSink,
    /// The log of calls that may not be repeated.
    pub once: OnceCalls,
    /// Where metrics are registered.
    pub registry: prometheus::Registry,
    /// Takes log lines.
    pub logger: Logger,
}

/// The server that callers connect to.
#[derive(Debug)]
pub struct CallerServer;

impl CallerServer {
    /// Starts to accept callers; must be called within a `tokio` runtime.
    ///
    /// # Errors
    ///
    /// The listener has no address, or the registry holds the metrics already.
    pub fn start(listener: TcpListener, parts: ServerParts) -> Result<ServerHandle, StartError> {
        let address = listener.local_addr()?;
        let core = Arc::new(build_core(parts)?);
        let tree = Arc::new(route_tree(&core));
        tokio::spawn(accept_callers(listener, tree, Arc::clone(&core)));
        tokio::spawn(keep_up(
            Arc::downgrade(&core.waiting),
            core.view_receiver(),
            core.client.clone(),
            core.metrics.waiting.clone(),
        ));
        info!(core.logger, "traffic: accepting callers"; "address" => %address);
        Ok(ServerHandle { address, core })
    }
}

fn build_core(parts: ServerParts) -> Result<TrafficCore, StartError> {
    let metrics = TrafficMetrics::register(&parts.registry)?;
    let settings = WaitSettings {
        max_waiting: parts.limits.waiting as usize,
        max_per_replica: parts.limits.per_replica,
        avoid_duration: AVOID_TIME,
        zone: parts.zone,
        notice: Arc::clone(&parts.notice),
    };
    Ok(TrafficCore {
        daemon: parts.daemon,
        limits: parts.limits,
        waiting: WaitList::new(settings, parts.view.clone()),
        views: parts.view,
        client: BackendClient::new(ClientLimits::default()),
        budget: RetryBudget::new(parts.limits.retry_percent),
        bodies: BodyMemory::default(),
        once: parts.once,
        notice: NoticeHolder(parts.notice),
        metrics,
        logger: parts.logger,
        phase: watch::Sender::new(ServerPhase::Open),
        work: WorkCount::new(),
    })
}

/// A running server.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    core: Arc<TrafficCore>,
}

impl ServerHandle {
    /// Where callers connect.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// All requests that wait or run, oldest first.
    #[must_use]
    pub fn requests(&self) -> Vec<RequestEntry> {
        self.core.waiting.requests()
    }

    /// Requests that wait for a slot.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.core.waiting.waiting_count()
    }

    /// Stops the server; ends when every request that it took is finished.
    ///
    /// Call it once this daemon is off the address list. Callers that keep an
    /// old address are served until the list's time to live and the slack have
    /// passed; then new requests are refused and the others finished, however
    /// long that takes.
    pub async fn drain(&self) {
        let core = &self.core;
        info!(core.logger, "traffic: leaving");
        core.phase.send_replace(ServerPhase::Leaving);
        let keep = core.limits.entry_ttl + core.limits.stop_slack;
        sleep(keep.duration()).await;
        info!(core.logger, "traffic: refusing new requests");
        core.phase.send_replace(ServerPhase::Refusing);
        let slack = core.limits.stop_slack.duration();
        let _ = timeout(slack.max(SHORTEST_REFUSAL), core.work.idle()).await;
        core.phase.send_replace(ServerPhase::Closing);
        core.work.idle().await;
        info!(core.logger, "traffic: all requests finished");
    }
}

/// Shortest time in which a caller on an open connection is told of the stop.
const SHORTEST_REFUSAL: Duration = Duration::from_millis(100);
