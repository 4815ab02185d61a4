//! Inputs of the control state machine.

use ward_protocol::{
    AppendResult, BackendId, BackendStatus, HostEntry, LogOffset, LogStream, MonoTime, OrderResult,
    PeerEnvelope, RawRecord, RecordId, RequestFingerprint, WakeHint, WallTime,
};

/// An input of the control state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlEvent {
    /// Time has passed. Sent at least every 50 ms, so that timeouts expire.
    Tick,
    /// A read of a stream succeeded.
    Read {
        /// The stream that was read: `Plan` or `Control`.
        stream: LogStream,
        /// When the read was started; the read lease runs from here.
        started: MonoTime,
        /// The records that the read returned, in the order of their offsets.
        records: Vec<RawRecord>,
        /// Newest offset of the stream, as reported by the log with this read.
        end: LogOffset,
        /// Offset of the oldest record that the log still keeps, if it is later than
        /// the first offset requested.
        cut: Option<LogOffset>,
    },
    /// A read of a stream failed.
    ReadFailed {
        /// The stream that could not be read; `Snapshot` for a failed `ReadSnapshot`.
        stream: LogStream,
    },
    /// A peer sent records of a stream. They don't renew the read lease.
    PeerRecords {
        /// The stream that the records belong to.
        stream: LogStream,
        /// The records in the order of their offsets.
        records: Vec<RawRecord>,
    },
    /// A snapshot was read from the log or received from a peer.
    Snapshot {
        /// The encoded `ClusterState`.
        bytes: Vec<u8>,
    },
    /// The log holds no snapshot.
    NoSnapshot,
    /// An append was answered, or timed out.
    Appended {
        /// Id of the appended record.
        record: RecordId,
        /// Whether the log stored the record, as far as known.
        result: AppendResult,
    },
    /// A write of a snapshot succeeded or failed.
    SnapshotWritten {
        /// Offset of the last control record that the snapshot contains.
        control: LogOffset,
        /// Whether the log stored all parts of the snapshot.
        stored: bool,
    },
    /// An order was answered, timed out or was not sent.
    OrderEnded {
        /// The engine that the order was for.
        backend: BackendId,
        /// Id of the order.
        order: RecordId,
        /// The engine's answer, or that none is known.
        result: OrderResult,
    },
    /// A backend server reported its status.
    Status {
        /// When the status was requested.
        started: MonoTime,
        /// The status as reported by the backend server.
        status: BackendStatus,
    },
    /// A status request to a backend server failed or timed out.
    StatusFailed {
        /// The backend server that did not report.
        backend: BackendId,
    },
    /// The platform's host list was read.
    Hosts {
        /// All backend servers on the list.
        hosts: Vec<HostEntry>,
    },
    /// The platform's host list could not be read.
    HostsFailed,
    /// A message arrived from another daemon.
    Peer {
        /// The message with its sender and the sender's incarnation.
        envelope: PeerEnvelope,
    },
    /// Requests at this daemon wait for a replica.
    Wanted {
        /// The key, and how many requests wait, with their priority and deadline.
        hint: WakeHint,
    },
    /// Requests at this daemon used a replica.
    Used {
        /// The key of the replica, and how many requests began since the last report.
        hint: WakeHint,
    },
    /// A backend server crashed while it ran a request.
    Crashed {
        /// Fingerprint of the request that was running.
        fingerprint: RequestFingerprint,
        /// The backend server that crashed.
        backend: BackendId,
        /// When the crash stops counting against the request.
        until: WallTime,
    },
    /// The daemon is to stop: it leaves once its orders have expired.
    Stop,
}
