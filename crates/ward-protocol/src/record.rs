//! Records of the log streams.
//!
//! A control record is a proposal: the state machine that applies it decides,
//! by the same rules on every daemon, whether it takes effect. Records carry a
//! format number; a daemon that meets a newer one stops deciding and goes on
//! routing.

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

/// Newest record format that this build reads and the one it writes.
pub const RECORD_FORMAT: u16 = 1;

/// A stream of the platform's log service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LogStream {
    /// Operators' plans.
    Plan,
    /// Members, backend servers, reservations.
    Control,
    /// Snapshots of the control state.
    Snapshot,
    /// One shard of the records of requests that may not be repeated.
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
    /// Record format.
    pub format: u16,
    /// Chosen by the sender.
    pub id: RecordId,
    /// Who submitted it.
    pub author: OperatorName,
    /// When, by the author's clock.
    pub at: WallTime,
    /// The proposal.
    pub body: PlanRecord,
}

/// A proposal on the plan stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanRecord {
    /// Rows of a plan too large for one record.
    Part {
        /// Names the upload that the part belongs to.
        upload: RecordId,
        /// Position in the upload, from 0.
        index: u16,
        /// The rows.
        rows: Vec<PlanRow>,
    },
    /// A new plan, accepted only if `base` is the revision in force.
    Submit {
        /// The revision that the author saw.
        base: PlanRevision,
        /// What to change.
        change: PlanChange,
    },
}

/// How a new plan differs from its base.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanChange {
    /// The rows replace the whole plan.
    Whole {
        /// All rows.
        rows: Vec<PlanRow>,
    },
    /// The parts of an upload, in order, replace the whole plan.
    Parts {
        /// The upload.
        upload: RecordId,
        /// Number of its parts.
        count: u16,
    },
    /// Single rows change.
    Rows {
        /// Rows added or replaced.
        upserts: Vec<PlanRow>,
        /// Rows taken out.
        removals: Vec<RowTarget>,
    },
    /// The content of an earlier revision comes back as a new revision.
    Retreat {
        /// The earlier revision.
        to: PlanRevision,
    },
}

/// A record of the control stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlEnvelope {
    /// Record format.
    pub format: u16,
    /// Chosen by the sender.
    pub id: RecordId,
    /// The daemon that proposes it.
    pub sender: DaemonId,
    /// The sender's life.
    pub incarnation: Incarnation,
    /// The proposal.
    pub body: ControlRecord,
}

/// A daemon as a member of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Its id.
    pub daemon: DaemonId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other daemons reach it, UDP and TCP alike.
    pub peers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
}

/// A proposal on the control stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRecord {
    /// Limits that all daemons share; accepted only if `base` is the offset of those in force.
    Limits {
        /// Offset of the limits that the sender saw; zero for none.
        base: LogOffset,
        /// The new limits.
        limits: StoreLimits,
    },
    /// The sender becomes a member.
    Join {
        /// The sender.
        member: MemberInfo,
    },
    /// The sender stops on purpose and has ended its orders.
    Leave,
    /// A member does not answer.
    Expire {
        /// The member.
        daemon: DaemonId,
        /// The life that does not answer.
        incarnation: Incarnation,
    },
    /// An accepted plan comes into force.
    Adopt {
        /// Its revision; moves forward only.
        revision: PlanRevision,
    },
    /// A backend server as the platform lists it.
    BackendSeen {
        /// The backend server.
        info: BackendInfo,
    },
    /// A backend server is leaving.
    BackendLeaving {
        /// The backend server.
        backend: BackendId,
    },
    /// A backend server is gone with all that it held.
    BackendGone {
        /// The backend server.
        backend: BackendId,
    },
    /// The owner of an engine cannot reach it and gives it up.
    Yield {
        /// The engine.
        backend: BackendId,
    },
    /// Count a replica and its memory before it is loaded.
    Reserve {
        /// What to load.
        key: ReplicaKey,
        /// Where.
        backend: BackendId,
        /// Memory that it takes.
        memory: MemorySize,
        /// Priority among waiting loads.
        priority: PriorityLevel,
        /// When the first waiting request runs out of time.
        deadline: WallTime,
    },
    /// A reserved replica answers requests.
    Ready {
        /// The reservation.
        reservation: ReservationId,
    },
    /// A replica gets no new requests and is to be unloaded.
    Drain {
        /// The reservation.
        reservation: ReservationId,
    },
    /// A replica is gone from its engine, or was never loaded.
    Release {
        /// The reservation.
        reservation: ReservationId,
        /// Why.
        reason: ReleaseReason,
    },
    /// An engine holds a replica that no reservation explains.
    Found {
        /// The engine.
        backend: BackendId,
        /// What it holds.
        key: ReplicaKey,
        /// Memory that it takes.
        memory: MemorySize,
    },
    /// An engine changes role.
    Role {
        /// The engine.
        backend: BackendId,
        /// The new role.
        role: EngineRole,
    },
    /// A request was running on a backend server when it crashed.
    Suspect {
        /// The request's fingerprint.
        fingerprint: RequestFingerprint,
        /// The backend server.
        backend: BackendId,
        /// Until when the entry counts.
        until: WallTime,
    },
}

/// Why a reservation ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseReason {
    /// Seen unloaded.
    Unloaded,
    /// The load failed.
    LoadFailed,
    /// The engine restarted and holds nothing.
    Restarted,
    /// Withdrawn before an order was sent.
    Withdrawn,
}

/// A record of a request shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEnvelope {
    /// Record format.
    pub format: u16,
    /// Chosen by the sender.
    pub id: RecordId,
    /// The daemon that proposes it.
    pub daemon: DaemonId,
    /// The sender's life.
    pub incarnation: Incarnation,
    /// When, by the sender's clock.
    pub at: WallTime,
    /// The key that the record is about.
    pub key: IdempotencyKey,
    /// The `Begin` that the record is about; a `Begin` repeats its own id.
    pub begin: RecordId,
    /// The proposal.
    pub body: RequestRecord,
}

/// A proposal on a request shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestRecord {
    /// The sender will send the request once, if this is the first for the key.
    Begin {
        /// What is asked for.
        fingerprint: RequestFingerprint,
    },
    /// The request ended with this answer.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: String,
        /// The answer's body; absent when too large to keep.
        body: Option<Vec<u8>>,
    },
    /// Nothing was sent and nothing will be.
    Abort,
    /// It is not known whether the request ran.
    Doubt,
}

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Record format.
    pub format: u16,
    /// Names the snapshot.
    pub snapshot: RecordId,
    /// Control offset up to which the snapshot holds.
    pub control: LogOffset,
    /// Plan offset up to which the snapshot holds.
    pub plan: LogOffset,
    /// Position among the parts, from 0.
    pub index: u16,
    /// Number of parts.
    pub count: u16,
    /// The bytes of this part.
    pub bytes: Vec<u8>,
}

/// A record as read from a stream, not yet decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawRecord {
    /// Its offset.
    pub offset: LogOffset,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// What became of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The log has it.
    Stored,
    /// The log said that it did not take it.
    Refused,
    /// No answer came; only reading the log can tell.
    Unknown,
}
