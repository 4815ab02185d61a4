//! What the coordinator holds during its term.

use std::cell::{Cell, RefCell};

use indexmap::IndexMap;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, mpsc};
use ward_fleet::placement::{MemberKey, PlacementState};
use ward_fleet::{
    CoordinatorLease, CrashLedger, EngineEntry, HostMember, LeaseWindow, LoadReport,
    OutageDetector, StoredFleet,
};
use ward_protocol::{BackendId, FenceNumber, MonoTime};

use super::publish::{Publisher, ViewFrame};
use crate::clock;

/// Views that may wait for a daemon that does not read.
const VIEW_QUEUE_CAPACITY: usize = 64;

/// The coordinator of one term.
pub(crate) struct ActiveCoordinator {
    pub(super) state: RefCell<PlacementState>,
    pub(super) lease: RefCell<CoordinatorLease>,
    pub(super) window: LeaseWindow,
    pub(super) links: RefCell<IndexMap<MemberKey, MemberLink>>,
    pub(super) publisher: RefCell<Publisher>,
    pub(super) crashes: RefCell<CrashLedger>,
    /// What the store has of the fleet from this term.
    pub(super) stored: Cell<Option<StoredFleet>>,
    pub(super) store_read_time: Cell<MonoTime>,
    /// Offset up to which the store's engines have been read.
    pub(super) engines_end: Cell<Option<u64>>,
    pub(super) outage: RefCell<OutageDetector>,
    /// Daemons that took requests at the last renewal and have not stopped.
    pub(super) members_at_renewal: RefCell<Vec<HostMember>>,
    /// Wakes planning before its time.
    pub(super) plan_requested: Notify,
    logger: Logger,
    next_key: Cell<u64>,
    /// Whether the term is being released: no more orders and renewals.
    resigned: Cell<bool>,
    ended: Cell<bool>,
    end_notify: Notify,
}

/// A daemon's connection.
pub(super) struct MemberLink {
    pub(super) frames: mpsc::Sender<ViewFrame>,
    pub(super) member: Option<HostMember>,
    pub(super) leaving: bool,
    /// Whether it has got a complete view.
    pub(super) has_complete_view: bool,
}

impl ActiveCoordinator {
    pub(super) fn new(
        lease: CoordinatorLease,
        window: LeaseWindow,
        inherited: Vec<HostMember>,
        crashes: CrashLedger,
        logger: Logger,
    ) -> Self {
        Self {
            state: RefCell::default(),
            lease: RefCell::new(lease),
            window,
            links: RefCell::default(),
            publisher: RefCell::new(Publisher::new(inherited.clone())),
            crashes: RefCell::new(crashes),
            stored: Cell::default(),
            store_read_time: Cell::new(clock::now()),
            engines_end: Cell::default(),
            outage: RefCell::default(),
            members_at_renewal: RefCell::new(inherited),
            plan_requested: Notify::new(),
            logger,
            next_key: Cell::default(),
            resigned: Cell::default(),
            ended: Cell::default(),
            end_notify: Notify::new(),
        }
    }

    /// Fencing number of the term.
    pub(super) fn fence(&self) -> FenceNumber {
        self.lease.borrow().fence
    }

    /// Whether orders may be given now.
    pub(super) fn may_order(&self) -> bool {
        !self.resigned.get() && self.lease.borrow().may_order(&self.window, clock::now())
    }

    /// Gives no more orders and renewals.
    pub(super) fn resign(&self) {
        self.resigned.set(true);
    }

    /// Whether the term is being released.
    pub(super) fn is_resigned(&self) -> bool {
        self.resigned.get()
    }

    /// Whether the term is over.
    pub(super) fn is_ended(&self) -> bool {
        self.ended.get()
    }

    /// Ends the term.
    pub(super) fn end(&self, reason: &str) {
        self.resigned.set(true);
        if !self.ended.replace(true) {
            warn!(self.logger, "coordinator: term ends"; "fence" => self.fence().0, "why" => reason);
            self.end_notify.notify_waiters();
        }
    }

    /// Waits for the end of the term.
    pub(crate) async fn ended(&self) {
        loop {
            let notified = self.end_notify.notified();
            if self.ended.get() {
                return;
            }
            notified.await;
        }
    }

