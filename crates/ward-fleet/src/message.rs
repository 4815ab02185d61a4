//! What daemons tell each other.
//!
//! Every daemon holds one connection to the coordinator. It reports its own
//! requests; the coordinator answers with the state of the fleet. Both send
//! only what changed or is not zero. A daemon that starts while the store is away
//! asks any other daemon what it knows. Messages may be lost with a connection
//! without harm: the first message on a new one is complete.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use ward_protocol::{
    AdapterName, BackendId, DaemonId, FenceNumber, ModelName, RequestFingerprint, ServiceName,
    TimeSpan, ZoneName,
};

use crate::crash::{CrashReport, EngineIncarnation};
use crate::entry::{EngineBirth, EngineEntry, HeldModel};
use crate::manifest::ManifestVersion;
use crate::outage::ProbeNumber;
use crate::settings::HostCapacity;

/// A daemon that takes requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostMember {
    /// Its name.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes requests.
    pub callers: SocketAddr,
    /// Where it listens for other daemons.
    pub peers: SocketAddr,
    /// Size of its host.
    pub capacity: HostCapacity,
}

/// From a daemon to the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// The first message on a connection.
    Hello(HostMember),
    /// The daemon's requests as of now.
    Report(LoadReport),
    /// The daemon stops and takes no new callers.
    Leaving,
    /// The only message on a connection: what do you know? Any daemon answers.
    SnapshotRequest,
    /// The only message on a connection: engines that ended under requests. Any
    /// daemon answers with those that it knows of.
    Crashes(Vec<CrashReport>),
}

/// A daemon's own requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The manifest in force.
    pub manifest: ManifestVersion,
    /// Requests at engines.
    pub running: Vec<RunningCount>,
    /// Requests that wait for an engine.
    pub waiting: Vec<WaitingCount>,
    /// Models and adapters asked for since the last report.
    pub arrivals: Vec<WaitingCount>,
    /// Engines that ended under requests, as far as the coordinator does not know.
    pub crashes: Vec<CrashReport>,
    /// Engines that said in an answer that they leave.
    pub leaving: Vec<EngineIncarnation>,
    /// Requests that were thought to crash engines and got a whole answer.
    pub cleared: Vec<RequestFingerprint>,
    /// Engines that said they lack what they were thought to hold.
    pub misplaced: Vec<RunningCount>,
    /// The coordinator's question to which the store gave this daemon no answer
    /// since the last report.
    pub failed_probe: Option<ProbeNumber>,
}

/// Requests of one daemon at one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningCount {
    /// The engine.
    pub engine: BackendId,
    /// The model that they use.
    pub model: Option<ModelName>,
    /// The adapter that they use.
    pub adapter: Option<AdapterName>,
    /// How many.
    pub count: u32,
}

/// Requests of one daemon for one model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingCount {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// How many.
    pub count: u32,
}

/// From the coordinator to a daemon, and answers of any daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CoordinatorMessage {
    /// The state of the fleet.
    View(FleetView),
    /// Does the store answer you? Said only if it does not, in the next report.
    ProbeStore(ProbeNumber),
    /// The answer of any daemon to [`MemberMessage::SnapshotRequest`].
    Snapshot(FleetSnapshot),
    /// The answer of any daemon to [`MemberMessage::Crashes`].
    Crashes(Vec<CrashReport>),
}

/// What a daemon that cannot reach the store needs to serve.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetSnapshot {
    /// The manifest in force as the operator wrote it, if one is known.
    pub manifest: Option<Vec<u8>>,
    /// Engines.
    pub engines: Vec<EngineInfo>,
    /// All daemons that take requests.
    pub members: Vec<HostMember>,
    /// Engines that ended under requests.
    pub crashes: Vec<CrashReport>,
    /// Where the coordinator listens, if one is followed.
    pub coordinator: Option<SocketAddr>,
}

/// The state of the fleet, or what changed of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Fencing number of the coordinator's term.
    pub term: FenceNumber,
    /// Offset of the newest record of the term.
    pub renewal_offset: u64,
    /// Whether engines and daemons that are not listed are gone.
    pub complete: bool,
    /// Engines that changed.
    pub engines: Vec<EngineInfo>,
    /// Engines that left.
    pub gone: Vec<BackendId>,
    /// Requests at each engine over all daemons, where there are any; nothing
    /// when they were not counted anew.
    pub loads: Option<Vec<EngineLoad>>,
    /// Models that must come from the weight store, when loads are counted.
    pub slow: Vec<SlowModel>,
    /// Loads that the weight store serves at once, as far as is known.
    pub load_concurrency_limit: u32,
    /// Daemons that take requests now, or have changed.
    pub joined: Vec<HostMember>,
    /// Daemons that take no more requests.
    pub left: Vec<DaemonId>,
    /// Offset up to which the coordinator has read the store's engines.
    pub engines_offset: Option<u64>,
    /// Newest manifest that the coordinator knows.
    pub manifest: ManifestVersion,
    /// Time since the coordinator last heard from the store.
    pub store_age: TimeSpan,
    /// Whether the store is away for everyone and orders go on without it.
    pub store_outage: bool,
    /// Engines that ended under requests.
    pub crashes: Vec<CrashReport>,
    /// Requests whose crashes do not count any more.
    pub cleared: Vec<RequestFingerprint>,
}

/// A model that no engine has at hand.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowModel {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// Time until it should be ready.
    pub ready_in: TimeSpan,
}

/// What daemons need to know of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineInfo {
    /// Its id.
    pub id: BackendId,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// Whether the store dropped its entry in an outage, so that it may be gone.
    pub lapsed: bool,
    /// Start of its life.
    pub birth: Option<EngineBirth>,
    /// Models that requests may be sent to.
    pub holding: Vec<HeldModel>,
}

impl FleetView {
    /// Changes a list of daemons as the view says.
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
            slots: entry.slots,
            draining: entry.draining || entry.leaves_in.is_some(),
            lapsed: false,
            birth: entry.birth,
            holding: entry.models.clone(),
        }
    }
}

impl EngineInfo {
    /// Whether it holds a model, and the adapter if one is named.
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

/// Requests at one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: BackendId,
    /// How many requests of all daemons.
    pub count: u32,
}
