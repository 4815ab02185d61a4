//! Executes the actions that the core requests.
//!
//! Every action except a datagram runs in its own task on the control thread's runtime
//! and reports its result as an event, so a slow log or engine never delays decisions.

use std::net::SocketAddr;
use std::time::Instant;

use slog::{Logger, debug, warn};
use tokio::task::spawn_local;
use ward_backend::order::send_order;
use ward_backend::status::fetch_status;
use ward_control::{ControlAction, ControlEvent};
use ward_http::UnpooledClient;
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
    /// A clock that reads zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the clock was started.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        let micros = self.start.elapsed().as_micros();
        MonoTime(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Clients and keys that actions use.
#[derive(Clone)]
pub struct ActionClients {
    /// Reads and appends records and snapshots.
    pub log: LogClient,
    /// Reads the list of backend servers.
    pub hosts: HostClient,
    /// Sends orders to engines and reads their status.
    pub engines: UnpooledClient,
    /// Timeout for the answer to an order.
    pub order_timeout: TimeSpan,
    /// Sends datagrams to other daemons.
    pub peers: DatagramSender,
    /// Keys that authenticate state transfers between daemons.
    pub keys: PeerKeys,
}

/// Executes actions on the control thread.
#[derive(Clone)]
pub struct ActionRunner {
    /// Clients that the actions use.
    pub clients: ActionClients,
    /// Receives the result of each action as an event.
    pub handle: ControlHandle,
    /// Clock of the timestamps in events.
    pub clock: ProcessClock,
    /// Newest records read from the log, kept for peers.
    pub rings: SharedRings,
    /// Counters of log traffic and orders.
    pub metrics: ControlMetrics,
    /// Logger of failed actions.
    pub logger: Logger,
}

impl ActionRunner {
    /// Starts an action without waiting for it; the control loop handles `Publish` and
    /// `Stopped` itself.
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

    // The result of an action is never dropped: it waits while the queue is full.
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

    /// Counts the bytes of records that were read, and keeps them for peers.
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
            .query(|core| core.state().plans().applied())
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
                debug!(self.logger, "control: state not fetched from peer"; "peer" => %peer, "cause" => %cause);
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
                debug!(self.logger, "control: status not read"; "backend" => %backend, "cause" => %cause);
                Some(ControlEvent::StatusFailed { backend })
            }
        }
    }

    async fn fetch_hosts(self) -> Option<ControlEvent> {
        match self.clients.hosts.list().await {
            Ok(hosts) => Some(ControlEvent::Hosts { hosts }),
            Err(cause) => {
                debug!(self.logger, "control: host list not read"; "cause" => %cause);
                Some(ControlEvent::HostsFailed)
            }
        }
    }
}
