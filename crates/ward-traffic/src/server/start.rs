//! Starts the server, and drains it without interrupting requests.

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
use super::upkeep::maintain_queue;
use crate::core::{ActiveCount, NoticeHolder, ServerPhase, TrafficCore};
use crate::forward::RetryBudget;
use crate::input::BodyMemory;
use crate::metrics::TrafficMetrics;
use crate::notice::NoticeSink;
use crate::once::OnceCalls;
use crate::waiting::{RequestEntry, WaitList, WaitSettings};

/// How long a backend server that could not be reached, or a replica that was not
/// ready, gets no new requests.
const AVOID_DURATION: TimeSpan = TimeSpan::from_millis(250);

quick_error! {
    /// Reason why the server could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// The local address of the listener cannot be read.
        Address(cause: io::Error) {
            from()
            display("the listener has no address: {cause}; bind it again")
            source(cause)
        }
        /// A metric cannot be registered, usually because it is registered already.
        Metrics(cause: prometheus::Error) {
            from()
            display("the metrics cannot be registered: {cause}; use a fresh registry")
            source(cause)
        }
    }
}

/// Settings and dependencies of the server.
#[derive(Clone)]
pub struct ServerParts {
    /// Id of this daemon.
    pub daemon: DaemonId,
    /// Availability zone of this daemon; decides between backend servers that are
    /// otherwise equal.
    pub zone: ZoneName,
    /// Limits on requests and connections.
    pub limits: TrafficLimits,
    /// Routing views published by the control thread.
    pub view: watch::Receiver<Arc<RoutingView>>,
    /// Receives notices for the control thread.
    pub notice: NoticeSink,
    /// The log of calls that may not be repeated.
    pub once: OnceCalls,
    /// Registry for the server's metrics.
    pub registry: prometheus::Registry,
    /// Logger for all log lines of the server.
    pub logger: Logger,
}

/// HTTP server for callers.
#[derive(Debug)]
pub struct CallerServer;

impl CallerServer {
    /// Starts accepting connections; must be called within a `tokio` runtime.
    ///
    /// # Errors
    ///
    /// The listener has no address, or the registry has the metrics already.
    pub fn start(listener: TcpListener, parts: ServerParts) -> Result<ServerHandle, StartError> {
        let address = listener.local_addr()?;
        let core = Arc::new(build_core(parts)?);
        let tree = Arc::new(route_tree(&core));
        tokio::spawn(accept_callers(listener, tree, Arc::clone(&core)));
        tokio::spawn(maintain_queue(
            Arc::downgrade(&core.wait_list),
            core.view_receiver(),
            core.client.clone(),
            core.metrics.waiting_requests.clone(),
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
        avoid_duration: AVOID_DURATION,
        zone: parts.zone,
        notice: Arc::clone(&parts.notice),
    };
    Ok(TrafficCore {
        daemon: parts.daemon,
        limits: parts.limits,
        wait_list: WaitList::new(settings, parts.view.clone()),
        views: parts.view,
        client: BackendClient::new(ClientLimits::default()),
        retry_budget: RetryBudget::new(parts.limits.retry_percent),
        body_memory: BodyMemory::default(),
        once: parts.once,
        notice: NoticeHolder(parts.notice),
        metrics,
        logger: parts.logger,
        phase: watch::Sender::new(ServerPhase::Open),
        active: ActiveCount::new(),
    })
}

/// Handle of a running server.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    core: Arc<TrafficCore>,
}

impl ServerHandle {
    /// Address that callers connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// All waiting and running requests, oldest first.
    #[must_use]
    pub fn requests(&self) -> Vec<RequestEntry> {
        self.core.wait_list.requests()
    }

    /// Number of requests that wait for a slot.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.core.wait_list.waiting_count()
    }

    /// Drains the server; returns when every accepted request is finished.
    ///
    /// Call it once this daemon has been removed from the address list. Callers that
    /// cached the daemon's address are served until the list's time to live
    /// (`entry_ttl`) and `stop_slack` have passed. Then new requests are refused, and
    /// the others are finished, however long that takes.
    pub async fn drain(&self) {
        let core = &self.core;
        info!(core.logger, "traffic: drain begins");
        core.phase.send_replace(ServerPhase::Leaving);
        let address_lifetime = core.limits.entry_ttl + core.limits.stop_slack;
        sleep(address_lifetime.duration()).await;
        info!(core.logger, "traffic: refusing new requests");
        core.phase.send_replace(ServerPhase::Refusing);
        let slack = core.limits.stop_slack.duration();
        let _ = timeout(slack.max(MIN_REFUSAL_TIME), core.active.wait_idle()).await;
        core.phase.send_replace(ServerPhase::Closing);
        core.active.wait_idle().await;
        info!(core.logger, "traffic: all requests finished");
    }
}

/// Minimum time in which requests on open connections still get a refusal before
/// the connections are closed.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(100);
