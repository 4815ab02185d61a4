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
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_VIEW_AGE: TimeSpan = TimeSpan::from_millis(1_000);

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
    pub(crate) unconfirmed_crashes: RefCell<Vec<CrashReport>>,
    /// Woken when there is one more.
    pub(crate) crash_recorded: Notify,
    pub(crate) report_events: RefCell<ReportEvents>,
    pub(crate) members: RefCell<Vec<HostMember>>,
    pub(crate) coordinator: CoordinatorSlot,
    /// Newest manifest that any daemon is known to have.
    pub(crate) newest_manifest: Cell<ManifestVersion>,
    /// Wakes the reader of manifests.
    pub(crate) manifest_outdated: Notify,
    /// Offset up to which the coordinator had read the engines when it last told.
    pub(crate) coordinator_offset: Cell<Option<u64>>,
    /// Woken when the store answers again after a call that failed.
    pub(crate) store_recovered: Notify,
    /// Loads that the weight store serves at once, as the coordinator tells.
    pub(crate) max_concurrent_loads: Cell<Option<u32>>,
    /// When the coordinator had last heard from the store, as its views tell.
    pub(crate) view_store_time: Cell<Option<MonoTime>>,
    /// Since when this coordinator is followed.
    pub(crate) followed_since: Cell<Option<MonoTime>>,
    /// Whether the coordinator tells that the store is away for everyone.
    pub(crate) store_outage: Cell<bool>,
    /// When this daemon last read the engines from the store itself.
    pub(crate) engine_read_time: Cell<Option<MonoTime>>,
    /// Own reads of engines from the store that succeeded in a row.
    pub(crate) consecutive_reads: Cell<u32>,
    /// Whether the engines in the store have ever been read or heard of.
    pub(crate) engines_known: Cell<bool>,
    /// Wakes the sender of reports before its time.
    pub(crate) report_requested: Notify,
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
pub(crate) struct ReportEvents {
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
            unconfirmed_crashes: RefCell::default(),
            crash_recorded: Notify::new(),
            report_events: RefCell::default(),
            members: RefCell::default(),
            coordinator: CoordinatorSlot::default(),
            newest_manifest: Cell::default(),
            manifest_outdated: Notify::new(),
            coordinator_offset: Cell::default(),
            store_recovered: Notify::new(),
            max_concurrent_loads: Cell::default(),
            view_store_time: Cell::default(),
            followed_since: Cell::default(),
            store_outage: Cell::default(),
            engine_read_time: Cell::default(),
            consecutive_reads: Cell::default(),
            engines_known: Cell::default(),
            report_requested: Notify::new(),
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
        self.newest_manifest
            .set(self.newest_manifest.get().max(version));
        text.clone_into(&mut self.manifest_text.borrow_mut());
        *self.manifest.borrow_mut() = Some(Rc::new(manifest));
        self.queue.changed();
    }

    /// Notes that some daemon has a manifest.
    pub(crate) fn record_manifest_version(&self, version: ManifestVersion) {
        if version <= self.newest_manifest.get() {
            return;
        }
        self.newest_manifest.set(version);
        self.manifest_outdated.notify_one();
    }

    /// Waits for a pause to pass, or for the store's return if that comes first.
    pub(crate) async fn sleep_or_store_recovery(&self, max_delay: Duration) {
        tokio::select! {
            () = tokio::time::sleep(max_delay) => {}
            () = self.store_recovered.notified() => {}
        }
    }

    /// Whether the coordinator begins to tell what the store says within a time.
    pub(crate) async fn receives_view_within(&self, timeout: Duration) -> bool {
        let received = async {
            while !self.has_current_view() {
                tokio::time::sleep(VIEW_POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(timeout, received).await.is_ok()
    }

    /// Whether the coordinator tells what the store says, as of a moment ago.
    pub(crate) fn has_current_view(&self) -> bool {
        let time = self.view_store_time.get();
        time.is_some_and(|time| clock::now().since(time) < MAX_VIEW_AGE)
    }

    /// Whether requests can be routed.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.get() && self.manifest.borrow().is_some() && self.engines_known.get()
    }

    /// Notes how many daemons are known now.
    pub(crate) fn record_daemon_count(&self, known: usize) {
        let mut daemons = self.daemons.get();
        daemons.record(known, clock::now());
        self.daemons.set(daemons);
    }

    /// Daemons that share the budgets of repeats.
    pub(crate) fn budget_daemons(&self) -> usize {
        self.daemons.get().sharing()
    }

    /// Daemons that send requests to the same engines, as far as is known now.
    pub(crate) fn daemon_count(&self) -> usize {
        match self.members.borrow().len() {
            0 => self.budget_daemons(),
            count => count,
        }
    }

    /// Counts a caller's request toward the budget of repeats.
    pub(crate) fn record_request(&self, service: &ServiceName) {
        let settings = self.settings();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.record_request(clock::now(), &settings.bounds);
    }

    /// Takes one repeat out of a service's budget, if there is one left.
    pub(crate) fn take_retry(&self, service: &ServiceName) -> bool {
        let settings = self.settings();
        let daemons = self.budget_daemons();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.take_retry(clock::now(), &settings.bounds, daemons)
    }

    /// Takes what the next report says beside counts.
    pub(crate) fn take_report_events(&self) -> ReportEvents {
        self.report_events.take()
    }
}
