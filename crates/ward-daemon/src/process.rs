//! Starts and stops the parts of a daemon in the required order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use prometheus::Registry;
use quick_error::quick_error;
use slog::{Logger, info, o, warn};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use ward_control::ControlEvent;
use ward_once::{OnceSettings, OnceStore};
use ward_operator::{OperatorServer, TokenDigest, operator_router, serve_operators};
use ward_peer::{PeerCounters, PeerKeys};
use ward_platform::{AppendQueue, LogClient, LogTimeouts, QueueLimits};
use ward_protocol::{DaemonId, LogStream, MemberInfo, TimeSpan};
use ward_settings::DaemonSettings;
use ward_traffic::{CallerServer, NoticeSink, ServerHandle, ServerParts, TrafficNotice};

use crate::control::ring::SharedRings;
use crate::control::{ControlHandle, ControlMetrics};
use crate::once::{once_calls, shard_ports};
use crate::operator::{OperatorParts, operator_calls};
use crate::requests::request_lister;
use crate::socket::BoundSockets;
use crate::spawn::ThreadSetup;

/// How long one read of a request shard waits for new records.
const SHARD_READ_WAIT: TimeSpan = TimeSpan::from_millis(500);
/// Timeout for reading back the `Begin` record of a request.
const READ_BACK_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);
/// Memory for answers kept for idempotency keys, divided among the shards.
const ANSWER_CACHE_BYTES: usize = 4 << 20;
/// Timeout of each step of a planned stop that depends on the log.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);
const THREAD_POLL_INTERVAL: Duration = Duration::from_millis(10);

quick_error! {
    /// Why a daemon cannot start.
    #[derive(Debug)]
    pub enum DaemonError {
        /// A listen address cannot be bound; `role` names its users.
        Address(role: &'static str, address: SocketAddr, cause: io::Error) {
            display("the address for {role}, {address}, cannot be used: {cause}; free it or choose another")
            source(cause)
        }
        /// The control thread, its runtime or its sockets cannot be set up.
        Thread(cause: io::Error) {
            display("the control thread cannot be started: {cause}")
            source(cause)
        }
        /// Another part cannot be set up.
        Setup(detail: String) {
            display("the daemon cannot be set up: {detail}")
        }
    }
}

/// Advertised addresses of a running daemon; an advertised port of 0 is replaced by the
/// port that was bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
    /// UDP and TCP for other daemons.
    pub peers: SocketAddr,
}

/// A started daemon, until [`stop`](Self::stop) is called.
pub struct RunningDaemon {
    /// Addresses under which others reach the daemon.
    pub addresses: DaemonAddresses,
    /// Access to the control thread.
    pub control: ControlHandle,
    server: Arc<ServerHandle>,
    once: Arc<OnceStore>,
    operators: OperatorTask,
    thread: thread::JoinHandle<()>,
    logger: Logger,
}

