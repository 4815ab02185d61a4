//! The state that the coordinator holds in memory during its term.

use std::cell::{Cell, RefCell};

use indexmap::IndexMap;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, mpsc};
use ward_fleet::placement::{MemberKey, PlacementState};
use ward_fleet::{
    CoordinatorLease, CrashLedger, CrashReport, EngineEntry, HostMember, LeaseWindow, LimitLedger,
    LoadReport, ManifestVersion, OutageDetector, PermitIssuer, QuotaIssuer, ReadCursor,
    StoredFleet, TermQuorum, VoterRoll,
};
use ward_protocol::{BackendId, FenceNumber, MonoTime};

use super::outage::record_probe_replies;
use super::publish::Publisher;
use crate::clock;
use crate::hub::MessageFrame;
use crate::limit::log_change;

/// Maximum number of messages queued for a daemon; its connection is closed when a
/// view finds the queue full.
const MAX_QUEUED_FRAMES: usize = 64;

/// The coordinator's state during one term.
pub(crate) struct ActiveCoordinator {
    pub(super) state: RefCell<PlacementState>,
    pub(super) lease: RefCell<CoordinatorLease>,
    pub(super) window: LeaseWindow,
    pub(super) links: RefCell<IndexMap<MemberKey, MemberLink>>,
    pub(super) publisher: RefCell<Publisher>,
    pub(super) crashes: RefCell<CrashLedger>,
    /// Issues permits for engines that limit their requests.
    pub(super) issuer: RefCell<PermitIssuer>,
    /// Issues credit of the tenants' quotas.
    pub(super) quotas: RefCell<QuotaIssuer>,
    /// Version of the manifest whose quotas are in force; `None` before the first.
    pub(super) quota_version: Cell<Option<ManifestVersion>>,
    /// What this coordinator last wrote to the fleet record in the store; `None` until
    /// the first renewal of its lease.
    pub(super) stored_fleet: RefCell<Option<StoredFleet>>,
    /// When the engines were last read from the store; initially the start of the term.
    pub(super) store_read_time: Cell<MonoTime>,
    /// Position up to which the store's engines topic has been read; `None` before the
    /// first read of the term.
    pub(super) engines_cursor: Cell<Option<ReadCursor>>,
    pub(super) outage_detector: RefCell<OutageDetector>,
    /// Daemons that accepted requests at the last renewal of the lease, or before the
    /// term if there was none yet, except those that have since announced that they are
    /// leaving.
    pub(super) members_at_renewal: RefCell<Vec<HostMember>>,
    /// Daemons that are voters of the term.
    pub(super) voter_roll: RefCell<VoterRoll>,
    /// Voters as the store may show them.
    pub(super) quorum: RefCell<TermQuorum>,
    /// Wakes the renewal of the lease before its interval ends.
    pub(super) voter_joined: Notify,
    /// Wakes the planner before its interval ends.
    pub(super) plan_requested: Notify,
    pub(super) logger: Logger,
    next_key: Cell<u64>,
    /// Whether the term is being released or has ended, so that no more orders or
    /// renewals are sent.
    resigned: Cell<bool>,
    ended: Cell<bool>,
    end_notify: Notify,
}

/// What the daemon that begins a term knows of the fleet from before it.
pub(super) struct FleetKnowledge {
    pub(super) crashes: CrashLedger,
    pub(super) limits: LimitLedger,
}

/// A daemon's connection to the coordinator.
pub(super) struct MemberLink {
    pub(super) frames: mpsc::Sender<MessageFrame>,
    /// The daemon at the other end; `None` until `record_member` is called.
    pub(super) member: Option<HostMember>,
    pub(super) leaving: bool,
    /// Whether a complete view was queued on this connection, so that later views need
    /// only contain changes.
    pub(super) has_complete_view: bool,
}

