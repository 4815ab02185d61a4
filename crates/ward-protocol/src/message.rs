//! Messages between daemons.
//!
//! All messages except [`PeerMessage::Released`] are hints: they may be lost,
//! duplicated or delayed without affecting correctness. A release notice is acted
//! upon, so it names the fencing number under which the receiver owns the engine.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{BackendId, DaemonId, FenceNumber, Incarnation, LogOffset, RequestId};
use crate::plan::ReplicaKey;
use crate::time::WallTime;
use crate::unit::PriorityLevel;

/// Address at which a daemon is reached by other daemons, for both UDP and TCP.
pub type PeerAddress = SocketAddr;

/// A message together with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The daemon that sent the message.
    pub sender: DaemonId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Content of the message.
    pub message: PeerMessage,
}

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Probes whether the receiver is alive.
    Probe {
        /// Number that the reply repeats.
        sequence: u64,
        /// Newest control offset that the sender has applied.
        applied: LogOffset,
    },
    /// Reply to a probe: the sender is alive.
    ProbeAck {
        /// Number of the probe.
        sequence: u64,
        /// Newest control offset that the sender has applied.
        applied: LogOffset,
    },
    /// Asks the receiver to probe a third daemon on behalf of the sender.
    ProbeRelay {
        /// Number that the reply repeats.
        sequence: u64,
        /// The daemon to probe.
        target: DaemonId,
    },
    /// Reply to a probe relay: the third daemon is alive.
    RelayAck {
        /// Number of the relay request.
        sequence: u64,
        /// The daemon that answered the probe.
        target: DaemonId,
    },
    /// Requests wait for a replica, or used one; the hint says which.
    Wake(WakeHint),
    /// The control stream has new records.
    Fresh {
        /// Newest control offset that the sender knows of.
        end: LogOffset,
    },
    /// The sender no longer owns an engine and has no more orders to it under way.
    Released {
        /// The engine.
        backend: BackendId,
        /// Fencing number under which the receiver owns the engine.
        fence: FenceNumber,
    },
    /// A caller disconnected: its request is cancelled wherever it runs.
    Cancel {
        /// The request to cancel.
        request: RequestId,
    },
}

/// A hint that requests of one daemon wait for a replica. The model's owner takes it into
/// account when it decides on loads. If it finds no engine for the load, it sends a hint to
/// the owner of an engine in standby, which wakes that engine: it returns the engine to
/// serving. Between daemons, a hint without waiting requests reports that the replica was
/// used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WakeHint {
    /// The replica that the requests wait for.
    pub key: ReplicaKey,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Highest priority among the waiting requests.
    pub priority: PriorityLevel,
    /// Earliest deadline among the waiting requests.
    pub deadline: WallTime,
}
