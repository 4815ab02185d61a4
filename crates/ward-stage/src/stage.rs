//! A deployment of daemons, engines, backend servers and a store on one machine.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use ward_adapter::ingress::READINESS_PATH;
use ward_adapter::served::ServedTenant;
use ward_fleet::{EngineEntry, QuotaAmount, ServingManifest};
use ward_http::{CallBounds, HttpClient, json_request};
use ward_protocol::{MemorySize, TimeSpan};

use crate::daemon::{DaemonProcess, StageError};
use crate::deployment::{engine_entry, manifest, settings};
use crate::engine::{PLAIN_SOFTWARE, StageEngine};
use crate::ledger::RunLedger;
use crate::network::StageNetwork;
use crate::proxy::StageProxy;
use crate::store::StageStore;
use crate::weights::WeightStore;

/// Last octet of the address of all stand-ins; those of daemons start at 1.
const STAND_IN_HOST: u8 = 250;
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size of a stage and the speed of its weight store.
#[derive(Debug, Clone)]
pub struct StagePlan {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of model engines; each starts with one model in memory.
    pub engines: usize,
    /// Number of models in the manifest, named by [`Stage::model_name`].
    pub models: usize,
    /// Whether each engine starts with a copy of every model on its disk.
    pub disk_copies: bool,
    /// Number of loads at a time that the weight store serves at full speed.
    pub full_speed_loads: u32,
    /// Factor by which a load from the weight store takes longer than the manifest
    /// says.
    pub load_slowdown: u32,
    /// Number of backend servers of the plain service.
    pub backend_servers: usize,
    /// Software versions of the engines, which take them in turn.
    pub software: &'static [&'static str],
    /// Lease of the coordinator: minimum time between the orders of two coordinators.
    pub lease: TimeSpan,
    /// Target latency of all routes.
    pub target_latency: TimeSpan,
    /// Tenants of the manifest; without any, requests need no API key.
    pub tenants: Vec<ServedTenant>,
    /// Amount by which a tenant may exceed its quota in a window.
    pub quota_slack: QuotaAmount,
    /// Memory of each daemon's host.
    pub host_memory: MemorySize,
    /// Number of daemons, from the first on, that reach the store without its proxy.
    pub direct_daemons: usize,
}

impl Default for StagePlan {
    fn default() -> Self {
        Self {
            daemons: 3,
            engines: 3,
            models: 8,
            disk_copies: true,
            full_speed_loads: 4,
            load_slowdown: 1,
            backend_servers: 2,
            software: &[PLAIN_SOFTWARE],
            lease: TimeSpan::from_millis(1_000),
            target_latency: TimeSpan::from_millis(500),
            tenants: Vec::new(),
            quota_slack: QuotaAmount(0),
            host_memory: MemorySize::from_mib(260),
            direct_daemons: 0,
        }
    }
}

/// A running deployment; stopped when dropped.
pub struct Stage {
    network: StageNetwork,
    /// The platform's store.
    pub store: Arc<StageStore>,
    /// Proxy through which daemons reach the store, but for [`StagePlan::direct_daemons`].
    pub store_link: StageProxy,
    /// Model engines, then backend servers of the plain service, then the engines that
    /// [`Self::replace_engine`] added.
    pub engines: Vec<StageEngine>,
    /// Proxies through which daemons reach the engines, in the same order.
    pub engine_links: Vec<StageProxy>,
    /// Daemon processes, by number.
    pub daemons: Vec<DaemonProcess>,
    /// Requests and orders that the engines received.
    pub ledger: RunLedger,
    /// Manifest in force; a test that puts a newer one into the store keeps it here.
    pub manifest: ServingManifest,
    weights: WeightStore,
}

