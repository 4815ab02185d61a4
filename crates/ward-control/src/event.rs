//! What can happen to a daemon.

use ward_protocol::{
    AppendResult, BackendId, BackendStatus, HostEntry, LogOffset, LogStream, MonoTime, OrderResult,
    PeerEnvelope, RawRecord, RecordId, RequestFingerprint, WakeHint, WallTime,
};

/// Something that happened to a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlEvent {
    /// Time passed; sent at least every 50 ms.
    Tick,
    /// A read of a stream ended.
    Read {
        /// Which stream: `Plan` or `Control`.
        stream: LogStream,
        /// When the read was started.
        started: MonoTime,
        /// What it returned, in order.
        records: Vec<RawRecord>,
        /// The stream's newest offset as the log gave it with this answer.
        end: LogOffset,
        /// Offset of the oldest record kept, when later than the first asked for.
        cut: Option<LogOffset>,
    },
    /// A read of a stream failed.
    ReadFailed {
        /// Which stream.
        stream: LogStream,
    },
    /// Records of a stream came from a peer; they renew no lease.
    PeerRecords {
        /// Which stream.
        stream: LogStream,
        /// The records, in order.
        records: Vec<RawRecord>,
    },
    /// A snapshot was read, from the log or from a peer.
    Snapshot {
        /// The encoded control state.
        bytes: Vec<u8>,
    },
    /// There is no snapshot in the log.
    NoSnapshot,
    /// An append ended.
    Appended {
        /// The record.
        record: RecordId,
        /// What became of it.
        result: AppendResult,
    },
    /// A snapshot was written, or could not be.
    SnapshotWritten {
        /// Control offset that it reflects.
        control: LogOffset,
        /// Whether the log has all its parts.
        stored: bool,
    },
    /// An order ended.
    OrderEnded {
        /// The engine.
        backend: BackendId,
        /// The order.
        order: RecordId,
        /// What became of it.
        result: OrderResult,
    },
    /// A backend server reported its status.
    Status {
        /// When the report was asked for.
        started: MonoTime,
        /// The report.
        status: BackendStatus,
    },
    /// A backend server did not report its status.
    StatusFailed {
        /// The backend server.
        backend: BackendId,
    },
    /// The platform's host list was read.
    Hosts {
        /// The backend servers on it.
        hosts: Vec<HostEntry>,
    },
    /// The platform's host list could not be read.
    HostsFailed,
    /// A message came from another daemon.
    Peer {
        /// The message.
        envelope: PeerEnvelope,
    },
    /// Requests of this daemon wait for a replica.
    Wanted {
        /// What they wait for.
        hint: WakeHint,
    },
    /// Requests of this daemon used a replica.
    Used {
        /// The replica's key and how many requests began since the last report.
        hint: WakeHint,
    },
    /// A backend server crashed while it ran a request.
    Crashed {
        /// The request.
        fingerprint: RequestFingerprint,
        /// The backend server.
        backend: BackendId,
        /// Until when the crash counts.
        until: WallTime,
    },
    /// The daemon is told to stop.
    Stop,
}
