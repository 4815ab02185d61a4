//! Messages between daemons.
//!
//! Every daemon holds one connection to the coordinator. It reports its own
//! requests, and the coordinator answers with the state of the fleet. Both send
//! only what changed or is not zero. A daemon that starts while the store is
//! unreachable requests a snapshot from any other daemon. Messages may be lost
//! with a connection: the first message on a new connection is complete.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use ward_protocol::{
    AdapterName, BackendId, DaemonId, FenceNumber, ModelName, MonoTime, RequestFingerprint,
    ServiceName, SoftwareVersion, StreamKey, TimeSpan, ZoneName,
};

use crate::compact::{CompactReport, CompactView};
use crate::crash::{ClearedPart, CrashNews, CrashReport, EngineIncarnation};
use crate::entry::{EngineBirth, EngineEntry, HeartbeatCount, HeldModel};
use crate::limit::{LimitSighting, PermitBatch, PermitNeed};
use crate::manifest::ManifestVersion;
use crate::outage::{ProbeNumber, SupportRequest};
use crate::position::{ReadCursor, StoreEra, StorePosition};
use crate::quota::{QuotaBatch, QuotaNeed};
use crate::settings::HostCapacity;
use crate::streams::{StreamNews, VersionSighting};

/// A daemon that accepts requests from callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostMember {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Availability zone that the daemon runs in.
    pub zone: ZoneName,
    /// Address on which the daemon accepts callers' requests.
    pub callers: SocketAddr,
    /// Address on which the daemon accepts connections from other daemons.
    pub peers: SocketAddr,
    /// Capacity of the daemon's host.
    pub capacity: HostCapacity,
}

/// Message from a daemon to the coordinator, or to any daemon where stated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Introduces the sender; the first message on a connection to the
    /// coordinator.
    Hello(HostMember),
    /// Load and observations of the sender.
    Report(Box<CompactReport>),
    /// The sender shuts down and takes no new callers.
    Leaving,
    /// Requests a [`FleetSnapshot`]; the only message on its connection. Any
    /// daemon answers.
    SnapshotRequest,
    /// Requests the manifest if it is newer than this version; the only message on its
    /// connection. Any daemon answers.
    ManifestRequest(ManifestVersion),
    /// Reports crashes; the only message on its connection. Any daemon answers
    /// with what it knows of crashes.
    Crashes(CrashNews),
    /// Tells a keeper where streams come from; the only message on its connection.
    RecordStreams(StreamNews),
    /// Asks a keeper where a stream comes from; the only message on its connection.
    FindStream(StreamKey),
    /// Asks a voter whether the sender may succeed the holder whose newest term record is
    /// at this position; the only message on its connection. Any daemon answers.
    VoteRequest(StorePosition),
}

/// Load and observations of one daemon.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Version of the manifest that the daemon uses.
    pub manifest: ManifestVersion,
    /// Number of the daemon's requests at each engine, by model and adapter.
    pub running: Vec<RunningCount>,
    /// Number of the daemon's requests that wait for an engine, by model and
    /// adapter.
    pub waiting: Vec<WaitingCount>,
    /// Requests per model and adapter that arrived since the last report.
    pub arrivals: Vec<WaitingCount>,
    /// Crashes that are missing from the coordinator's view.
    pub crashes: Vec<CrashReport>,
    /// Engines that announced in an answer that they are leaving.
    pub leaving: Vec<EngineIncarnation>,
    /// Requests with recorded crashes that have since been answered completely.
    pub cleared: Vec<RequestFingerprint>,
    /// Suspect parts of prompts that have since been answered.
    pub cleared_parts: Vec<ClearedPart>,
    /// Engines that refused a request because they do not hold its model or
    /// adapter.
    pub misplaced: Vec<RunningCount>,
    /// Latest probe since the last report in which the daemon's call to the
    /// store failed; `None` if there was none.
    pub failed_probe: Option<ProbeNumber>,
    /// Latest probe since the last report in which the daemon supports the coordinator's
    /// term; `None` if there was none.
    pub supported_probe: Option<ProbeNumber>,
    /// Limits of engines that the coordinator may not know.
    pub limits: Vec<LimitSighting>,
    /// Permits that the daemon needs at limited engines.
    pub permit_needs: Vec<PermitNeed>,
    /// Credit that the daemon holds and needs of tenants with quotas, for those of which
    /// there is news.
    pub quota_needs: Vec<QuotaNeed>,
    /// When the report was sent, by the daemon's own clock.
    pub sent_at: MonoTime,
}

