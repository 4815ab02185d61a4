//! UDP datagrams between daemons.

use std::io;
use std::net::{SocketAddr, UdpSocket as SendSocket};
use std::sync::Arc;

use prometheus::{IntCounter, Registry};
use slog::{Logger, debug, warn};
use tokio::net::UdpSocket;
use ward_protocol::codec::{decode, encode};
use ward_protocol::{DaemonId, Incarnation, PeerEnvelope, PeerMessage};

use crate::seal::PeerKeys;

/// Maximum size of a sealed datagram in bytes, so that none is fragmented on the way.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Metrics of the datagrams that a daemon sends and receives.
#[derive(Clone)]
pub struct PeerCounters {
    /// Datagrams sent.
    pub sent: IntCounter,
    /// Bytes sent, hashes included.
    pub sent_bytes: IntCounter,
    /// Datagrams received with a valid hash and content.
    pub received: IntCounter,
    /// Bytes of the accepted datagrams, hashes included.
    pub received_bytes: IntCounter,
    /// Datagrams dropped because their hash is invalid or they cannot be decoded.
    pub rejected: IntCounter,
}

impl PeerCounters {
    /// Creates the counters and registers them as `ward_peer_*`.
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
/// It sends without blocking and needs no async runtime, so the control thread
/// can use it. A datagram that the operating system does not accept at once is
/// dropped.
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
    /// Sends a message without a guarantee of delivery.
    ///
    /// A message that cannot be encoded or sent, or that exceeds
    /// [`MAX_DATAGRAM_BYTES`], is dropped and logged.
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

/// The datagram socket of a daemon, which receives the messages of its peers.
pub struct DatagramSocket {
    socket: UdpSocket,
    sender: DatagramSender,
}

impl DatagramSocket {
    /// Wraps a bound socket; must be called within a Tokio runtime.
    ///
    /// # Errors
    /// When the operating system refuses to share the socket or to make it non-blocking.
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

    /// The address that the socket is bound to.
    ///
    /// # Errors
    /// When the operating system cannot report the address.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// A sender that uses the same socket and counters.
    #[must_use]
    pub fn sender(&self) -> DatagramSender {
        self.sender.clone()
    }

    /// Receives datagrams forever and passes each accepted message to `receive`.
    pub async fn run(self, receive: impl Fn(PeerEnvelope)) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((count, from)) => self.accept(&buffer[..count], from, &receive),
                // The error may be an ICMP report that one peer's port is unreachable, so
                // receiving continues for the other peers.
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