struct OperatorTask {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl RunningDaemon {
    /// Performs a planned stop: leaves the deployment, finishes every request, then ends.
    pub async fn stop(self) {
        let mut control = self.control.clone();
        control.send(ControlEvent::Stop).await;
        let leave = tokio::time::timeout(LEAVE_TIMEOUT, control.stopped());
        let (leave, ()) = tokio::join!(leave, self.server.drain());
        if leave.is_err() {
            warn!(
                self.logger,
                "daemon: leave not recorded in time; other daemons will expire this member"
            );
        }
        // Answers kept for idempotency keys are worth a short wait, but an outage of the
        // log must not delay the stop for longer.
        let flush = tokio::time::timeout(LEAVE_TIMEOUT, self.once.flush()).await;
        if flush.is_err() {
            warn!(
                self.logger,
                "daemon: stopping before all kept answers were recorded"
            );
        }
        // The send fails only when the task has already ended.
        let _ = self.operators.stop.send(());
        if let Err(cause) = self.operators.task.await {
            warn!(self.logger, "daemon: operator server failed"; "cause" => %cause);
        }
        stop_control_thread(&self.control, &self.thread).await;
        info!(self.logger, "daemon: stopped");
    }
}

async fn stop_control_thread(control: &ControlHandle, thread: &thread::JoinHandle<()>) {
    control.quit().await;
    while !thread.is_finished() {
        tokio::time::sleep(THREAD_POLL_INTERVAL).await;
    }
}

/// Starts a daemon: callers and operators are served on the current runtime, the
/// control loop runs on its own thread.
///
/// # Errors
/// When an address cannot be bound, or a part cannot be set up.
pub async fn start_daemon(
    settings: DaemonSettings,
    logger: Logger,
) -> Result<RunningDaemon, DaemonError> {
    let logger = logger.new(o!("daemon" => settings.daemon.to_string()));
    let sockets = BoundSockets::bind(&settings).await?;
    let member = sockets.member_info(&settings);
    let addresses = DaemonAddresses {
        callers: sockets.callers_address,
        operators: sockets.operators_address,
        peers: sockets.peers_address,
    };
    let registry = Registry::new();
    let rings = SharedRings::default();
    let (control, channels) = ControlHandle::new();
    let setup = ThreadSetup {
        settings: settings.clone(),
        member: member.clone(),
        handle: control.clone(),
        channels,
        rings: rings.clone(),
        keys: peer_keys(&settings),
        metrics: ControlMetrics::register(&registry).map_err(setup_error)?,
        counters: PeerCounters::register(&registry).map_err(setup_error)?,
        logger: logger.clone(),
    };
    let thread = setup.start(sockets.peers).await?;
    let log = LogClient::new(settings.platform.log, LogTimeouts::default());
    let once = start_once_store(&settings, &member, &control, &log, &registry, &logger)?;
    let server = CallerServer::start(
        sockets.callers,
        ServerParts {
            daemon: settings.daemon.clone(),
            zone: settings.zone.clone(),
            limits: settings.traffic,
            view: control.subscribe(),
            notice: notice_sink(&control),
            once: once_calls(&once),
            registry: registry.clone(),
            logger: logger.clone(),
        },
    );
    let server = Arc::new(server.map_err(setup_error)?);
    let parts = OperatorParts {
        daemon: settings.daemon.clone(),
        control: control.clone(),
        log,
        rings,
        keys: peer_keys(&settings),
        requests: request_lister(&server),
        logger: logger.clone(),
    };
    let operators = start_operator_api(sockets.operators, &settings, &parts, registry)?;
    info!(
        logger, "daemon: started";
        "callers" => %addresses.callers, "operators" => %addresses.operators,
        "peers" => %addresses.peers,
    );
    Ok(RunningDaemon {
        addresses,
        control,
        server,
        once,
        operators,
        thread,
        logger,
    })
}

fn setup_error(cause: impl std::fmt::Display) -> DaemonError {
    DaemonError::Setup(cause.to_string())
}

fn peer_keys(settings: &DaemonSettings) -> PeerKeys {
    let current = settings.keys.current.as_ref().map(|key| *key.bytes());
    let previous = settings.keys.previous.as_ref().map(|key| *key.bytes());
    PeerKeys::new(current, previous)
}

fn notice_sink(control: &ControlHandle) -> NoticeSink {
    let control = control.clone();
    Arc::new(move |notice| {
        control.send_hint(match notice {
            TrafficNotice::Wanted { hint } => ControlEvent::Wanted { hint },
            TrafficNotice::Used { hint } => ControlEvent::Used { hint },
            TrafficNotice::Crashed {
                fingerprint,
                backend,
                until,
            } => ControlEvent::Crashed {
                fingerprint,
                backend,
                until,
            },
        });
    })
}

fn start_once_store(
    settings: &DaemonSettings,
    member: &MemberInfo,
    control: &ControlHandle,
    log: &LogClient,
    registry: &Registry,
    logger: &Logger,
) -> Result<Arc<OnceStore>, DaemonError> {
    let mut ports = Vec::new();
    for shard in 0..settings.request_shards {
        let stream = LogStream::Requests(shard);
        let queue = AppendQueue::start(log.clone(), stream, QueueLimits::default(), registry);
        let queue = queue.map_err(setup_error)?;
        ports.push(shard_ports(log.clone(), queue, shard, SHARD_READ_WAIT));
    }
    let once_settings = OnceSettings {
        daemon: member.daemon.clone(),
        incarnation: member.incarnation,
        key_retention: settings.traffic.key_retention,
        kept_answer_bytes: settings.traffic.kept_answer_bytes as usize,
        read_back_timeout: READ_BACK_TIMEOUT,
        cache_bytes: ANSWER_CACHE_BYTES / usize::from(settings.request_shards).max(1),
    };
    let control = control.clone();
    let is_member =
        Box::new(move |daemon: &DaemonId, incarnation| control.is_member(daemon, incarnation));
    OnceStore::start(once_settings, ports, is_member, logger.clone()).map_err(setup_error)
}

fn start_operator_api(
    listener: TcpListener,
    settings: &DaemonSettings,
    parts: &OperatorParts,
    registry: Registry,
) -> Result<OperatorTask, DaemonError> {
    let token = settings.operator_token.as_ref();
    let token = token.map(|token| TokenDigest::from_token(token.expose()));
    let logger = parts.logger.clone();
    let server = OperatorServer::new(operator_calls(parts), token, registry, logger.clone());
    let router = operator_router(Arc::new(server.map_err(setup_error)?));
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = async {
        // An error means that the daemon was dropped, which stops the server too.
        let _ = stopped.await;
    };
    let task = tokio::spawn(serve_operators(listener, router, stopped, logger));
    Ok(OperatorTask { stop, task })
}
