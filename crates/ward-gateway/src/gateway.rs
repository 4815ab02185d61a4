//! What the parts of a daemon share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use slog::{Logger, info};
use tokio::sync::Notify;
use ward_adapter::StoreClient;
use ward_fleet::{
    AnsweredRequests, CrashDetector, CrashLedger, CrashReport, DaemonCount, EngineIncarnation,
    EngineTable, HostMember, HostSettings, ManifestVersion, ProbeNumber, RetryBudget, RunningCount,
    ServingManifest, WaitingCount,
};
use ward_protocol::{Incarnation, MonoTime, RequestFingerprint, ServiceName, TimeSpan, WallTime};

use crate::clock;
use crate::coordinator::CoordinatorSlot;
use crate::forward::EnginePool;
use crate::metrics::GatewayMetrics;
use crate::queue::WaitQueue;

const STORE_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);
/// Age of the coordinator's news from the store from which on a daemon reads the
/// store itself; well below the time in which a draining engine must be known.
const VIEW_LOOK_PAUSE: Duration = Duration::from_millis(50);
const VIEW_AGE: TimeSpan = TimeSpan::from_millis(1_000);

/// One daemon.
pub(crate) struct Gateway {
    pub(crate) settings: RefCell<Rc<HostSettings>>,
    pub(crate) incarnation: Incarnation,
    pub(crate) logger: Logger,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) store: StoreClient,
    pub(crate) pool: EnginePool,
    pub(crate) table: RefCell<EngineTable>,
    pub(crate) queue: WaitQueue,
    pub(crate) crashes: RefCell<CrashLedger>,
    pub(crate) crash_watch: RefCell<CrashDetector>,
    pub(crate) answered: RefCell<AnsweredRequests>,
    /// Crashes that this daemon saw and no view has confirmed.
    pub(crate) unconfirmed: RefCell<Vec<CrashReport>>,
    /// Woken when there is one more.
    pub(crate) crash_counted: Notify,
    pub(crate) notes: RefCell<ReportNotes>,
    pub(crate) members: RefCell<Vec<HostMember>>,
    pub(crate) coordinator: CoordinatorSlot,
    /// Newest manifest that any daemon is known to have.
    pub(crate) manifest_heard: Cell<ManifestVersion>,
    /// Wakes the reader of manifests.
    pub(crate) manifest_wanted: Notify,
    /// Offset up to which the coordinator had read the engines when it last told.
    pub(crate) told_end: Cell<Option<u64>>,
    /// Woken when the store answers again after a call that failed.
    pub(crate) store_regained: Notify,
    /// Loads that the weight store serves at once, as the coordinator tells.
    pub(crate) loads_at_once: Cell<Option<u32>>,
    /// When the coordinator had last heard from the store, as its views tell.
    pub(crate) view_time: Cell<Option<MonoTime>>,
    /// Since when this coordinator is followed.
    pub(crate) followed_since: Cell<Option<MonoTime>>,
    /// Whether the coordinator tells that the store is away for everyone.
    pub(crate) told_away: Cell<bool>,
    /// When this daemon last read the engines from the store itself.
    pub(crate) read_time: Cell<Option<MonoTime>>,
    /// Own reads of engines from the store that succeeded in a row.
    pub(crate) store_streak: Cell<u32>,
    /// Whether the engines in the store have ever been read or heard of.
    pub(crate) engines_known: Cell<bool>,
    /// Wakes the sender of reports before its time.
    pub(crate) report_wanted: Notify,
    /// Whether the process is to end.
    pub(crate) stopping: Cell<bool>,
    /// Where the coordinator listens, while it is followed or was heard of.
    pub(crate) coordinator_address: Cell<Option<SocketAddr>>,
    manifest: RefCell<Option<Rc<ServingManifest>>>,
    /// The manifest in force as the operator wrote it.
    manifest_text: RefCell<Vec<u8>>,
    budgets: RefCell<IndexMap<ServiceName, RetryBudget>>,
    daemons: Cell<DaemonCount>,
}

/// What the next report to the coordinator will say beside counts.
#[derive(Debug, Default)]
pub(crate) struct ReportNotes {
    pub(crate) arrivals: Vec<WaitingCount>,
    pub(crate) crashes: Vec<CrashReport>,
    pub(crate) leaving: Vec<EngineIncarnation>,
    pub(crate) cleared: Vec<RequestFingerprint>,
    pub(crate) misplaced: Vec<RunningCount>,
    pub(crate) store_away: Option<ProbeNumber>,
}

