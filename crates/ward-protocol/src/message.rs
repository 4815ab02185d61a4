//! Messages between daemons.
//!
//! All but the release notice are hints: one may be lost, doubled or late
//! without harm. A release notice is trusted, so it names the fencing number
//! under which it was sent.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{BackendId, DaemonId, FenceNumber, Incarnation, LogOffset, RequestId};
use crate::plan::ReplicaKey;
use crate::time::WallTime;
use crate::unit::PriorityLevel;

/// Where daemons reach each other, UDP and TCP alike.
pub type PeerAddress = SocketAddr;

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The sender.
    pub sender: DaemonId,
    /// The sender's life.
    pub incarnation: Incarnation,
    /// The message.
    pub message: PeerMessage,
}

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks for a sign of life.
    Probe {
        /// Copied into the answer.
        sequence: u64,
        /// Newest control offset that the sender has applied.
        applied: LogOffset,
    },
    /// A sign of life.
    ProbeAck {
        /// From the probe.
        sequence: u64,
        /// Newest control offset that the sender has applied.
        applied: LogOffset,
    },
    /// Asks the receiver to probe a third daemon.
    ProbeRelay {
        /// Copied into the answer.
        sequence: u64,
        /// Whom to probe.
        target: DaemonId,
    },
    /// Answers a relay: the third daemon is alive.
    RelayAck {
        /// From the relay request.
        sequence: u64,
        /// Who answered.
        target: DaemonId,
    },
    /// Requests wait for a replica.
    Wake(WakeHint),
    /// New records are on the control stream.
    Fresh {
        /// Newest control offset that the sender knows of.
        end: LogOffset,
    },
    /// The sender has ended its orders to an engine that it no longer owns.
    Released {
        /// The engine.
        backend: BackendId,
        /// Fencing number of the receiver's ownership.
        fence: FenceNumber,
    },
    /// A caller left: cancel its request wherever it runs.
    Cancel {
        /// The request.
        request: RequestId,
    },
}

/// Requests of one daemon that wait for a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WakeHint {
    /// What they wait for.
    pub key: ReplicaKey,
    /// How many wait.
    pub waiting: u32,
    /// Highest priority among them.
    pub priority: PriorityLevel,
    /// Earliest deadline among them.
    pub deadline: WallTime,
}
