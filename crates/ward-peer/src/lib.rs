//! Messages between daemons: UDP datagrams for hints and probes, TCP for state
//! that does not fit into a datagram.
//!
//! Both carry a keyed hash when the settings contain a key. Two keys are
//! accepted while keys are rotated. A datagram without a valid hash is dropped
//! and counted. A replayed datagram is harmless: hints may be duplicated
//! anyway, and a release notice names the only fencing number that it is valid
//! for.

pub mod datagram;
pub mod seal;
pub mod transfer;

pub use datagram::{DatagramSender, DatagramSocket, PeerCounters};
pub use seal::{KeyBytes, PeerKeys, SealError};
pub use transfer::{
    LevelReport, PeerAnswer, PeerRequest, StateAnswer, StateRequest, TransferError, fetch_level,
    fetch_state, serve_peers,
};