    /// Adds a daemon's connection.
    pub(crate) fn add_link(&self) -> (MemberKey, mpsc::Receiver<ViewFrame>) {
        let key = MemberKey(self.next_key.get());
        self.next_key.set(key.0 + 1);
        let (sender, receiver) = mpsc::channel(VIEW_QUEUE_CAPACITY);
        let link = MemberLink {
            frames: sender,
            member: None,
            leaving: false,
            has_complete_view: false,
        };
        self.links.borrow_mut().insert(key, link);
        (key, receiver)
    }

    /// Forgets a daemon's connection with its requests.
    pub(crate) fn remove_link(&self, key: MemberKey) -> Option<HostMember> {
        self.state.borrow_mut().remove_member(key);
        let link = self.links.borrow_mut().shift_remove(&key)?;
        link.member
    }

    /// Notes who is at the other end of a connection.
    pub(crate) fn record_member(&self, key: MemberKey, member: HostMember) {
        info!(
            self.logger, "coordinator: daemon joined";
            "daemon" => %member.daemon, "zone" => %member.zone,
        );
        if let Some(link) = self.links.borrow_mut().get_mut(&key) {
            link.member = Some(member);
        }
        self.plan_requested.notify_one();
    }

    /// Notes that a daemon stops.
    pub(crate) fn mark_leaving(&self, key: MemberKey) {
        if let Some(link) = self.links.borrow_mut().get_mut(&key) {
            link.leaving = true;
            if let Some(member) = &link.member {
                let mut members_at_renewal = self.members_at_renewal.borrow_mut();
                members_at_renewal.retain(|other| other.daemon != member.daemon);
            }
        }
        self.plan_requested.notify_one();
    }

    /// Notes a daemon's requests.
    pub(crate) fn apply_report(&self, key: MemberKey, report: LoadReport, now: MonoTime) {
        let urgent =
            !(report.waiting.is_empty() && report.crashes.is_empty() && report.leaving.is_empty());
        self.record_crashes(&report, now);
        let probe = report.failed_probe;
        let overdue_probe_time =
            probe.and_then(|probe| self.outage.borrow_mut().record_failure(key, probe));
        if let Some(probe_time) = overdue_probe_time {
            self.lease.borrow_mut().record_outage(probe_time);
        }
        let mut state = self.state.borrow_mut();
        for life in &report.leaving {
            state.mark_leaving(life, now);
        }
        state.apply_report(key, report);
        drop(state);
        if urgent {
            self.plan_requested.notify_one();
        }
    }

    /// Counts crashes that a daemon tells, and passes them on.
    fn record_crashes(&self, report: &LoadReport, now: MonoTime) {
        let mut crashes = self.crashes.borrow_mut();
        let mut publisher = self.publisher.borrow_mut();
        for fingerprint in &report.cleared {
            if crashes.clear(fingerprint) {
                publisher.queue_cleared(*fingerprint);
            }
        }
        for mark in &report.crashes {
            // Whoever told it waits for a view that confirms it.
            crashes.record(mark, now);
            publisher.queue_crash(mark);
        }
    }

    /// Prepares for loads from the weight store; `at_once` is how many it serves,
    /// as an earlier coordinator told.
    pub(super) fn init_load_limit(&self, at_once: Option<u32>, now: MonoTime) {
        let mut state = self.state.borrow_mut();
        state.ceiling.begin_term(now);
        if let Some(at_once) = at_once {
            state.ceiling.inherit(at_once);
        }
    }

    /// Notes that the store has told all it knows of engines, up to an offset.
    pub(super) fn record_store_read(&self, offset: u64, now: MonoTime) {
        self.store_read_time.set(now);
        self.engines_end.set(Some(offset));
    }

    /// Notes an engine's heartbeat.
    pub(super) fn record_entry(&self, entry: &EngineEntry, now: MonoTime) {
        if self.state.borrow_mut().apply_entry(entry, now) {
            self.plan_requested.notify_one();
        }
    }

    /// Notes that the store dropped an engine's entry in an outage.
    pub(super) fn mark_lapsed(&self, id: &BackendId) {
        self.state.borrow_mut().mark_lapsed(id);
    }

    /// Notes that an engine is gone.
    pub(super) fn remove_engine(&self, id: &BackendId) {
        self.state.borrow_mut().remove_engine(id, clock::now());
        self.plan_requested.notify_one();
    }
}
