//! Datagrams between daemons.

use std::io;
use std::net::{SocketAddr, UdpSocket as SendSocket};
use std::sync::Arc;

use prometheus::{IntCounter, Registry};
use slog::{Logger, debug, warn};
use tokio::net::UdpSocket;
use ward_protocol::codec::{decode, encode};
use ward_protocol::{DaemonId, Incarnation, PeerEnvelope, PeerMessage};

use crate::seal::PeerKeys;

/// Longest datagram in bytes, so that none is split on the way.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Counts of datagrams and their bytes.
#[derive(Clone)]
pub struct PeerCounters {
    /// Datagrams sent.
    pub sent: IntCounter,
    /// Bytes sent.
    pub sent_bytes: IntCounter,
    /// Datagrams received and accepted.
    pub received: IntCounter,
    /// Bytes received.
    pub received_bytes: IntCounter,
    /// Datagrams dropped because their hash or form is wrong.
    pub rejected: IntCounter,
}

impl PeerCounters {
    /// Counters registered under `ward_peer_*`.
    ///
    /// # Errors
    /// When the registry already holds one of the names.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        Ok(Self {
            sent: counter("ward_peer_sent_total", "Datagrams sent to daemons")?,
            sent_bytes: counter("ward_peer_sent_bytes_total", "Bytes sent to daemons")?,
            received: counter("ward_peer_received_total", "Datagrams taken from daemons")?,
            received_bytes: counter(
                "ward_peer_received_bytes_total",
                "Bytes received from daemons",
            )?,
            rejected: counter("ward_peer_rejected_total", "Datagrams dropped as invalid")?,
        })
    }
}

/// The sending half of a daemon's datagram socket.
///
/// It sends without waiting and outside any runtime, so that the control thread
/// can use it; a datagram that the system does not take at once is lost.
#[derive(Clone)]
pub struct DatagramSender {
    socket: Arc<SendSocket>,
    keys: PeerKeys,
    daemon: DaemonId,
    incarnation: Incarnation,
    counters: PeerCounters,
    logger: Logger,
}

impl DatagramSender {
    /// Sends a message; it may get lost.
    pub fn send(&self, address: SocketAddr, message: PeerMessage) {
        let envelope = PeerEnvelope {
            sender: self.daemon.clone(),
            incarnation: self.incarnation,
            message,
        };
        let Ok(bytes) = encode(&envelope) else {
            warn!(self.logger, "peer: message cannot be encoded");
            return;
        };
        let sealed = self.keys.seal(&bytes);
        if sealed.len() > MAX_DATAGRAM_BYTES {
            warn!(self.logger, "peer: message is too long"; "bytes" => sealed.len());
            return;
        }
        match self.socket.send_to(&sealed, address) {
            Ok(count) => {
                self.counters.sent.inc();
                self.counters.sent_bytes.inc_by(count as u64);
            }
            Err(cause) => {
                debug!(self.logger, "peer: send failed"; "to" => %address, "cause" => %cause);
            }
        }
    }
}

/// A daemon's datagram socket.
pub struct DatagramSocket {
    socket: UdpSocket,
    sender: DatagramSender,
}

impl DatagramSocket {
    /// Takes over a bound socket; called within a runtime.
    ///
    /// # Errors
    /// When the system refuses to share the socket or to make it non-blocking.
    pub fn new(
        socket: SendSocket,
        keys: PeerKeys,
        daemon: DaemonId,
        incarnation: Incarnation,
        counters: PeerCounters,
        logger: Logger,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: UdpSocket::from_std(socket.try_clone()?)?,
            sender: DatagramSender {
                socket: Arc::new(socket),
                keys,
                daemon,
                incarnation,
                counters,
                logger,
            },
        })
    }

    /// Where the socket is bound.
    ///
    /// # Errors
    /// When the system does not know.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The sending half.
    #[must_use]
    pub fn sender(&self) -> DatagramSender {
        self.sender.clone()
    }

    /// Passes each accepted message to `receive`, for ever.
    pub async fn run(self, receive: impl Fn(PeerEnvelope)) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((count, from)) => self.accept(&buffer[..count], from, &receive),
                // An unreachable port of a peer is reported here and concerns no one else.
                Err(cause) => {
                    debug!(self.sender.logger, "peer: receive failed"; "cause" => %cause);
                    tokio::task::yield_now().await;
                }
            }
        }
    }

    fn accept(&self, sealed: &[u8], from: SocketAddr, receive: &impl Fn(PeerEnvelope)) {
        let sender = &self.sender;
        let envelope = sender
            .keys
            .open(sealed)
            .ok()
            .and_then(|bytes| decode::<PeerEnvelope>(bytes).ok());
        let Some(envelope) = envelope else {
            sender.counters.rejected.inc();
            debug!(sender.logger, "peer: datagram rejected"; "from" => %from);
            return;
        };
        sender.counters.received.inc();
        sender.counters.received_bytes.inc_by(sealed.len() as u64);
        receive(envelope);
    }
}
