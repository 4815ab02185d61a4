//! What a daemon asks its surroundings to do.

use std::net::SocketAddr;

use ward_protocol::{
    BackendId, BackendOrder, ControlEnvelope, DaemonId, LogOffset, LogStream, MonoTime,
    PeerAddress, PeerMessage, RecordId,
};

/// Something that a daemon's surroundings are to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlAction {
    /// Read a stream from an offset on, to its end; answered by `Read` or `ReadFailed`.
    Read {
        /// Which stream.
        stream: LogStream,
        /// First offset wanted.
        from: LogOffset,
    },
    /// Find the newest snapshot in the log; answered by `Snapshot`, `NoSnapshot` or `ReadFailed`.
    ReadSnapshot,
    /// Fetch state from a peer over TCP; answered by `Snapshot` and `PeerRecords`, or by nothing.
    FetchState {
        /// The peer.
        peer: PeerAddress,
        /// Control offset up to which this daemon has applied.
        applied: LogOffset,
    },
    /// Append to the control stream; answered by `Appended`.
    Append {
        /// The record.
        envelope: ControlEnvelope,
    },
    /// Write a snapshot; answered by `SnapshotWritten`.
    WriteSnapshot {
        /// Names the snapshot.
        snapshot: RecordId,
        /// Control offset that it reflects.
        control: LogOffset,
        /// Plan offset that it reflects.
        plan: LogOffset,
        /// The encoded control state.
        bytes: Vec<u8>,
    },
    /// Send an order to an engine; answered by `OrderEnded`.
    Order {
        /// The engine.
        backend: BackendId,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: BackendOrder,
        /// Past this point the order must not be sent: the lease has run out.
        not_after: MonoTime,
    },
    /// Ask a backend server for its status; answered by `Status` or `StatusFailed`.
    FetchStatus {
        /// The backend server.
        backend: BackendId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Read the host list; answered by `Hosts` or `HostsFailed`.
    FetchHosts,
    /// Send a datagram to another daemon; lost at will.
    Send {
        /// The receiver.
        daemon: DaemonId,
        /// Where it listens.
        address: PeerAddress,
        /// The message.
        message: PeerMessage,
    },
    /// Publish a new routing view; `ControlCore::view` builds it.
    Publish,
    /// All orders of a stopping daemon have ended and its `Leave` is stored.
    Stopped,
}
