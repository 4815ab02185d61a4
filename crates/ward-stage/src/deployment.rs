//! The manifest, the engines and the settings of a stage's deployment.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use indexmap::IndexMap;
use ward_adapter::served::CALLER_HOST;
use ward_fleet::{
    CallerLimits, CoreShare, EngineBirth, EngineClass, EngineEntry, HeartbeatCount, HeldModel,
    HostCapacity, HostSettings, LinkRate, ManifestVersion, ModelClass, RequestRate, RouteKind,
    RouteTarget, ServiceClass, ServingBounds, ServingManifest, ServingRoute,
};
use ward_protocol::{MemorySize, ModelName, TimeSpan};

use crate::daemon::StageError;
use crate::engine::{HEARTBEAT_INTERVAL, PLAIN_SOFTWARE};
use crate::stage::{Stage, StagePlan};
use crate::store::STORE_RECORD;

/// Ports of every daemon; the daemons differ in their loopback addresses.
const CALLERS_PORT: u16 = 8101;
const READINESS_PORT: u16 = 8102;
const DIRECTORY_PORT: u16 = 8103;
const PEERS_PORT: u16 = 8104;
/// The platform's settings place the metrics on the port after the one for other daemons.
const METRICS_PORT: u16 = PEERS_PORT + 1;
const MODEL_WEIGHTS_GIB: u64 = 60;
const ENGINE_MEMORY_GIB: u64 = 200;

pub(crate) fn engine_entry(
    plan: &StagePlan,
    number: usize,
    service: &str,
) -> Result<EngineEntry, StageError> {
    let models: Result<Vec<ModelName>, _> = (0..plan.models)
        .map(|model| Stage::model_name(model).parse())
        .collect();
    let models = models?;
    let first_model = models.get(number % plan.models.max(1)).cloned();
    let held = first_model
        .filter(|_| number < plan.engines)
        .map(|model| HeldModel {
            model,
            adapters: Vec::new(),
        });
    let mut software = plan.software.iter().cycle();
    let software = software.nth(number).unwrap_or(&PLAIN_SOFTWARE);
    Ok(EngineEntry {
        id: format!("i-{number}").parse()?,
        service: service.parse()?,
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
        zone: "north".parse()?,
        software: software.parse()?,
        slots: 12,
        draining: false,
        leaves_in: None,
        birth: Some(EngineBirth(1)),
        heartbeat: HeartbeatCount(0),
        models: held.into_iter().collect(),
        in_memory: Vec::new(),
        on_disk: if plan.disk_copies { models } else { Vec::new() },
    })
}

pub(crate) fn manifest(plan: &StagePlan) -> Result<ServingManifest, StageError> {
    let mut models = IndexMap::new();
    for number in 0..plan.models {
        let class = ModelClass {
            weights: MemorySize::from_gib(MODEL_WEIGHTS_GIB),
            adapter_weights: MemorySize::from_mib(64),
            store_load: TimeSpan::from_millis(900),
            disk_load: TimeSpan::from_millis(100),
            memory_load: TimeSpan::from_millis(50),
        };
        models.insert(Stage::model_name(number).parse()?, class);
    }
    let engine = EngineClass {
        weight_memory: MemorySize::from_gib(ENGINE_MEMORY_GIB),
        adapter_slots: 4,
        loads_per_second: 3.5,
        models,
    };
    let mut services = IndexMap::new();
    services.insert(
        "assistant".parse()?,
        ServiceClass {
            connection_cap: 300,
            engine: Some(engine),
        },
    );
    services.insert(
        "orders".parse()?,
        ServiceClass {
            connection_cap: 300,
            engine: None,
        },
    );
    Ok(ServingManifest {
        version: ManifestVersion(1),
        routes: vec![
            route(plan, "/quick/", "assistant", RouteKind::Stream, 1)?,
            route(plan, "/quote/", "assistant", RouteKind::ResumableStream, 3)?,
            route(plan, "/book/", "orders", RouteKind::Unsafe, 1)?,
            route(plan, "/stock/", "orders", RouteKind::Safe, 2)?,
        ],
        services,
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 64 << 10,
            header_timeout: TimeSpan::from_secs(3),
            idle_timeout: TimeSpan::from_secs(10),
        },
        tenants: None,
    })
}

fn route(
    plan: &StagePlan,
    prefix: &str,
    service: &str,
    kind: RouteKind,
    attempts: u32,
) -> Result<ServingRoute, StageError> {
    Ok(ServingRoute {
        name: prefix.trim_matches('/').to_owned(),
        host: CALLER_HOST.to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![RouteTarget {
            service: service.parse()?,
            weight: 1.0,
        }],
        kind,
        timeout: TimeSpan::from_millis(2_500),
        target_latency: plan.target_latency,
        event_pause: TimeSpan::from_millis(200),
        attempts,
        priority: 0,
        is_public: false,
    })
}

pub(crate) fn settings(
    plan: &StagePlan,
    number: usize,
    ip: IpAddr,
    seeds: &[IpAddr],
    store: SocketAddr,
) -> Result<HostSettings, StageError> {
    let on_port = |port| SocketAddr::new(ip, port);
    let seeds = seeds
        .iter()
        .map(|ip| SocketAddr::new(*ip, PEERS_PORT))
        .collect();
    Ok(HostSettings {
        daemon: format!("host-{number}").parse()?,
        zone: "north".parse()?,
        callers: on_port(CALLERS_PORT),
        readiness: on_port(READINESS_PORT),
        directory: on_port(DIRECTORY_PORT),
        peers: on_port(PEERS_PORT),
        metrics: on_port(METRICS_PORT),
        seeds,
        store,
        engine_heartbeat: HEARTBEAT_INTERVAL.into(),
        capacity: HostCapacity {
            cores: CoreShare(500),
            link: LinkRate(1_000_000),
            memory: plan.host_memory,
            descriptors: 1_000,
        },
        defers_by_cost: true,
        bounds: ServingBounds {
            stop_grace: TimeSpan::from_secs(4),
            lease: plan.lease,
            retry_ratio: 0.2,
            retry_slack: 160.0,
            retry_window: TimeSpan::from_secs(10),
            load_window: TimeSpan::from_secs(5),
            store_writes: RequestRate(400_000),
            store_record: STORE_RECORD,
            manifest_change: TimeSpan::from_secs(2),
            max_ttl: TimeSpan::from_secs(5),
            quota_window: TimeSpan::from_secs(8),
            quota_excess: 0.0,
            quota_slack: plan.quota_slack,
        },
    })
}
