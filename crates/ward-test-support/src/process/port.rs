//! Ports for programs that need to know them before they start.
//!
//! A port that the system hands out is soon taken by somebody's outgoing
//! connection once it is given back, and a daemon that restarts finds its own
//! port gone. These come from below the range that the system hands out, in a
//! row from a random one on, so that one process never gives out a port twice.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};

const PORTS: Range<u16> = 12_000..32_000;
const MAX_TRIES: u16 = 1_000;

static NEXT_PORT: LazyLock<AtomicU16> = LazyLock::new(|| AtomicU16::new(rand::random_range(PORTS)));

/// An address of this machine that is free for TCP and UDP at the moment.
///
/// # Errors
/// When none is found.
pub(super) fn free_address() -> io::Result<SocketAddr> {
    for _ in 0..MAX_TRIES {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % (PORTS.end - PORTS.start);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORTS.start + offset));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}