impl Gateway {
    pub(crate) fn new(settings: HostSettings, metrics: GatewayMetrics, logger: Logger) -> Self {
        Self {
            store: StoreClient::new(settings.store, STORE_TIMEOUT),
            settings: RefCell::new(Rc::new(settings)),
            incarnation: Incarnation(WallTime::now().0),
            logger,
            pool: EnginePool::new(metrics.connections.clone()),
            metrics,
            table: RefCell::default(),
            queue: WaitQueue::default(),
            crashes: RefCell::default(),
            crash_watch: RefCell::default(),
            answered: RefCell::default(),
            unconfirmed: RefCell::default(),
            crash_counted: Notify::new(),
            notes: RefCell::default(),
            members: RefCell::default(),
            coordinator: CoordinatorSlot::default(),
            manifest_heard: Cell::default(),
            manifest_wanted: Notify::new(),
            told_end: Cell::default(),
            store_regained: Notify::new(),
            loads_at_once: Cell::default(),
            view_time: Cell::default(),
            followed_since: Cell::default(),
            told_away: Cell::default(),
            read_time: Cell::default(),
            store_streak: Cell::default(),
            engines_known: Cell::default(),
            report_wanted: Notify::new(),
            stopping: Cell::default(),
            coordinator_address: Cell::default(),
            manifest: RefCell::default(),
            manifest_text: RefCell::default(),
            budgets: RefCell::default(),
            daemons: Cell::default(),
        }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Rc<HostSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// The manifest in force, if one is known.
    pub(crate) fn manifest(&self) -> Option<Rc<ServingManifest>> {
        self.manifest.borrow().clone()
    }

    /// The manifest in force as the operator wrote it.
    pub(crate) fn manifest_text(&self) -> Option<Vec<u8>> {
        self.manifest()?;
        Some(self.manifest_text.borrow().clone())
    }

    /// Puts a manifest in force unless a newer one is.
    pub(crate) fn adopt_manifest(&self, manifest: ServingManifest, text: &[u8]) {
        let version = manifest.version;
        let current = self.manifest().map(|current| current.version);
        if current.is_some_and(|current| current >= version) {
            return;
        }
        info!(
            self.logger, "manifest: in force";
            "version" => version.0, "former" => current.map(|current| current.0),
            "routes" => manifest.routes.len(), "services" => manifest.services.len(),
        );
        self.metrics
            .manifest
            .set(i64::try_from(version.0).unwrap_or(i64::MAX));
        self.manifest_heard
            .set(self.manifest_heard.get().max(version));
        text.clone_into(&mut self.manifest_text.borrow_mut());
        *self.manifest.borrow_mut() = Some(Rc::new(manifest));
        self.queue.changed();
    }

    /// Notes that some daemon has a manifest.
    pub(crate) fn hear_manifest(&self, version: ManifestVersion) {
        if version <= self.manifest_heard.get() {
            return;
        }
        self.manifest_heard.set(version);
        self.manifest_wanted.notify_one();
    }

    /// Waits for a pause to pass, or for the store's return if that comes first.
    pub(crate) async fn wait_for_store(&self, pause: Duration) {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.store_regained.notified() => {}
        }
    }

    /// Whether the coordinator begins to tell what the store says within a time.
    pub(crate) async fn hears_view_within(&self, patience: Duration) -> bool {
        let heard = async {
            while !self.hears_view() {
                tokio::time::sleep(VIEW_LOOK_PAUSE).await;
            }
        };
        tokio::time::timeout(patience, heard).await.is_ok()
    }

    /// Whether the coordinator tells what the store says, as of a moment ago.
    pub(crate) fn hears_view(&self) -> bool {
        let time = self.view_time.get();
        time.is_some_and(|time| clock::now().since(time) < VIEW_AGE)
    }

    /// Whether requests can be routed.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.get() && self.manifest.borrow().is_some() && self.engines_known.get()
    }

    /// Notes how many daemons are known now.
    pub(crate) fn note_daemons(&self, known: usize) {
        let mut daemons = self.daemons.get();
        daemons.record(known, clock::now());
        self.daemons.set(daemons);
    }

    /// Daemons that share the budgets of repeats.
    pub(crate) fn budget_sharing(&self) -> usize {
        self.daemons.get().sharing()
    }

    /// Daemons that send requests to the same engines, as far as is known now.
    pub(crate) fn daemon_count(&self) -> usize {
        match self.members.borrow().len() {
            0 => self.budget_sharing(),
            count => count,
        }
    }

    /// Counts a caller's request toward the budget of repeats.
    pub(crate) fn note_request(&self, service: &ServiceName) {
        let settings = self.settings();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.record_request(clock::now(), &settings.bounds);
    }

    /// Takes one repeat out of a service's budget, if there is one left.
    pub(crate) fn take_repeat(&self, service: &ServiceName) -> bool {
        let settings = self.settings();
        let daemons = self.budget_sharing();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.take_retry(clock::now(), &settings.bounds, daemons)
    }

    /// Takes what the next report says beside counts.
    pub(crate) fn take_notes(&self) -> ReportNotes {
        self.notes.take()
    }
}
