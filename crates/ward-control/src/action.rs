//! Outputs of the control state machine.

use std::net::SocketAddr;

use ward_protocol::{
    BackendId, BackendOrder, ControlEnvelope, DaemonId, LogOffset, LogStream, MonoTime,
    PeerAddress, PeerMessage, RecordId,
};

/// An action that the caller of the state machine carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlAction {
    /// Read a stream from an offset to its end; answered by `Read` or `ReadFailed`.
    Read {
        /// The stream to read: `Plan` or `Control`.
        stream: LogStream,
        /// Offset of the first record to return.
        from: LogOffset,
    },
    /// Read the newest snapshot in the log; answered by `Snapshot`, `NoSnapshot` or `ReadFailed`.
    ReadSnapshot,
    /// Fetch the control state from a peer over TCP; answered by `Snapshot` and
    /// `PeerRecords`, or not at all.
    FetchState {
        /// Address of the peer.
        peer: PeerAddress,
        /// Offset of the last control record that this daemon has applied.
        applied: LogOffset,
    },
    /// Append a record to the control stream; answered by `Appended`.
    Append {
        /// The record with its id and sender.
        envelope: ControlEnvelope,
    },
    /// Write a snapshot; answered by `SnapshotWritten`.
    WriteSnapshot {
        /// Id of the snapshot, shared by all its parts.
        snapshot: RecordId,
        /// Offset of the last control record that the snapshot contains.
        control: LogOffset,
        /// Offset of the last plan record that the snapshot contains.
        plan: LogOffset,
        /// The encoded `ClusterState`.
        bytes: Vec<u8>,
    },
    /// Send an order to an engine; answered by `OrderEnded`.
    Order {
        /// The engine that receives the order.
        backend: BackendId,
        /// Address of the engine.
        address: SocketAddr,
        /// The order with its id and fencing number.
        order: BackendOrder,
        /// End of the lease: after this time the order must not be sent.
        not_after: MonoTime,
    },
    /// Request the status of a backend server; answered by `Status` or `StatusFailed`.
    FetchStatus {
        /// The backend server to query.
        backend: BackendId,
        /// Address of the backend server.
        address: SocketAddr,
    },
    /// Read the platform's host list; answered by `Hosts` or `HostsFailed`.
    FetchHosts,
    /// Send a datagram to another daemon; it may be lost.
    Send {
        /// The receiving daemon.
        daemon: DaemonId,
        /// Peer address of the receiver.
        address: PeerAddress,
        /// Content of the datagram.
        message: PeerMessage,
    },
    /// Publish a new routing view, built by `ControlCore::view`.
    Publish,
    /// The stopping daemon may exit: it is no longer a member, or the time for its `Leave` has
    /// passed.
    Stopped,
}
