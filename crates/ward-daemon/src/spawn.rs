//! Starts the control thread.

use std::thread;

use slog::Logger;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use ward_control::{ControlConfig, ControlCore};
use ward_http::UnpooledClient;
use ward_peer::{DatagramSocket, PeerCounters, PeerKeys};
use ward_platform::{HostClient, LogClient, LogTimeouts};
use ward_protocol::{MemberInfo, TimeSpan};
use ward_settings::DaemonSettings;

use crate::control::act::{ActionClients, ProcessClock};
use crate::control::handle::ControlChannels;
use crate::control::ring::SharedRings;
use crate::control::{ControlHandle, ControlMetrics, ControlParts, run_control};
use crate::process::DaemonError;
use crate::socket::PeerSockets;

const HOSTS_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// Everything that the control thread owns once it runs.
pub(crate) struct ThreadSetup {
    pub(crate) settings: DaemonSettings,
    pub(crate) member: MemberInfo,
    pub(crate) handle: ControlHandle,
    pub(crate) channels: ControlChannels,
    pub(crate) rings: SharedRings,
    pub(crate) keys: PeerKeys,
    pub(crate) metrics: ControlMetrics,
    pub(crate) counters: PeerCounters,
    pub(crate) logger: Logger,
}

impl ThreadSetup {
    /// Starts the thread and waits until its sockets are registered with its runtime.
    pub(crate) async fn start(
        self,
        sockets: PeerSockets,
    ) -> Result<thread::JoinHandle<()>, DaemonError> {
        let (ready, started) = oneshot::channel();
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || self.run(sockets, ready))
            .map_err(DaemonError::Thread)?;
        match started.await {
            Ok(Ok(())) => Ok(thread),
            Ok(Err(cause)) => Err(DaemonError::Thread(cause)),
            Err(_) => Err(DaemonError::Setup("the control thread ended".to_owned())),
        }
    }

    fn run(self, sockets: PeerSockets, ready: oneshot::Sender<std::io::Result<()>>) {
        let runtime = match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(cause) => {
                // This send, like those below, fails only when `start` was cancelled and
                // no longer waits for the result.
                let _ = ready.send(Err(cause));
                return;
            }
        };
        runtime.block_on(async move {
            match self.into_parts(sockets) {
                Ok(parts) => {
                    let _ = ready.send(Ok(()));
                    Box::pin(run_control(parts)).await;
                }
                Err(cause) => {
                    let _ = ready.send(Err(cause));
                }
            }
        });
    }

    fn into_parts(self, sockets: PeerSockets) -> std::io::Result<ControlParts> {
        let clock = ProcessClock::start();
        let socket = DatagramSocket::new(
            sockets.datagram,
            self.keys.clone(),
            self.member.daemon.clone(),
            self.member.incarnation,
            self.counters,
            self.logger.clone(),
        )?;
        let clients = ActionClients {
            log: LogClient::new(self.settings.platform.log, LogTimeouts::default()),
            hosts: HostClient::new(self.settings.platform.hosts, HOSTS_TIMEOUT),
            engines: UnpooledClient::new(),
            order_timeout: self.settings.lease.order_life,
            peers: socket.sender(),
            keys: self.keys,
        };
        let daemon = self.member.daemon.clone();
        let mut config = ControlConfig::new(self.member, rand::random());
        config.lease = self.settings.lease;
        config.policy = self.settings.policy;
        config.limits = self.settings.store;
        config.peers = self.settings.seeds;
        Ok(ControlParts {
            daemon,
            core: ControlCore::new(config, clock.now()),
            clock,
            clients,
            socket,
            listener: TcpListener::from_std(sockets.stream)?,
            handle: self.handle,
            channels: self.channels,
            metrics: self.metrics,
            rings: self.rings,
            logger: self.logger,
        })
    }
}
