//! Types that all other crates share: ids, units, plan rows, log records,
//! messages between daemons, orders to backend servers, and result codes.
//!
//! This crate depends on no other crate of the workspace and performs no I/O. Raw
//! input is validated once, by `TryFrom` or `FromStr`; code that gets the resulting
//! type relies on that. Records and peer messages are encoded with `postcard`, data
//! that people read as JSON; both use the same serde implementations.

pub mod backend;
pub mod code;
pub mod codec;
pub mod id;
pub mod limits;
pub mod message;
pub mod packing;
pub mod plan;
pub mod record;
pub mod time;
pub mod unit;
pub mod view;

pub use backend::{
    BackendInfo, BackendKind, BackendOrder, BackendStatus, CacheTier, CachedCheckpoint, EngineRole,
    FencingSupport, HostEntry, HostState, OrderKind, OrderRefusal, OrderResult, ResidentPhase,
    ResidentReplica,
};
pub use code::{RequestOutcome, ResultCode};
pub use codec::CodecError;
pub use id::{
    AdapterName, BackendId, DaemonId, FenceNumber, IdError, IdempotencyKey, Incarnation, LogOffset,
    ModelName, OperatorName, PartId, PlanRevision, RecordId, RequestFingerprint, RequestId,
    ReservationId, ServiceName, SoftwareVersion, StreamKey, TenantName, VersionTag, ZoneName,
};
pub use limits::{LeaseTimes, PolicyValues, StoreLimits, TrafficLimits};
pub use message::{PeerAddress, PeerEnvelope, PeerMessage, WakeHint};
pub use plan::{ModelReference, PlanRow, ReplicaKey, RowTarget};
pub use record::{
    AppendResult, ControlEnvelope, ControlRecord, LogStream, MemberInfo, PlanChange, PlanEnvelope,
    PlanRecord, RawRecord, ReleaseReason, RequestEnvelope, RequestRecord, SnapshotPart,
};
pub use time::{DayTime, MonoTime, TimeSpan, WallTime};
pub use unit::{MemorySize, PriorityLevel, UnitError};
pub use view::{
    BackendRoute, EntryAddress, LoadEstimate, LoadingReplica, ModelEntry, PlanCatalog,
    ReadyReplica, RoutingView, ServiceEntry, ViewMode,
};
