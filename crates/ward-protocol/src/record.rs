//! Records of the log streams.
//!
//! A control record is a proposal: the state machine that applies it decides, by the
//! same rules on every daemon, whether it takes effect. Records carry a format
//! number. A daemon that reads a newer format than it knows stops making decisions
//! and only goes on routing requests.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::backend::{BackendInfo, EngineRole};
use crate::id::{
    BackendId, DaemonId, IdempotencyKey, Incarnation, LogOffset, OperatorName, PlanRevision,
    RecordId, RequestFingerprint, ReservationId, ZoneName,
};
use crate::limits::StoreLimits;
use crate::plan::{PlanRow, ReplicaKey, RowTarget};
use crate::time::WallTime;
use crate::unit::{MemorySize, PriorityLevel};

/// Format that this build writes, and the newest one that it reads.
pub const RECORD_FORMAT: u16 = 1;

/// A stream of the platform's log service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LogStream {
    /// Operators' plans.
    Plan,
    /// Changes of members, backend servers and reservations.
    Control,
    /// Snapshots of the control state.
    Snapshot,
    /// One shard of the records of requests that must not run twice.
    Requests(u16),
}

impl fmt::Display for LogStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Plan => formatter.write_str("plan"),
            Self::Control => formatter.write_str("control"),
            Self::Snapshot => formatter.write_str("snapshot"),
            Self::Requests(shard) => write!(formatter, "requests-{shard}"),
        }
    }
}

/// A record of the plan stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanEnvelope {
    /// Format of the record, see [`RECORD_FORMAT`].
    pub format: u16,
    /// Id chosen by the sender.
    pub id: RecordId,
    /// The operator who submitted the plan.
    pub author: OperatorName,
    /// Time of submission by the author's clock.
    #[serde(rename = "at")]
    pub submitted_at: WallTime,
    /// The proposed change.
    pub body: PlanRecord,
}

/// A proposal on the plan stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanRecord {
    /// Rows of a plan too large for one record.
    Part {
        /// Id of the upload that the part belongs to.
        upload: RecordId,
        /// Position in the upload, from 0.
        index: u16,
        /// Rows in this part.
        rows: Vec<PlanRow>,
    },
    /// A new plan, accepted only if `base` is the newest accepted revision.
    Submit {
        /// Revision on which the author based the change.
        base: PlanRevision,
        /// The change to the plan.
        change: PlanChange,
    },
}

/// How a new plan differs from its base.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanChange {
    /// The rows replace the whole plan.
    Whole {
        /// All rows of the new plan.
        rows: Vec<PlanRow>,
    },
    /// The parts of an upload, in order, replace the whole plan.
    Parts {
        /// Id of the upload.
        upload: RecordId,
        /// Number of parts of the upload.
        count: u16,
    },
    /// Only some rows change.
    Rows {
        /// Rows added or replaced.
        upserts: Vec<PlanRow>,
        /// Targets of the rows that are removed.
        removals: Vec<RowTarget>,
    },
    /// Rollback: the content of an earlier revision becomes a new revision.
    Retreat {
        /// Revision to roll back to.
        to: PlanRevision,
    },
}

/// A record of the control stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlEnvelope {
    /// Format of the record, see [`RECORD_FORMAT`].
    pub format: u16,
    /// Id chosen by the sender.
    pub id: RecordId,
    /// The daemon that proposes the change.
    pub sender: DaemonId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The proposed change.
    pub body: ControlRecord,
}