/// Number of one daemon's requests for a model and adapter at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningCount {
    /// Engine that runs the requests, or refused them.
    pub engine: BackendId,
    /// Model that the requests use; `None` for a service without models.
    pub model: Option<ModelName>,
    /// Adapter that the requests use, if any.
    pub adapter: Option<AdapterName>,
    /// Number of requests.
    pub count: u32,
}

/// Number of one daemon's requests for a model and adapter, at no particular
/// engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingCount {
    /// Service that the requests are routed to.
    pub service: ServiceName,
    /// Model that the requests need.
    pub model: ModelName,
    /// Adapter that the requests need, if any.
    pub adapter: Option<AdapterName>,
    /// Software version that began the streams which the requests continue; `None` for
    /// other requests.
    pub software: Option<SoftwareVersion>,
    /// Number of requests.
    pub count: u32,
}

/// Message from the coordinator to a daemon, or answer of any daemon where
/// stated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CoordinatorMessage {
    /// Changes to the state of the fleet.
    View(Box<CompactView>),
    /// Permits for requests to limited engines.
    Permits(PermitBatch),
    /// Credit for requests of tenants with quotas.
    QuotaGrants(QuotaBatch),
    /// Asks the daemon to call the store. The daemon replies in its next
    /// report, and only if the call fails.
    ProbeStore(ProbeNumber),
    /// Asks the daemon to support the coordinator's term. The daemon replies in its next
    /// report, and only if it does.
    SupportTerm(SupportRequest),
    /// The answer of any daemon to [`MemberMessage::SnapshotRequest`].
    Snapshot(FleetSnapshot),
    /// The answer of any daemon to [`MemberMessage::ManifestRequest`], in the operators'
    /// format; `None` if the sender has none that is newer.
    Manifest(Option<Vec<u8>>),
    /// The answer of any daemon to [`MemberMessage::Crashes`].
    Crashes(CrashNews),
    /// The answer of any daemon to [`MemberMessage::RecordStreams`].
    StreamsRecorded,
    /// The answer of any daemon to [`MemberMessage::FindStream`]: the stream if it is
    /// known, and the software versions that served of late.
    FoundStream(StreamNews),
    /// The answer of any daemon to [`MemberMessage::VoteRequest`]: whether it grants its
    /// vote.
    Vote(bool),
}

/// State that a daemon needs to serve requests while it cannot reach the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetSnapshot {
    /// Current manifest in the operators' format; `None` if the sender has
    /// none.
    pub manifest: Option<Vec<u8>>,
    /// Engines that the sender knows.
    pub engines: Vec<EngineInfo>,
    /// All daemons that accept requests.
    pub members: Vec<HostMember>,
    /// Engine crashes that still count, and the parts that were answered since.
    pub crashes: CrashNews,
    /// Address on which the coordinator accepts connections from daemons;
    /// `None` if the sender knows none.
    pub coordinator: Option<SocketAddr>,
    /// Software versions that served of late.
    pub versions: Vec<VersionSighting>,
    /// Limits that engines have named.
    pub limits: Vec<LimitSighting>,
}

/// State of the fleet, or the changes to it since the last view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Fencing number of the coordinator's term.
    pub term: FenceNumber,
    /// Position of the latest record of the term.
    pub renewal: StorePosition,
    /// Whether the view is complete, so that engines and daemons that are not
    /// listed are gone.
    pub complete: bool,
    /// Engines that are new or have changed.
    pub engines: Vec<EngineInfo>,
    /// Engines that were removed.
    pub gone: Vec<BackendId>,
    /// Number of requests over all daemons at each engine that has any; `None`
    /// if this view does not update these numbers.
    pub loads: Option<Vec<EngineLoad>>,
    /// Models that no engine holds and that must come from the weight store; sent
    /// together with `loads`.
    pub slow: Vec<SlowModel>,
    /// Estimate of how many concurrent loads the weight store serves without
    /// slowing down.
    pub load_concurrency_limit: u32,
    /// Daemons that accept requests and are new or have changed.
    pub joined: Vec<HostMember>,
    /// Daemons that no longer accept requests.
    pub left: Vec<DaemonId>,
    /// Where the coordinator's next read of the store's engine entries begins; `None`
    /// before its first read.
    pub engines_cursor: Option<ReadCursor>,
    /// Newest era of the store that the coordinator knows.
    pub store_era: StoreEra,
    /// Latest manifest version that the coordinator knows.
    pub manifest: ManifestVersion,
    /// Time since the coordinator last read from the store.
    pub store_age: TimeSpan,
    /// Whether an outage of the store is confirmed and orders continue without
    /// it.
    pub store_outage: bool,
    /// Engine crashes that count against a request: all of them in a complete
    /// view, otherwise those reported since the last view.
    pub crashes: Vec<CrashReport>,
    /// Requests that were answered completely, so that their earlier crashes no
    /// longer count.
    pub cleared: Vec<RequestFingerprint>,
    /// Suspect parts of prompts that were answered: all of them in a complete view,
    /// otherwise those reported since the last view.
    pub cleared_parts: Vec<ClearedPart>,
    /// Software versions that served of late: all of them in a complete view, otherwise
    /// none.
    pub versions: Vec<VersionSighting>,
    /// Limits that engines have named: all of them in a complete view, otherwise those
    /// that changed since the last view.
    pub limits: Vec<LimitSighting>,
}

