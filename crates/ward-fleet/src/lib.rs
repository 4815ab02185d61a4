//! Decisions about serving requests from a fleet of engines, without any I/O.
//!
//! Time, traffic and settings are passed in as values, so each decision can be
//! tested by replaying the traffic that it is meant for. Daemons that forward
//! requests keep an [`EngineTable`] and choose engines from it. The
//! coordinator, the one daemon that gives orders to engines, also keeps a
//! [`placement::PlacementState`] and plans which engine loads which model.

pub mod admission;
pub mod budget;
pub mod callers;
pub mod choice;
pub mod compact;
pub mod crash;
pub mod directory;
pub mod entry;
pub mod flow;
pub mod health;
pub mod lease;
pub mod limit;
pub mod manifest;
pub mod message;
pub mod number;
pub mod order;
pub mod outage;
pub mod pace;
pub mod placement;
pub mod position;
pub mod queue;
pub mod quota;
mod rate;
pub mod record;
pub mod settings;
pub mod silence;
pub mod stop;
pub mod streams;
pub mod table;
pub mod tenant;
mod version_tracker;
pub mod vote;

pub use budget::{DaemonCount, RetryBudget};
pub use choice::{ChoiceContext, EngineRequirement, choose_engine};
pub use compact::{
    CompactError, CompactReport, CompactView, ReportDecoder, ReportEncoder, ViewDecoder,
    ViewEncoder,
};
pub use crash::{
    AnsweredParts, AnsweredRequests, BlockChange, BlockRevision, ClearedPart, CrashDetector,
    CrashEffect, CrashLedger, CrashNews, CrashReport, EngineIncarnation, PartCrashes, ProbeResult,
    UnfinishedRun,
};
pub use directory::choose_hosts;
pub use entry::{EngineBirth, EngineEntry, HeartbeatCount, HeldModel, OrderSequence};
pub use health::EngineHealth;
pub use lease::{CoordinatorLease, LeaseWindow, TermObserver, TermRecord};
pub use limit::{
    LimitEvidence, LimitLedger, LimitSighting, PermitBatch, PermitGrant, PermitIssuer, PermitNeed,
    PermitStore, RequestRate, TurnShare,
};
pub use manifest::{
    CallerLimits, EngineClass, ManifestVersion, ModelClass, RouteKind, RouteTarget, ServiceClass,
    ServingManifest, ServingRoute,
};
pub use message::{
    CoordinatorMessage, EngineInfo, EngineLoad, FleetSnapshot, FleetView, HostMember, LoadReport,
    MemberMessage, RunningCount, SlowModel, WaitingCount,
};
pub use order::EngineOrder;
pub use outage::{OutageDetector, ProbeNumber, SupportRequest, WitnessCandidate, choose_witnesses};
pub use position::{ReadCursor, StoreEra, StorePosition};
pub use queue::QueueRank;
pub use quota::{
    CreditAnswer, CreditContext, CreditRequest, CreditStatus, CreditStore, HostShares,
    IssueContext, QuotaBatch, QuotaGrant, QuotaIssuer, QuotaNeed, QuotaTolerance, TenantKey,
};
pub use record::{FleetRecord, StoredFleet};
pub use settings::{CoreShare, HostCapacity, HostSettings, LinkRate, ServingBounds};
pub use silence::{EngineRuns, RunInquiry};
pub use stop::StopPlan;
pub use streams::{
    ServedVersions, StreamNews, StreamNote, StreamOrigin, StreamRecord, StreamRegister,
    VersionHistory, VersionList, VersionRevision, VersionSighting,
};
pub use table::{EngineRecord, EngineTable};
pub use tenant::{
    ApiKeyDigest, QuotaAmount, QuotaRate, QuotaUnit, RequestPriority, TenantClass, TenantDirectory,
    TenantQuota, TokenCount,
};
pub use version_tracker::{ManifestStanding, VersionTracker};
pub use vote::{TermQuorum, TermVoter, VoterRoll, VoterSet};