/// A daemon as a member of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Current incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Availability zone of the daemon.
    pub zone: ZoneName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons, for both UDP and TCP.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// A proposal on the control stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRecord {
    /// Sets the limits that all daemons share; accepted only if `base` is the offset of
    /// the limits in force.
    Limits {
        /// Offset of the limits that the sender knows; zero if it knows none.
        base: LogOffset,
        /// The new limits.
        limits: StoreLimits,
    },
    /// The sender becomes a member.
    Join {
        /// Description of the sender.
        member: MemberInfo,
    },
    /// The sender leaves in a planned stop and has no more orders under way.
    Leave,
    /// Removes a member that does not answer.
    Expire {
        /// The member to remove.
        daemon: DaemonId,
        /// The incarnation that does not answer; a later one is not removed.
        incarnation: Incarnation,
    },
    /// Adopts an accepted plan, which comes into force.
    Adopt {
        /// Revision of the plan; it can only increase.
        revision: PlanRevision,
    },
    /// Adds or updates a backend server as the platform lists it.
    BackendSeen {
        /// Description of the backend server.
        info: BackendInfo,
    },
    /// A backend server is leaving.
    BackendLeaving {
        /// The backend server.
        backend: BackendId,
    },
    /// A backend server is gone, and with it all replicas that it held.
    BackendGone {
        /// The backend server.
        backend: BackendId,
    },
    /// The owner of an engine cannot reach it and gives it up to another member.
    Yield {
        /// The engine.
        backend: BackendId,
    },
    /// Reserves a replica and its memory on an engine before the load is ordered.
    Reserve {
        /// The replica to load.
        key: ReplicaKey,
        /// The engine on which to load the replica.
        backend: BackendId,
        /// Memory that the replica takes.
        memory: MemorySize,
        /// Priority of the load among waiting loads.
        priority: PriorityLevel,
        /// Earliest deadline of the requests that wait for the replica.
        deadline: WallTime,
    },
    /// A reserved replica is ready to answer requests.
    Ready {
        /// The reservation.
        reservation: ReservationId,
    },
    /// A replica gets no new requests and is to be unloaded.
    Drain {
        /// The reservation.
        reservation: ReservationId,
    },
    /// Ends a reservation and frees its memory: the replica is gone from its engine, or was
    /// never loaded.
    Release {
        /// The reservation.
        reservation: ReservationId,
        /// Why the reservation ends.
        reason: ReleaseReason,
    },
    /// An engine holds a replica that has no reservation.
    Found {
        /// The engine.
        backend: BackendId,
        /// The replica that the engine holds.
        key: ReplicaKey,
        /// Memory that the replica takes.
        memory: MemorySize,
    },
    /// An engine changes role.
    Role {
        /// The engine.
        backend: BackendId,
        /// The new role.
        role: EngineRole,
    },
    /// A backend server crashed while it was running a request, which is therefore suspected
    /// of causing the crash.
    Suspect {
        /// The request's fingerprint.
        fingerprint: RequestFingerprint,
        /// The backend server that crashed.
        backend: BackendId,
        /// Time after which the crash no longer counts.
        until: WallTime,
    },
}

/// Why a reservation ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseReason {
    /// The engine reported that the replica is unloaded.
    Unloaded,
    /// The load failed.
    LoadFailed,
    /// The engine restarted and holds nothing.
    Restarted,
    /// The reservation was withdrawn before an order was sent.
    Withdrawn,
}

/// A record of a request shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEnvelope {
    /// Format of the record, see [`RECORD_FORMAT`].
    pub format: u16,
    /// Id chosen by the sender.
    pub id: RecordId,
    /// The daemon that proposes the change.
    pub daemon: DaemonId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Time of the proposal by the sender's clock.
    #[serde(rename = "at")]
    pub proposed_at: WallTime,
    /// Idempotency key that the record belongs to.
    pub key: IdempotencyKey,
    /// Id of the `Begin` record that this record belongs to; in a `Begin`, its own id.
    pub begin: RecordId,
    /// The proposed change.
    pub body: RequestRecord,
}

/// A proposal on a request shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestRecord {
    /// The sender will send the request once, if this is the first for the key.
    Begin {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
    },
    /// The request ended with this answer.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: String,
        /// Body of the answer; `None` when it is too large to keep.
        body: Option<Vec<u8>>,
    },
    /// The request was not sent and will not be.
    Abort,
    /// It is not known whether the request ran.
    Doubt,
}

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Format of the record, see [`RECORD_FORMAT`].
    pub format: u16,
    /// Id of the snapshot.
    pub snapshot: RecordId,
    /// Offset of the last control record included in the snapshot.
    pub control: LogOffset,
    /// Offset of the last plan record included in the snapshot.
    pub plan: LogOffset,
    /// Position of this part in the snapshot, from 0.
    pub index: u16,
    /// Number of parts of the snapshot.
    pub count: u16,
    /// The bytes of this part.
    pub bytes: Vec<u8>,
}

/// A record read from a stream and not yet decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawRecord {
    /// Offset of the record in its stream.
    pub offset: LogOffset,
    /// The encoded record.
    pub bytes: Vec<u8>,
}

/// Outcome of an append to a log stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The log stored the record.
    Stored,
    /// The log refused the record.
    Refused,
    /// No answer arrived; only a read of the log shows whether the record was stored.
    Unknown,
}