/// A model that no engine holds and that must come from the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowModel {
    /// Service that the model belongs to.
    pub service: ServiceName,
    /// Name of the model.
    pub model: ModelName,
    /// Estimated time until the model is ready.
    pub ready_in: TimeSpan,
}

/// What daemons need to know about an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineInfo {
    /// Identifier of the engine; the same after a restart.
    pub id: BackendId,
    /// Service that the engine belongs to.
    pub service: ServiceName,
    /// Address on which the engine accepts requests.
    pub address: SocketAddr,
    /// Availability zone that the engine runs in.
    pub zone: ZoneName,
    /// Version of the engine's software; what two versions write does not fit together
    /// in one stream.
    pub software: SoftwareVersion,
    /// Number of requests that the engine can run concurrently.
    pub slots: u32,
    /// Whether the engine takes no new requests.
    pub draining: bool,
    /// Whether the store dropped the engine's entry during an outage, so that
    /// the engine may have ended.
    pub lapsed: bool,
    /// Whether the engine ended under requests and has sent no heartbeat since.
    pub ended: bool,
    /// Start time of the engine's incarnation; `None` if the engine reports
    /// none.
    pub birth: Option<EngineBirth>,
    /// Models and adapters that the engine serves.
    pub holding: Vec<HeldModel>,
}

impl FleetView {
    /// Applies the changes in this view to a list of daemons.
    pub fn apply_members(&self, members: &mut Vec<HostMember>) {
        if self.complete {
            members.clear();
        }
        let is_named = |member: &HostMember| {
            let joined = self
                .joined
                .iter()
                .any(|other| other.daemon == member.daemon);
            joined || self.left.contains(&member.daemon)
        };
        members.retain(|member| !is_named(member));
        members.extend(self.joined.iter().cloned());
    }
}

impl From<&EngineEntry> for EngineInfo {
    fn from(entry: &EngineEntry) -> Self {
        Self {
            id: entry.id.clone(),
            service: entry.service.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            software: entry.software.clone(),
            slots: entry.slots,
            draining: entry.draining || entry.leaves_in.is_some(),
            lapsed: false,
            ended: false,
            birth: entry.birth,
            holding: entry.models.clone(),
        }
    }
}

impl From<&EngineInfo> for EngineEntry {
    /// An entry older than any heartbeat, in which the engine's copies are not known.
    fn from(info: &EngineInfo) -> Self {
        Self {
            id: info.id.clone(),
            service: info.service.clone(),
            address: info.address,
            zone: info.zone.clone(),
            software: info.software.clone(),
            slots: info.slots,
            draining: info.draining,
            leaves_in: None,
            birth: info.birth,
            heartbeat: HeartbeatCount(0),
            models: info.holding.clone(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
        }
    }
}

impl EngineInfo {
    /// Whether new requests may be sent to the engine.
    #[must_use]
    pub const fn takes_requests(&self) -> bool {
        !self.draining && !self.ended
    }

    /// Whether the engine holds a model, and the adapter if one is given.
    #[must_use]
    pub fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        let held = self.holding.iter().find(|held| held.model == *model);
        match (held, adapter) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(held), Some(adapter)) => held.adapters.contains(adapter),
        }
    }
}

/// Number of requests at one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Engine that runs the requests.
    pub engine: BackendId,
    /// Number of requests over all daemons.
    pub count: u32,
}
