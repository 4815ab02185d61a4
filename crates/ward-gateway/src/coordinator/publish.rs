//! Broadcasts the state of the fleet to all daemons as it changes.

use indexmap::IndexSet;
use slog::{Logger, warn};
use tokio::sync::mpsc::error::TrySendError;
use ward_fleet::pace::load_broadcast_interval;
use ward_fleet::placement::PublishedEngines;
use ward_fleet::{
    ClearedPart, CompactView, CoordinatorMessage, CrashReport, FleetView, HostMember, LinkRate,
    ManifestVersion, SlowModel, StoreEra, VersionSighting, ViewEncoder,
};
use ward_protocol::{BackendId, DaemonId, MonoTime, RequestFingerprint, TimeSpan};

use super::active::{ActiveCoordinator, MemberLink};
use crate::clock;
use crate::hub::{MessageFrame, encode_message};

/// Time after the start of a term for which daemons known from before it are listed
/// although they have not connected yet.
const JOIN_GRACE: TimeSpan = TimeSpan::from_millis(1_800);

/// What daemons have received in views, and what the next view adds.
pub(super) struct Publisher {
    /// Engines as of the last view.
    engines: PublishedEngines,
    /// Daemons as of the last view that contained request counts.
    members: Vec<HostMember>,
    /// Daemons known from before the term, listed during `JOIN_GRACE`.
    inherited: Vec<HostMember>,
    /// Crashes that the next view adds.
    crashes: Vec<CrashReport>,
    /// Suspect parts of prompts that the next view names because they were answered.
    cleared_parts: Vec<ClearedPart>,
    /// Requests that the next view names because their crashes no longer count.
    cleared: Vec<RequestFingerprint>,
    /// Engines whose limits the next view names because they changed.
    limits: IndexSet<BackendId>,
    /// When a view last contained request counts.
    loads_sent_at: MonoTime,
    /// Minimum time between two views that contain request counts.
    loads_interval: TimeSpan,
    term_start: MonoTime,
    /// What the daemons know from the views of this term.
    encoder: ViewEncoder,
}

impl Publisher {
    /// Creates a publisher that lists the `inherited` daemons, known from before its
    /// term, until they have had time to connect.
    pub(super) fn new(inherited: Vec<HostMember>) -> Self {
        Self {
            engines: PublishedEngines::default(),
            members: Vec::new(),
            inherited,
            crashes: Vec::new(),
            cleared_parts: Vec::new(),
            cleared: Vec::new(),
            limits: IndexSet::new(),
            loads_sent_at: MonoTime::default(),
            loads_interval: TimeSpan::ZERO,
            term_start: clock::now(),
            encoder: ViewEncoder::default(),
        }
    }

    /// Adds a crash to the next view.
    pub(super) fn queue_crash(&mut self, report: &CrashReport) {
        self.crashes.push(report.clone());
    }

    /// Adds to the next view a suspect part of prompts that was answered.
    pub(super) fn queue_cleared_part(&mut self, cleared: &ClearedPart) {
        self.cleared_parts.push(cleared.clone());
    }

    /// Adds the limit of an engine to the next view.
    pub(super) fn queue_limit(&mut self, engine: BackendId) {
        self.limits.insert(engine);
    }

    /// Adds to the next view a request whose crashes no longer count.
    pub(super) fn queue_cleared(&mut self, fingerprint: RequestFingerprint) {
        self.crashes
            .retain(|report| report.fingerprint != fingerprint);
        self.cleared.push(fingerprint);
    }
}

/// Input to views that the coordinator's state does not hold.
pub(super) struct ViewInputs {
    /// Newest manifest version that this daemon knows.
    pub(super) manifest: ManifestVersion,
    /// Models that no engine holds and that must come from the weight store.
    pub(super) slow: Vec<SlowModel>,
    /// Software versions that served of late.
    pub(super) versions: Vec<VersionSighting>,
    /// Newest era of the store that this daemon knows.
    pub(super) store_era: StoreEra,
    /// Bandwidth of this host, which bounds how often loads are broadcast.
    pub(super) link: LinkRate,
}

