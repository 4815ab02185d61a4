//! Ports for programs that need to know them before they start.
//!
//! A port from the system's ephemeral range may be taken by any outgoing connection
//! as soon as it is released, so a daemon that restarts would find its own port in
//! use. These ports come from below that range, one after the other from a random
//! start, so that one process does not give out a port twice.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};

const PORTS: Range<u16> = 12_000..32_000;
const MAX_PORT_ATTEMPTS: u16 = 1_000;

static NEXT_PORT: LazyLock<AtomicU16> = LazyLock::new(|| AtomicU16::new(rand::random_range(PORTS)));

/// Returns a loopback address whose port is currently free for both TCP and UDP.
///
/// # Errors
/// When none of [`MAX_PORT_ATTEMPTS`] ports is free.
pub(super) fn free_address() -> io::Result<SocketAddr> {
    for _ in 0..MAX_PORT_ATTEMPTS {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % (PORTS.end - PORTS.start);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORTS.start + offset));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}
