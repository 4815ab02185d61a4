//! Binds the addresses that a daemon listens on.

use std::io;
use std::net::{SocketAddr, TcpListener as PlainListener, UdpSocket};

use tokio::net::TcpListener;
use ward_protocol::{Incarnation, MemberInfo, WallTime};
use ward_settings::{DaemonSettings, ListenAddress};

use crate::process::DaemonError;

/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 16;

/// Sockets bound before any other part starts, so that their ports are known.
pub(crate) struct BoundSockets {
    pub(crate) callers: TcpListener,
    pub(crate) callers_address: SocketAddr,
    pub(crate) operators: TcpListener,
    pub(crate) operators_address: SocketAddr,
    pub(crate) peers: PeerSockets,
    pub(crate) peers_address: SocketAddr,
}

/// The sockets for other daemons, handed to the control thread.
pub(crate) struct PeerSockets {
    pub(crate) stream: PlainListener,
    pub(crate) datagram: UdpSocket,
}

impl BoundSockets {
    pub(crate) async fn bind(settings: &DaemonSettings) -> Result<Self, DaemonError> {
        let addresses = &settings.addresses;
        let callers = listen("callers", &addresses.callers).await?;
        let operators = listen("operators", &addresses.operators).await?;
        let peers = bind_peers(addresses.peers.bind)
            .map_err(|cause| DaemonError::Address("peers", addresses.peers.bind, cause))?;
        let peers_port = peers.stream.local_addr().map(|address| address.port());
        Ok(Self {
            callers_address: advertised_address(&addresses.callers, port(&callers)),
            operators_address: advertised_address(&addresses.operators, port(&operators)),
            peers_address: advertised_address(&addresses.peers, peers_port.unwrap_or_default()),
            callers,
            operators,
            peers,
        })
    }

    pub(crate) fn member_info(&self, settings: &DaemonSettings) -> MemberInfo {
        MemberInfo {
            daemon: settings.daemon.clone(),
            incarnation: Incarnation(WallTime::now().0),
            zone: settings.zone.clone(),
            callers: self.callers_address,
            peers: self.peers_address,
            operators: self.operators_address,
        }
    }
}

async fn listen(role: &'static str, address: &ListenAddress) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address.bind)
        .await
        .map_err(|cause| DaemonError::Address(role, address.bind, cause))
}

fn port(listener: &TcpListener) -> u16 {
    listener
        .local_addr()
        .map(|address| address.port())
        .unwrap_or_default()
}

// An advertised port of 0 is replaced by the port that the operating system chose.
fn advertised_address(address: &ListenAddress, port: u16) -> SocketAddr {
    let mut advertised = address.advertised;
    if advertised.port() == 0 {
        advertised.set_port(port);
    }
    advertised
}

fn bind_peers(address: SocketAddr) -> io::Result<PeerSockets> {
    let attempts = if address.port() == 0 {
        MAX_PORT_ATTEMPTS
    } else {
        1
    };
    let mut last_error = io::Error::other("no attempt made");
    for _ in 0..attempts {
        match bind_pair(address) {
            Ok(sockets) => return Ok(sockets),
            Err(cause) => last_error = cause,
        }
    }
    Err(last_error)
}

fn bind_pair(address: SocketAddr) -> io::Result<PeerSockets> {
    let stream = PlainListener::bind(address)?;
    let datagram = UdpSocket::bind(stream.local_addr()?)?;
    stream.set_nonblocking(true)?;
    datagram.set_nonblocking(true)?;
    Ok(PeerSockets { stream, datagram })
}