/// Sends changes to each daemon, and a complete view to newly connected ones.
pub(super) fn publish(coordinator: &ActiveCoordinator, inputs: ViewInputs, logger: &Logger) {
    let now = clock::now();
    let link_rate = inputs.link;
    let versions = inputs.versions.clone();
    let mut delta = next_delta(coordinator, inputs, now);
    let has_loads = delta.loads.is_some();
    let has_changes = has_loads
        || !delta.engines.is_empty()
        || !delta.gone.is_empty()
        || !delta.crashes.is_empty()
        || !delta.cleared_parts.is_empty()
        || !delta.cleared.is_empty()
        || !delta.limits.is_empty();
    let is_new = |link: &MemberLink| !link.has_complete_view;
    let has_new = coordinator.links.borrow().values().any(is_new);
    let complete = has_new.then(|| complete_view(coordinator, &delta, versions));
    if !has_loads {
        delta.slow.clear();
    }
    let frames = encode_views(coordinator, has_changes.then_some(delta), complete, logger);
    if has_changes && frames.delta.is_none() {
        // The daemons lack these changes, so that later ones would not fit.
        let mut links = coordinator.links.borrow_mut();
        let links = links.values_mut();
        links.for_each(|link| link.has_complete_view = false);
    }
    if let Some(delta) = frames.delta.as_ref().filter(|_| has_loads) {
        let daemons = coordinator.links.borrow().len();
        coordinator.publisher.borrow_mut().loads_interval =
            load_broadcast_interval(delta.bytes.len(), daemons, link_rate);
    }
    send(coordinator, &frames);
}

/// The changes since the last view. Counts of requests, and daemons that joined or
/// left, are included only once per `loads_interval`.
fn next_delta(coordinator: &ActiveCoordinator, inputs: ViewInputs, now: MonoTime) -> FleetView {
    let members = current_members(coordinator, now);
    let lease = *coordinator.lease.borrow();
    let mut publisher = coordinator.publisher.borrow_mut();
    let loads_due = now.since(publisher.loads_sent_at) >= publisher.loads_interval;
    let engine_changes = publisher.engines.update(&coordinator.state.borrow());
    let member_changes = if loads_due {
        member_changes(&publisher.members, &members)
    } else {
        MemberChanges::default()
    };
    if loads_due {
        publisher.loads_sent_at = now;
        publisher.members = members;
    }
    let changed_limits = std::mem::take(&mut publisher.limits);
    let limits = &coordinator.state.borrow().limits;
    let changed_limits = changed_limits.iter();
    let limits = changed_limits.filter_map(|engine| limits.sighting(engine, now));
    FleetView {
        term: lease.fence,
        renewal: lease.newest_position(),
        complete: false,
        engines: engine_changes.changed,
        gone: engine_changes.gone,
        loads: loads_due.then(|| coordinator.state.borrow().loads()),
        slow: inputs.slow,
        load_concurrency_limit: coordinator.state.borrow().load_limiter.concurrency_limit(),
        joined: member_changes.joined,
        left: member_changes.left,
        engines_cursor: coordinator.engines_cursor.get(),
        store_era: inputs.store_era,
        manifest: inputs.manifest,
        store_age: now.since(coordinator.store_read_time.get()),
        store_outage: lease.is_extended(&coordinator.window, now),
        crashes: std::mem::take(&mut publisher.crashes),
        cleared: std::mem::take(&mut publisher.cleared),
        cleared_parts: std::mem::take(&mut publisher.cleared_parts),
        versions: Vec::new(),
        limits: limits.collect(),
    }
}