impl ActiveCoordinator {
    pub(super) fn new(
        lease: CoordinatorLease,
        window: LeaseWindow,
        inherited: Vec<HostMember>,
        knowledge: FleetKnowledge,
        logger: Logger,
    ) -> Self {
        let FleetKnowledge { crashes, limits } = knowledge;
        let mut state = PlacementState::default();
        state.limits = limits;
        Self {
            state: RefCell::new(state),
            lease: RefCell::new(lease),
            window,
            links: RefCell::default(),
            publisher: RefCell::new(Publisher::new(inherited.clone())),
            crashes: RefCell::new(crashes),
            issuer: RefCell::default(),
            quotas: RefCell::default(),
            quota_version: Cell::default(),
            stored_fleet: RefCell::default(),
            store_read_time: Cell::new(clock::now()),
            engines_cursor: Cell::default(),
            outage_detector: RefCell::default(),
            members_at_renewal: RefCell::new(inherited),
            voter_roll: RefCell::default(),
            quorum: RefCell::default(),
            voter_joined: Notify::new(),
            plan_requested: Notify::new(),
            logger,
            next_key: Cell::default(),
            resigned: Cell::default(),
            ended: Cell::default(),
            end_notify: Notify::new(),
        }
    }

    /// The fencing number of the term; an engine that has seen a higher one rejects
    /// its orders.
    pub(super) fn fence(&self) -> FenceNumber {
        self.lease.borrow().fence
    }

    /// Whether orders may be sent: the engines were read, the term is neither being
    /// released nor has it ended, and its lease allows them.
    pub(super) fn may_order(&self) -> bool {
        let has_read = self.engines_cursor.get().is_some();
        has_read
            && !self.resigned.get()
            && self.lease.borrow().may_order(&self.window, clock::now())
    }

    /// Stops sending orders and renewals.
    pub(super) fn resign(&self) {
        self.resigned.set(true);
    }

    /// Whether the term is being released or has ended.
    pub(super) fn is_resigned(&self) -> bool {
        self.resigned.get()
    }

    /// Whether the term has ended.
    pub(super) fn is_ended(&self) -> bool {
        self.ended.get()
    }

    /// Ends the term and wakes everything that waits for its end.
    pub(super) fn end(&self, reason: &str) {
        self.resigned.set(true);
        if !self.ended.replace(true) {
            warn!(self.logger, "coordinator: term ends"; "fence" => self.fence().0, "why" => reason);
            self.end_notify.notify_waiters();
        }
    }

    /// Waits until the term has ended.
    pub(crate) async fn ended(&self) {
        loop {
            let notified = self.end_notify.notified();
            if self.ended.get() {
                return;
            }
            notified.await;
        }
    }

    /// Adds a daemon's connection; returns its key and the queue of messages to send
    /// to the daemon.
    pub(crate) fn add_link(&self) -> (MemberKey, mpsc::Receiver<MessageFrame>) {
        let key = MemberKey(self.next_key.get());
        self.next_key.set(key.0 + 1);
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let link = MemberLink {
            frames: sender,
            member: None,
            leaving: false,
            has_complete_view: false,
        };
        self.links.borrow_mut().insert(key, link);
        (key, receiver)
    }

    /// Removes a daemon's connection and the requests that it reported; returns the
    /// daemon, if the connection was still listed.
    pub(crate) fn remove_link(&self, key: MemberKey) -> Option<HostMember> {
        self.state.borrow_mut().remove_member(key);
        self.issuer.borrow_mut().remove_member(key);
        self.quotas.borrow_mut().remove_member(key, clock::now());
        let link = self.links.borrow_mut().shift_remove(&key)?;
        link.member
    }

    /// Records which daemon is at the other end of a connection.
    pub(crate) fn record_member(&self, key: MemberKey, member: HostMember) {
        info!(
            self.logger, "coordinator: daemon joined";
            "daemon" => %member.daemon, "zone" => %member.zone,
        );
        if !self.quorum.borrow().is_stored(member.peers) {
            self.voter_joined.notify_one();
        }
        if let Some(link) = self.links.borrow_mut().get_mut(&key) {
            link.member = Some(member);
        }
        self.plan_requested.notify_one();
    }

    /// Records that a daemon is shutting down.
    pub(crate) fn mark_leaving(&self, key: MemberKey) {
        if let Some(link) = self.links.borrow_mut().get_mut(&key) {
            link.leaving = true;
            if let Some(member) = &link.member {
                let mut members_at_renewal = self.members_at_renewal.borrow_mut();
                members_at_renewal.retain(|other| other.daemon != member.daemon);
                self.voter_roll.borrow_mut().remove(&member.daemon);
            }
        }
        self.plan_requested.notify_one();
    }

