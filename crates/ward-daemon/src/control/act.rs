//! Carries out what the core asks for.
//!
//! Every action runs in a task of its own on the control thread's runtime and
//! reports back as an event, so a slow log or engine never holds up decisions.

use std::net::SocketAddr;
use std::time::Instant;

use slog::{Logger, debug, warn};
use tokio::task::spawn_local;
use ward_backend::order::send_order;
use ward_backend::status::fetch_status;
use ward_control::{ControlAction, ControlEvent};
use ward_http::HttpClient;
use ward_peer::{DatagramSender, PeerKeys, StateAnswer, StateRequest, fetch_state};
use ward_platform::{HostClient, LogClient, SnapshotImage};
use ward_protocol::codec::encode;
use ward_protocol::{
    AppendResult, BackendId, BackendOrder, ControlEnvelope, LogOffset, LogStream, MonoTime,
    OrderResult, RawRecord, RecordId, TimeSpan,
};

use super::handle::ControlHandle;
use super::metrics::ControlMetrics;
use super::ring::SharedRings;

const MAX_READ_RECORDS: usize = 10_000;
const STATUS_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// The process's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present point.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        let micros = self.start.elapsed().as_micros();
        MonoTime(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// What actions are carried out with.
#[derive(Clone)]
pub struct ActionClients {
    /// The log service.
    pub log: LogClient,
    /// The host list.
    pub hosts: HostClient,
    /// Engines' orders and status.
    pub engines: HttpClient,
    /// Longest time until an order is answered.
    pub order_timeout: TimeSpan,
    /// Other daemons, by datagram.
    pub peers: DatagramSender,
    /// Keys for other daemons, by stream.
    pub keys: PeerKeys,
}

/// Carries out actions on the control thread.
#[derive(Clone)]
pub struct ActionRunner {
    /// What actions are carried out with.
    pub clients: ActionClients,
    /// Where results go.
    pub handle: ControlHandle,
    /// The clock of the events.
    pub clock: ProcessClock,
    /// The newest records read.
    pub rings: SharedRings,
    /// What it costs.
    pub metrics: ControlMetrics,
    /// Where lines go.
    pub logger: Logger,
}

impl ActionRunner {
    /// Starts an action; `Publish` and `Stopped` are the thread's own.
    pub fn run(&self, action: ControlAction) {
        match action {
            ControlAction::Read { stream, from } => {
                self.spawn(Self::read(self.clone(), stream, from));
            }
            ControlAction::ReadSnapshot => self.spawn(Self::read_snapshot(self.clone())),
            ControlAction::FetchState { peer, applied } => {
                self.spawn(Self::fetch_state(self.clone(), peer, applied));
            }
            ControlAction::Append { envelope } => self.spawn(Self::append(self.clone(), envelope)),
            ControlAction::WriteSnapshot {
                snapshot,
                control,
                plan,
                bytes,
            } => self.spawn(Self::write_snapshot(
                self.clone(),
                snapshot,
                control,
                plan,
                bytes,
            )),
            ControlAction::Order {
                backend,
                address,
                order,
                not_after,
            } => {
                let order = Self::order(self.clone(), backend, address, order, not_after);
                self.spawn(order);
            }
            ControlAction::FetchStatus { backend, address } => {
                self.spawn(Self::fetch_status(self.clone(), backend, address));
            }
            ControlAction::FetchHosts => self.spawn(Self::fetch_hosts(self.clone())),
            ControlAction::Send {
                address, message, ..
            } => self.clients.peers.send(address, message),
            ControlAction::Publish | ControlAction::Stopped => {}
        }
    }

    // Every action ends in one event, which is told even when the queue is full.
    fn spawn(&self, action: impl Future<Output = Option<ControlEvent>> + 'static) {
        let handle = self.handle.clone();
        spawn_local(async move {
            if let Some(event) = action.await {
                handle.send(event).await;
            }
        });
    }

    async fn read(self, stream: LogStream, from: LogOffset) -> Option<ControlEvent> {
        let started = self.clock.now();
        match self
            .clients
            .log
            .read(stream, from, MAX_READ_RECORDS, TimeSpan::ZERO)
            .await
        {
            Ok(read) => {
                self.cache_records(stream, from, &read.records);
                Some(ControlEvent::Read {
                    stream,
                    started,
                    records: read.records,
                    end: read.end,
                    cut: read.cut,
                })
            }
            Err(cause) => {
                self.metrics.log_read_failures.inc();
                debug!(self.logger, "control: read failed"; "stream" => %stream, "cause" => %cause);
                Some(ControlEvent::ReadFailed { stream })
            }
        }
    }

    fn cache_records(&self, stream: LogStream, from: LogOffset, records: &[RawRecord]) {
        let bytes: usize = records.iter().map(|record| record.bytes.len()).sum();
        self.metrics.log_read_bytes.inc_by(bytes as u64);
        self.rings.push(stream, from, records);
    }

    async fn read_snapshot(self) -> Option<ControlEvent> {
        match self.clients.log.newest_snapshot().await {
            Ok(Some(snapshot)) => Some(ControlEvent::Snapshot {
                bytes: snapshot.bytes,
            }),
            Ok(None) => Some(ControlEvent::NoSnapshot),
            Err(cause) => {
                warn!(self.logger, "control: snapshot not read"; "cause" => %cause);
                Some(ControlEvent::ReadFailed {
                    stream: LogStream::Snapshot,
                })
            }
        }
    }

    async fn fetch_state(self, peer: SocketAddr, applied: LogOffset) -> Option<ControlEvent> {
        let plan = self
            .handle
            .query(|core| core.state().plans().read())
            .await?;
        let request = StateRequest { applied, plan };
        match fetch_state(peer, &self.clients.keys, request).await {
            Ok(StateAnswer::Nothing) => None,
            Ok(StateAnswer::Snapshot(bytes)) => Some(ControlEvent::Snapshot { bytes }),
            Ok(StateAnswer::Records(streams)) => {
                for part in streams {
                    let records = part.records.into_iter().map(|record| RawRecord {
                        offset: record.offset,
                        bytes: record.bytes,
                    });
                    let event = ControlEvent::PeerRecords {
                        stream: part.stream,
                        records: records.collect(),
                    };
                    self.handle.send(event).await;
                }
                None
            }
            Err(cause) => {
                debug!(self.logger, "control: peer gave no state"; "peer" => %peer, "cause" => %cause);
                None
            }
        }
    }

    async fn append(self, envelope: ControlEnvelope) -> Option<ControlEvent> {
        let record = envelope.id;
        let result = match encode(&envelope) {
            Ok(bytes) => {
                self.metrics.log_appended_bytes.inc_by(bytes.len() as u64);
                let appended = self
                    .clients
                    .log
                    .append(LogStream::Control, vec![bytes])
                    .await;
                appended.map_or_else(|cause| cause.result(), |_| AppendResult::Stored)
            }
            Err(_) => AppendResult::Refused,
        };
        Some(ControlEvent::Appended { record, result })
    }

    async fn write_snapshot(
        self,
        snapshot: RecordId,
        control: LogOffset,
        plan: LogOffset,
        bytes: Vec<u8>,
    ) -> Option<ControlEvent> {
        let image = SnapshotImage {
            snapshot,
            control,
            plan,
            bytes,
        };
        let written = self.clients.log.write_snapshot(&image).await;
        if let Err(cause) = &written {
            warn!(self.logger, "control: snapshot not written"; "cause" => %cause);
        }
        Some(ControlEvent::SnapshotWritten {
            control,
            stored: written.is_ok(),
        })
    }

    async fn order(
        self,
        backend: BackendId,
        address: SocketAddr,
        order: BackendOrder,
        not_after: MonoTime,
    ) -> Option<ControlEvent> {
        let result = if self.clock.now() > not_after {
            warn!(self.logger, "control: order not sent, lease over"; "backend" => %backend);
            OrderResult::Unknown
        } else {
            self.metrics.orders.inc();
            let clients = &self.clients;
            send_order(&clients.engines, address, &order, clients.order_timeout).await
        };
        Some(ControlEvent::OrderEnded {
            backend,
            order: order.order,
            result,
        })
    }

    async fn fetch_status(self, backend: BackendId, address: SocketAddr) -> Option<ControlEvent> {
        let started = self.clock.now();
        let engines = &self.clients.engines;
        match fetch_status(engines, address, &backend, STATUS_TIMEOUT).await {
            Ok(status) => Some(ControlEvent::Status { started, status }),
            Err(cause) => {
                debug!(self.logger, "control: no status"; "backend" => %backend, "cause" => %cause);
                Some(ControlEvent::StatusFailed { backend })
            }
        }
    }

    async fn fetch_hosts(self) -> Option<ControlEvent> {
        match self.clients.hosts.list().await {
            Ok(hosts) => Some(ControlEvent::Hosts { hosts }),
            Err(cause) => {
                debug!(self.logger, "control: no host list"; "cause" => %cause);
                Some(ControlEvent::HostsFailed)
            }
        }
    }
}