/// The complete view for newly connected daemons, based on the changes that the
/// others receive now.
fn complete_view(
    coordinator: &ActiveCoordinator,
    delta: &FleetView,
    versions: Vec<VersionSighting>,
) -> FleetView {
    let publisher = coordinator.publisher.borrow();
    let news = coordinator.crashes.borrow().news(clock::now());
    FleetView {
        complete: true,
        engines: publisher.engines.list(),
        gone: Vec::new(),
        loads: Some(coordinator.state.borrow().loads()),
        joined: publisher.members.clone(),
        left: Vec::new(),
        crashes: news.crashes,
        cleared: Vec::new(),
        cleared_parts: news.cleared_parts,
        versions,
        limits: coordinator.state.borrow().limits.sightings(clock::now()),
        ..delta.clone()
    }
}

/// Daemons that joined, changed or left.
#[derive(Default)]
struct MemberChanges {
    joined: Vec<HostMember>,
    left: Vec<DaemonId>,
}

fn member_changes(previous: &[HostMember], current: &[HostMember]) -> MemberChanges {
    let joined = current.iter().filter(|member| !previous.contains(member));
    let is_present = |daemon: &DaemonId| current.iter().any(|member| member.daemon == *daemon);
    let left = previous.iter().map(|member| &member.daemon);
    MemberChanges {
        joined: joined.cloned().collect(),
        left: left.filter(|daemon| !is_present(daemon)).cloned().collect(),
    }
}

/// Daemons that accept requests: the connected ones and, at the beginning of a
/// term, also those known from before it.
pub(super) fn current_members(coordinator: &ActiveCoordinator, now: MonoTime) -> Vec<HostMember> {
    let links = coordinator.links.borrow();
    let mut members: Vec<HostMember> = links
        .values()
        .filter(|link| !link.leaving)
        .filter_map(|link| link.member.clone())
        .collect();
    let is_leaving = |member: &HostMember| {
        let mut left = links.values().filter(|link| link.leaving);
        left.any(|link| {
            link.member
                .as_ref()
                .is_some_and(|other| other.daemon == member.daemon)
        })
    };
    let publisher = coordinator.publisher.borrow();
    if now.since(publisher.term_start) < JOIN_GRACE {
        for member in &publisher.inherited {
            let known = members.iter().any(|other| other.daemon == member.daemon);
            if !known && !is_leaving(member) {
                members.push(member.clone());
            }
        }
    }
    members.sort_by(|left, right| left.daemon.cmp(&right.daemon));
    members.dedup_by(|left, right| left.daemon == right.daemon);
    members
}

/// Encoded views; `None` where there is nothing to send or the encoding failed.
struct ViewFrames {
    delta: Option<MessageFrame>,
    complete: Option<MessageFrame>,
}

fn send(coordinator: &ActiveCoordinator, frames: &ViewFrames) {
    let mut links = coordinator.links.borrow_mut();
    links.retain(|_, link| {
        let frame = if link.has_complete_view {
            &frames.delta
        } else {
            &frames.complete
        };
        let Some(frame) = frame else {
            return true;
        };
        match link.frames.try_send(frame.clone()) {
            Ok(()) => {
                link.has_complete_view = true;
                true
            }
            // A daemon that does not read its views is disconnected, and will
            // reconnect.
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => false,
        }
    });
}

/// Encodes the changes, then the complete view that includes them.
fn encode_views(
    coordinator: &ActiveCoordinator,
    delta: Option<FleetView>,
    complete: Option<FleetView>,
    logger: &Logger,
) -> ViewFrames {
    let mut publisher = coordinator.publisher.borrow_mut();
    let encoder = &mut publisher.encoder;
    let delta = delta.map(|view| encoder.encode_changes(view));
    let complete = complete.map(|view| encoder.encode_complete(view));
    ViewFrames {
        delta: delta.and_then(|view| encode(view, logger)),
        complete: complete.and_then(|view| encode(view, logger)),
    }
}

fn encode(view: CompactView, logger: &Logger) -> Option<MessageFrame> {
    match encode_message(&CoordinatorMessage::View(Box::new(view))) {
        Ok(frame) => Some(frame),
        Err(cause) => {
            warn!(logger, "coordinator: view cannot be encoded"; "cause" => %cause);
            None
        }
    }
}