    /// Applies a daemon's report; replans at once if requests wait, an engine crashed
    /// or an engine is leaving.
    pub(crate) fn apply_report(&self, key: MemberKey, mut report: LoadReport, now: MonoTime) {
        let urgent =
            !(report.waiting.is_empty() && report.crashes.is_empty() && report.leaving.is_empty());
        let needs = std::mem::take(&mut report.permit_needs);
        let mut issuer = self.issuer.borrow_mut();
        issuer.record_needs(key, needs, report.sent_at, now);
        drop(issuer);
        let needs = std::mem::take(&mut report.quota_needs);
        let mut quotas = self.quotas.borrow_mut();
        quotas.record_needs(key, needs, report.sent_at, now);
        drop(quotas);
        self.record_limits(&report, now);
        self.record_crashes(&report, now);
        record_probe_replies(self, key, &report);
        let mut state = self.state.borrow_mut();
        for incarnation in &report.leaving {
            state.mark_leaving(incarnation, now);
        }
        state.apply_report(key, report);
        drop(state);
        if urgent {
            self.plan_requested.notify_one();
        }
    }

    /// Records the limits in a daemon's report and queues them for the next view.
    fn record_limits(&self, report: &LoadReport, now: MonoTime) {
        for sighting in &report.limits {
            let mut state = self.state.borrow_mut();
            if state.limits.record_sighting(sighting, now) {
                log_change(&self.logger, sighting, "report");
                let engine = sighting.incarnation.engine.clone();
                self.publisher.borrow_mut().queue_limit(engine);
                self.plan_requested.notify_one();
            }
        }
    }

    /// Records the crashes in a daemon's report and queues them for the next view.
    fn record_crashes(&self, report: &LoadReport, now: MonoTime) {
        let mut crashes = self.crashes.borrow_mut();
        let mut publisher = self.publisher.borrow_mut();
        for fingerprint in &report.cleared {
            if crashes.clear(fingerprint) {
                publisher.queue_cleared(*fingerprint);
            }
        }
        for cleared in &report.cleared_parts {
            if crashes.clear_part(&cleared.part, now - cleared.age, now) {
                publisher.queue_cleared_part(cleared);
            }
        }
        for crash_report in &report.crashes {
            // A known crash is queued, too: the daemon that reported it waits for a
            // view that confirms it.
            crashes.record(crash_report, now);
            self.mark_ended(crash_report, now);
            publisher.queue_crash(crash_report);
        }
    }

    /// Records that the engine of a crash report has ended, so that its models are loaded
    /// elsewhere before its entry is dropped.
    fn mark_ended(&self, report: &CrashReport, now: MonoTime) {
        let incarnation = &report.incarnation;
        let mut state = self.state.borrow_mut();
        if state.mark_ended(incarnation, now - report.age) {
            info!(
                self.logger, "coordinator: engine has ended"; "engine" => %incarnation.engine,
                "birth" => incarnation.birth.map(|birth| birth.0), "age" => report.age.millis(),
            );
        }
    }

    /// Initializes the limits on loads from the weight store; `limit` is the number of
    /// concurrent loads that an earlier coordinator published, if known.
    pub(super) fn init_load_limit(&self, limit: Option<u32>, now: MonoTime) {
        let mut state = self.state.borrow_mut();
        state.load_limiter.begin_term(now);
        if let Some(limit) = limit {
            state.load_limiter.set_concurrency_limit(limit);
        }
    }

    /// Records that the store's engines topic has been read up to a cursor.
    pub(super) fn record_store_read(&self, cursor: ReadCursor, now: MonoTime) {
        self.store_read_time.set(now);
        self.engines_cursor.set(Some(cursor));
    }

    /// Applies an engine's store entry, which is written again with each heartbeat.
    pub(super) fn apply_entry(&self, entry: &EngineEntry, now: MonoTime) {
        let mut state = self.state.borrow_mut();
        let had_ended = state.has_ended(&entry.id);
        let is_new = state.apply_entry(entry, now);
        if had_ended && !is_new && !state.has_ended(&entry.id) {
            info!(self.logger, "coordinator: engine has not ended"; "engine" => %entry.id);
        }
        drop(state);
        if is_new {
            self.plan_requested.notify_one();
        }
    }

    /// Records that an engine's entry expired during a store outage.
    pub(super) fn mark_lapsed(&self, id: &BackendId) {
        self.state.borrow_mut().mark_lapsed(id);
    }

    /// Removes an engine that is gone.
    pub(super) fn remove_engine(&self, id: &BackendId) {
        self.state.borrow_mut().remove_engine(id, clock::now());
        self.plan_requested.notify_one();
    }
}
