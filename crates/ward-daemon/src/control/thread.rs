//! The event loop of the control thread.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};
use ward_control::{ControlAction, ControlCore, ControlEvent};
use ward_peer::{
    DatagramSocket, LevelReport, PeerAnswer, PeerRequest, StateAnswer, StateRequest, serve_peers,
};
use ward_protocol::{BackendKind, DaemonId, LogOffset, PlanRevision, ViewMode, WallTime};

use super::act::{ActionClients, ActionRunner, ProcessClock};
use super::handle::{ControlChannels, ControlHandle, ControlInput, MemberIncarnation, MemberList};
use super::metrics::ControlMetrics;
use super::ring::SharedRings;

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The parts that the control thread runs with.
pub struct ControlParts {
    /// Id of this daemon.
    pub daemon: DaemonId,
    /// Decides on actions; does no I/O.
    pub core: ControlCore,
    /// Clock that the core was created with.
    pub clock: ProcessClock,
    /// Clients that actions use.
    pub clients: ActionClients,
    /// Receives datagrams from other daemons.
    pub socket: DatagramSocket,
    /// Accepts connections on which other daemons request state, or this daemon's
    /// applied offset and plan revision.
    pub listener: TcpListener,
    /// Sends results of actions back to this thread.
    pub handle: ControlHandle,
    /// Receives events and queries; publishes views.
    pub channels: ControlChannels,
    /// Metrics that the loop updates.
    pub metrics: ControlMetrics,
    /// Newest records read from the log, kept for peers.
    pub rings: SharedRings,
    /// Logger of the control loop and its actions.
    pub logger: Logger,
}

/// Runs the control loop until it receives [`ControlInput::Quit`]; must be called on a
/// dedicated thread, within a current-thread runtime.
///
/// The loop continues after the daemon has left, since requests that are still running
/// need up-to-date views.
pub async fn run_control(parts: ControlParts) {
    LocalSet::new().run_until(Box::pin(run_local(parts))).await;
}

async fn run_local(parts: ControlParts) {
    let rings = parts.rings;
    let hints = parts.handle.clone();
    spawn_local(
        parts
            .socket
            .run(move |envelope| hints.send_hint(ControlEvent::Peer { envelope })),
    );
    let handle = parts.handle.clone();
    let keys = parts.clients.keys.clone();
    let responder = peer_responder(handle, rings.clone(), parts.logger.clone());
    spawn_local(serve_peers(
        parts.listener,
        keys,
        parts.logger.clone(),
        responder,
    ));
    let runner = ActionRunner {
        clients: parts.clients,
        handle: parts.handle,
        clock: parts.clock,
        rings,
        metrics: parts.metrics,
        logger: parts.logger,
    };
    let control = ControlLoop {
        core: parts.core,
        channels: parts.channels,
        runner,
        daemon: parts.daemon,
        member_version: None,
    };
    control.run().await;
}

/// Answers requests of peers. A request for state gets the records that the peer lacks,
/// or the whole encoded state, if it is newer, when the rings no longer hold all of them. A
/// request for the level gets the offset applied and the plan revision in force.
fn peer_responder(
    handle: ControlHandle,
    rings: SharedRings,
    logger: Logger,
) -> impl Fn(PeerRequest) -> BoxFuture<'static, PeerAnswer> + Send + Sync + 'static {
    move |request| {
        let handle = handle.clone();
        let logger = logger.clone();
        match request {
            PeerRequest::Level => async move { PeerAnswer::Level(level(&handle).await) }.boxed(),
            PeerRequest::State(request) => {
                let records = rings.records_after(request);
                async move {
                    match records {
                        Some(records) => PeerAnswer::State(StateAnswer::Records(records)),
                        None => PeerAnswer::State(newer_state(&handle, &logger, request).await),
                    }
                }
                .boxed()
            }
        }
    }
}

async fn level(handle: &ControlHandle) -> LevelReport {
    let read = |core: &mut ControlCore| LevelReport {
        applied: core.state().applied(),
        adopted: core.state().adopted(),
    };
    let unavailable = LevelReport {
        applied: LogOffset::ZERO,
        adopted: PlanRevision::default(),
    };
    handle.query(read).await.unwrap_or(unavailable)
}

async fn newer_state(
    handle: &ControlHandle,
    logger: &Logger,
    request: StateRequest,
) -> StateAnswer {
    let encode = move |core: &mut ControlCore| {
        let state = core.state();
        let newer = state.applied() > request.applied;
        newer.then(|| state.encode())
    };
    match handle.query(encode).await.flatten() {
        Some(Ok(bytes)) => StateAnswer::Snapshot(bytes),
        Some(Err(cause)) => {
            warn!(logger, "control: state not sent to peer"; "cause" => %cause);
            StateAnswer::Nothing
        }
        None => StateAnswer::Nothing,
    }
}

struct ControlLoop {
    core: ControlCore,
    channels: ControlChannels,
    runner: ActionRunner,
    daemon: DaemonId,
    /// Version of the members last published; `None` before that.
    member_version: Option<u64>,
}

impl ControlLoop {
    async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.step(ControlEvent::Tick),
                input = self.channels.inputs.recv() => match input {
                    Some(ControlInput::Event(event)) => self.step(event),
                    Some(ControlInput::Query(query)) => query(&mut self.core),
                    Some(ControlInput::Quit) | None => return,
                },
            }
        }
    }

    fn step(&mut self, event: ControlEvent) {
        let timer = self.runner.metrics.step_seconds.start_timer();
        let now = self.runner.clock.now();
        let actions = self.core.step(now, WallTime::now(), event);
        for action in actions {
            self.run_action(action);
        }
        timer.observe_duration();
        let lag = self.core.log_lag();
        self.runner.metrics.log_lag.set(gauge_value(lag));
    }

    fn run_action(&mut self, action: ControlAction) {
        match action {
            ControlAction::Publish => self.publish(),
            ControlAction::Stopped => {
                info!(self.runner.logger, "control: planned stop ended");
                self.channels.stopped.send_replace(true);
            }
            action => self.runner.run(action),
        }
    }

    fn publish(&mut self) {
        let view = Arc::new(self.core.view());
        let metrics = &self.runner.metrics;
        metrics.mode.set(mode_number(view.mode));
        metrics.applied_offset.set(gauge_value(view.applied.0));
        metrics
            .plan_revision
            .set(gauge_value(view.catalog.revision.0));
        let state = self.core.state();
        metrics
            .members
            .set(gauge_value(state.members().len() as u64));
        let owned = state.backends().values().filter(|backend| {
            backend.info.kind == BackendKind::Engine && backend.owner.as_ref() == Some(&self.daemon)
        });
        metrics.owned_engines.set(gauge_value(owned.count() as u64));
        if self.channels.view.borrow().mode != view.mode {
            info!(self.runner.logger, "control: mode changed"; "mode" => ?view.mode);
        }
        self.publish_members();
        self.channels.view.send_replace(view);
    }

    fn publish_members(&mut self) {
        let version = self.core.state().member_version();
        if self.member_version == Some(version) {
            return;
        }
        self.member_version = Some(version);
        let members = self.core.state().members().values();
        let members = members.map(|member| MemberIncarnation {
            daemon: member.info.daemon.clone(),
            incarnation: member.info.incarnation,
        });
        let members = MemberList {
            members: members.collect(),
        };
        self.channels.members.send_replace(Arc::new(members));
    }
}

const fn mode_number(mode: ViewMode) -> i64 {
    match mode {
        ViewMode::Starting => 0,
        ViewMode::RoutingOnly => 1,
        ViewMode::Full => 2,
        ViewMode::Stopping => 3,
    }
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
