//! The control state machine: dispatches events and runs all tasks at each step.

use ward_protocol::{
    DaemonId, Incarnation, MonoTime, PeerEnvelope, PeerMessage, RoutingView, TimeSpan, ViewMode,
    WallTime,
};
use ward_state::ClusterState;

use crate::action::ControlAction;
use crate::config::ControlConfig;
use crate::crashes::CrashReports;
use crate::defect::DefectKind;
use crate::duty::DutyRanks;
use crate::engines::EngineTable;
use crate::event::ControlEvent;
use crate::hosts::HostTracker;
use crate::ids::IdSource;
use crate::membership::ProbeTable;
use crate::models::ModelTable;
use crate::proposer::Proposer;
use crate::reader::LogReader;
use crate::snapshots::SnapshotProgress;
use crate::start::StartState;
use crate::stop::StopState;
use crate::view::ViewCache;

/// Minimum time between two published views that differ only in load figures.
const PUBLISH_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// Control state machine of one daemon.
#[derive(Debug)]
pub struct ControlCore {
    pub(crate) config: ControlConfig,
    pub(crate) state: ClusterState,
    pub(crate) now: MonoTime,
    pub(crate) wall: WallTime,
    pub(crate) actions: Vec<ControlAction>,
    pub(crate) ids: IdSource,
    pub(crate) incarnation: Incarnation,
    pub(crate) start: StartState,
    pub(crate) reader: LogReader,
    pub(crate) proposer: Proposer,
    pub(crate) probes: ProbeTable,
    pub(crate) hosts: HostTracker,
    pub(crate) crashes: CrashReports,
    pub(crate) engines: EngineTable,
    pub(crate) models: ModelTable,
    pub(crate) snapshots: SnapshotProgress,
    pub(crate) stop: StopState,
    pub(crate) views: ViewCache,
    pub(crate) duties: DutyRanks,
    /// Whether the routing view has changed since it was last published.
    pub(crate) changed: bool,
    /// When a view was last published, and its mode.
    last_published: Option<(MonoTime, ViewMode)>,
}

impl ControlCore {
    /// A state machine without state; it reads a snapshot and the log first.
    #[must_use]
    pub fn new(config: ControlConfig, start: MonoTime) -> Self {
        let ids = IdSource::new(config.seed);
        let incarnation = config.member.incarnation;
        Self {
            config,
            state: ClusterState::default(),
            now: start,
            wall: WallTime::default(),
            actions: Vec::new(),
            ids,
            incarnation,
            start: StartState::default(),
            reader: LogReader::default(),
            proposer: Proposer::default(),
            probes: ProbeTable::default(),
            hosts: HostTracker::default(),
            crashes: CrashReports::default(),
            engines: EngineTable::default(),
            models: ModelTable::default(),
            snapshots: SnapshotProgress::default(),
            stop: StopState::default(),
            views: ViewCache::default(),
            duties: DutyRanks::default(),
            changed: true,
            last_published: None,
        }
    }

    /// Processes one event and returns the actions to carry out, in order.
    pub fn step(
        &mut self,
        now: MonoTime,
        wall: WallTime,
        event: ControlEvent,
    ) -> Vec<ControlAction> {
        self.now = self.now.max(now);
        self.wall = wall;
        self.handle(event);
        self.run_tasks();
        self.publish();
        std::mem::take(&mut self.actions)
    }

    /// Builds the routing view for the traffic threads.
    #[must_use]
    pub fn view(&mut self) -> RoutingView {
        self.build_view()
    }

    /// Incarnation under which this daemon joins; it rises when the state already has this one
    /// or a newer one, as on rejoining after having been expired.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The replicated control state as applied by this daemon.
    #[must_use]
    pub const fn state(&self) -> &ClusterState {
        &self.state
    }

    /// Number of control offsets by which this daemon lags behind the newest offset seen.
    #[must_use]
    pub fn log_lag(&self) -> u64 {
        let newest_seen = self.reader.newest_control_seen();
        newest_seen.0.saturating_sub(self.state.applied().0)
    }

    fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Tick => {}
            ControlEvent::Read {
                stream,
                started,
                records,
                end,
                cut,
            } => self.handle_read(stream, started, records, end, cut),
            ControlEvent::ReadFailed { stream } => self.handle_read_failed(stream),
            ControlEvent::PeerRecords { stream, records } => {
                self.handle_peer_records(stream, records);
            }
            ControlEvent::Snapshot { bytes } => self.handle_snapshot(&bytes),
            ControlEvent::NoSnapshot => self.handle_no_snapshot(),
            ControlEvent::Appended { record, result } => self.handle_appended(record, result),
            ControlEvent::SnapshotWritten { control, stored } => {
                self.snapshots.record_write(control, stored);
            }
            ControlEvent::OrderEnded {
                backend,
                order,
                result,
            } => self.handle_order_ended(&backend, order, result),
            ControlEvent::Status { started, status } => self.handle_status(started, status),
            ControlEvent::StatusFailed { backend } => self.handle_status_failed(&backend),
            ControlEvent::Hosts { hosts } => self.handle_hosts(hosts),
            ControlEvent::HostsFailed => self.hosts.record_read_failure(),
            ControlEvent::Peer { envelope } => self.handle_peer(envelope),
            ControlEvent::Wanted { hint } => self.handle_wanted(hint),
            ControlEvent::Used { hint } => self.handle_used(&hint),
            ControlEvent::Crashed {
                fingerprint,
                backend,
                until,
            } => self.crashes.add(fingerprint, backend, until),
            ControlEvent::Stop => self.stop.begin(self.now),
        }
    }

    fn handle_peer(&mut self, envelope: PeerEnvelope) {
        let PeerEnvelope {
            sender,
            incarnation,
            message,
        } = envelope;
        match message {
            PeerMessage::Probe { sequence, applied } => {
                self.probes.record_contact(&sender, self.now);
                self.reader.handle_reported_end(applied);
                self.answer_probe(&sender, sequence);
            }
            PeerMessage::ProbeAck { sequence, applied } => {
                self.probes.record_contact(&sender, self.now);
                self.reader.handle_reported_end(applied);
                self.handle_probe_ack(&sender, sequence);
            }
            PeerMessage::ProbeRelay { sequence, target } => {
                self.relay_probe(sender, sequence, &target);
            }
            PeerMessage::RelayAck { target, .. } => self.probes.record_contact(&target, self.now),
            PeerMessage::Wake(hint) => self.handle_wake(sender, hint),
            PeerMessage::Fresh { end } => self.reader.handle_reported_end(end),
            PeerMessage::Released { backend, fence } => {
                self.handle_released(&sender, incarnation, &backend, fence);
            }
            PeerMessage::Cancel { .. } => {}
        }
    }

    fn run_tasks(&mut self) {
        self.sync_duties();
        self.run_start();
        self.run_reads();
        self.run_membership();
        self.sync_engines();
        self.run_hosts();
        if self.has_authority() {
            self.propose_limits();
            self.run_crashes();
            self.run_adopt();
            self.run_models();
            self.run_snapshots();
        }
        self.run_engines();
        self.run_stop();
    }

    /// Whether this daemon may send orders and propose records: it is a member and its
    /// read lease is valid.
    pub(crate) fn has_authority(&self) -> bool {
        self.is_member() && self.lease_holds()
    }

    /// Whether this daemon is a member under its current incarnation.
    pub(crate) fn is_member(&self) -> bool {
        self.state
            .is_member(&self.config.member.daemon, self.incarnation)
    }

    fn lease_holds(&self) -> bool {
        if self.config.defects.has(DefectKind::SkipLease) {
            return true;
        }
        self.reader
            .lease_start
            .is_some_and(|start| self.now.since(start) < self.config.lease.lease)
    }

    pub(crate) fn own_id(&self) -> &DaemonId {
        &self.config.member.daemon
    }

    /// The mode published with the routing view.
    pub(crate) fn mode(&self) -> ViewMode {
        if self.stop.is_begun() {
            return ViewMode::Stopping;
        }
        if !self.start.has_state() {
            return ViewMode::Starting;
        }
        if self.has_authority() {
            return ViewMode::Full;
        }
        ViewMode::RoutingOnly
    }

    /// Sends a message to another daemon; does nothing if it is not a member.
    pub(crate) fn send(&mut self, daemon: &DaemonId, message: PeerMessage) {
        let Some(member) = self.state.members().get(daemon) else {
            return;
        };
        let action = ControlAction::Send {
            daemon: daemon.clone(),
            address: member.info.peers,
            message,
        };
        self.actions.push(action);
    }

    /// Publishes the view if its mode or content has changed, or if only load figures have and
    /// the interval has passed.
    fn publish(&mut self) {
        let mode = self.mode();
        let must_publish = match self.last_published {
            None => true,
            Some((_, last)) if last != mode => true,
            Some((at, _)) => {
                let interval_passed = self.now.since(at) >= PUBLISH_INTERVAL;
                self.changed || (interval_passed && self.views.is_stale())
            }
        };
        if !must_publish {
            return;
        }
        self.changed = false;
        self.last_published = Some((self.now, mode));
        self.actions.push(ControlAction::Publish);
    }
}