impl Stage {
    /// Starts a deployment whose daemons run `program`, and waits until all are
    /// ready. Their settings and logs go into `folder`.
    ///
    /// # Errors
    /// When a part cannot be started, or a daemon is not ready in time.
    pub async fn start(
        program: &Path,
        folder: &Path,
        plan: &StagePlan,
    ) -> Result<Self, StageError> {
        std::fs::create_dir_all(folder)?;
        let network = StageNetwork::allocate();
        let stand_ins = network.address(STAND_IN_HOST);
        let store = Arc::new(StageStore::start(stand_ins).await?);
        let store_link = StageProxy::start(stand_ins, store.address()).await?;
        let manifest = manifest(plan)?;
        store.put_manifest_of(&manifest, &plan.tenants);
        let mut stage = Self {
            network,
            store,
            store_link,
            engines: Vec::new(),
            engine_links: Vec::new(),
            daemons: Vec::new(),
            ledger: RunLedger::default(),
            manifest,
            weights: WeightStore::new(plan.full_speed_loads, plan.load_slowdown),
        };
        for number in 0..plan.engines + plan.backend_servers {
            let service = if number < plan.engines {
                "assistant"
            } else {
                "orders"
            };
            let entry = engine_entry(plan, number, service)?;
            stage.add_engine(entry).await?;
        }
        for number in 0..plan.daemons {
            let ip = network.daemon(number);
            let seeds: Vec<_> = (0..plan.daemons.min(3))
                .map(|number| network.daemon(number))
                .collect();
            let store = if number < plan.direct_daemons {
                stage.store.address()
            } else {
                stage.store_link.address()
            };
            let settings = settings(plan, number, ip, &seeds, store)?;
            stage
                .daemons
                .push(DaemonProcess::start(program, folder, settings)?);
        }
        stage.wait_ready().await?;
        Ok(stage)
    }

    /// Starts a model engine without models in memory or on disk, and drains the
    /// engine with the index `former`.
    ///
    /// # Errors
    /// When the new engine cannot be started.
    pub async fn replace_engine(&mut self, former: usize) -> Result<(), StageError> {
        let number = self.engines.len();
        let plan = StagePlan {
            engines: 0,
            disk_copies: false,
            ..StagePlan::default()
        };
        self.add_engine(engine_entry(&plan, number, "assistant")?)
            .await?;
        self.engines[former].drain(&self.store);
        Ok(())
    }

    async fn add_engine(&mut self, entry: EngineEntry) -> Result<(), StageError> {
        let ip = self.network.address(STAND_IN_HOST);
        let class = self.manifest.engine_class(&entry.service).cloned();
        let (weights, ledger) = (self.weights.clone(), self.ledger.clone());
        let mut engine = StageEngine::start(ip, entry, class, weights, ledger).await?;
        let link = StageProxy::start(ip, engine.address()).await?;
        engine.register(&self.store, &link);
        self.engines.push(engine);
        self.engine_links.push(link);
        Ok(())
    }

    /// Waits until the readiness check of every daemon succeeds.
    ///
    /// # Errors
    /// When a daemon is not ready in time.
    pub async fn wait_ready(&self) -> Result<(), StageError> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            let mut ready = 0;
            for daemon in &self.daemons {
                ready += usize::from(is_ready(daemon.settings().readiness).await);
            }
            if ready == self.daemons.len() {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(StageError::NotReady)
    }

    /// Starts a proxy before the address on which a daemon accepts connections of other
    /// daemons, and names it in the daemon's settings, in force after SIGHUP.
    ///
    /// # Errors
    /// When no port is free or the settings cannot be written.
    pub async fn hide_peers(&self, daemon: usize) -> Result<StageProxy, StageError> {
        let ip = self.network.address(STAND_IN_HOST);
        let daemon = &self.daemons[daemon];
        let link = StageProxy::start(ip, daemon.settings().peers).await?;
        daemon.write_peers(link.address())?;
        Ok(link)
    }

    /// Name of the model with this number; numbers start at 0.
    #[must_use]
    pub fn model_name(number: usize) -> String {
        format!("model{number}")
    }
}

/// Whether the daemon's readiness check succeeds.
async fn is_ready(address: SocketAddr) -> bool {
    let Ok(request) = json_request(Method::GET, address, READINESS_PATH, "") else {
        return false;
    };
    let bounds = CallBounds {
        timeout: TimeSpan::from_millis(500),
        answer_bytes: 1 << 10,
    };
    let reply = HttpClient::new().call(request, bounds).await;
    reply.is_ok_and(|reply| reply.status.is_success())
}

/// Folder under `base` for the settings and logs of the stage of one test.
#[must_use]
pub fn stage_folder(base: &Path, test: &str) -> PathBuf {
    base.join(format!("stage-{test}-{}", std::process::id()))
}
