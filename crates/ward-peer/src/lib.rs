//! Messages between daemons: datagrams for hints and probes, a stream for
//! state that does not fit into one.
//!
//! Both carry a keyed hash when the settings hold a key. Two keys are accepted
//! while keys are rotated; what has no valid hash is dropped and counted.
//! A replayed datagram does no harm: hints may be doubled anyway, and a release
//! notice names the one fencing number for which it counts.

pub mod datagram;
pub mod seal;
pub mod transfer;

pub use datagram::{DatagramSender, DatagramSocket, PeerCounters};
pub use seal::{KeyBytes, PeerKeys, SealError};
pub use transfer::{
    LevelReport, PeerAnswer, PeerRequest, StateAnswer, StateRequest, TransferError, fetch_level,
    fetch_state, serve_peers,
};
