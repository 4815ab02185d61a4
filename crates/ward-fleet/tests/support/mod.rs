//! Engines, models and requests for tests.

#![allow(
    dead_code,
    clippy::unwrap_used,
    reason = "each test file uses some of it, and a test may panic"
)]

use indexmap::IndexMap;
use ward_fleet::{
    CallerLimits, CoreShare, EngineBirth, EngineClass, EngineEntry, EngineInfo, FleetView,
    HeartbeatCount, HeldModel, HostCapacity, HostMember, LinkRate, LoadReport, ManifestVersion,
    ModelClass, QuotaAmount, RequestRate, RouteKind, RouteTarget, RunningCount, ServiceClass,
    ServingBounds, ServingManifest, ServingRoute, StoreEra, StorePosition, WaitingCount,
};
use ward_protocol::{
    BackendId, FenceNumber, MemorySize, ModelName, MonoTime, ServiceName, TimeSpan,
};

pub(crate) fn name<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

pub(crate) fn service() -> ServiceName {
    name("assistant")
}

pub(crate) fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

pub(crate) fn member(number: u8, zone: &str, cores: u32) -> HostMember {
    HostMember {
        daemon: name(&format!("host-{number}")),
        zone: name(zone),
        callers: format!("10.0.0.{number}:80").parse().unwrap(),
        peers: format!("10.0.0.{number}:81").parse().unwrap(),
        capacity: HostCapacity {
            cores: CoreShare(cores),
            link: LinkRate(1_000_000),
            memory: MemorySize::from_mib(260),
            descriptors: 4_000,
        },
    }
}

pub(crate) fn empty_view() -> FleetView {
    FleetView {
        term: FenceNumber(1),
        renewal: StorePosition::default(),
        complete: false,
        engines: Vec::new(),
        gone: Vec::new(),
        loads: None,
        slow: Vec::new(),
        load_concurrency_limit: 1,
        joined: Vec::new(),
        left: Vec::new(),
        engines_cursor: None,
        store_era: StoreEra(0),
        manifest: ManifestVersion(1),
        store_age: TimeSpan::ZERO,
        store_outage: false,
        crashes: Vec::new(),
        cleared_parts: Vec::new(),
        cleared: Vec::new(),
        versions: Vec::new(),
        limits: Vec::new(),
    }
}

pub(crate) fn held(model: &str, adapters: &[&str]) -> HeldModel {
    HeldModel {
        model: name(model),
        adapters: adapters.iter().map(|adapter| name(adapter)).collect(),
    }
}

pub(crate) fn entry(id: &str, models: &[&str], on_disk: &[&str]) -> EngineEntry {
    EngineEntry {
        id: name(id),
        service: service(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: name("north"),
        software: name("v1"),
        slots: 12,
        draining: false,
        leaves_in: None,
        birth: Some(EngineBirth(1)),
        heartbeat: HeartbeatCount(1),
        models: models.iter().map(|model| held(model, &[])).collect(),
        in_memory: Vec::new(),
        on_disk: on_disk.iter().map(|model| name(model)).collect(),
    }
}

pub(crate) fn info(id: &str, models: &[&str]) -> EngineInfo {
    EngineInfo::from(&entry(id, models, &[]))
}

pub(crate) fn model_class(gigabytes: u64) -> ModelClass {
    ModelClass {
        weights: MemorySize::from_gib(gigabytes),
        adapter_weights: MemorySize::from_mib(64),
        store_load: TimeSpan::from_secs(6),
        disk_load: TimeSpan::from_millis(800),
        memory_load: TimeSpan::from_millis(400),
    }
}

/// A manifest with one route, and models of 60 GiB for engines of 200 GiB.
pub(crate) fn manifest(models: &[&str]) -> ServingManifest {
    let models: IndexMap<ModelName, ModelClass> = models
        .iter()
        .map(|model| (name(model), model_class(60)))
        .collect();
    let engine = EngineClass {
        weight_memory: MemorySize::from_gib(200),
        adapter_slots: 2,
        loads_per_second: 3.5,
        models,
    };
    let class = ServiceClass {
        connection_cap: 100,
        engine: Some(engine),
    };
    ServingManifest {
        version: ManifestVersion(1),
        routes: vec![route("/a/")],
        services: [(service(), class)].into_iter().collect(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout: TimeSpan::from_secs(3),
            idle_timeout: TimeSpan::from_secs(15),
        },
        tenants: None,
    }
}

pub(crate) fn route(prefix: &str) -> ServingRoute {
    ServingRoute {
        name: prefix.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![RouteTarget {
            service: service(),
            weight: 1.0,
        }],
        kind: RouteKind::Safe,
        timeout: TimeSpan::from_secs(5),
        target_latency: TimeSpan::from_millis(500),
        event_pause: TimeSpan::from_millis(600),
        attempts: 2,
        priority: 0,
        is_public: false,
    }
}

pub(crate) fn bounds() -> ServingBounds {
    ServingBounds {
        stop_grace: TimeSpan::from_secs(8),
        lease: TimeSpan::from_secs(3),
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window: TimeSpan::from_secs(10),
        load_window: TimeSpan::from_secs(5),
        store_writes: RequestRate(400_000),
        store_record: MemorySize::from_bytes(256 << 10),
        manifest_change: TimeSpan::from_secs(2),
        max_ttl: TimeSpan::from_secs(5),
        quota_window: TimeSpan::from_secs(8),
        quota_excess: 0.0,
        quota_slack: QuotaAmount(0),
    }
}

pub(crate) fn waiting(model: &str, adapter: Option<&str>, count: u32) -> WaitingCount {
    WaitingCount {
        service: service(),
        model: name(model),
        adapter: adapter.map(name),
        software: None,
        count,
    }
}

pub(crate) fn running(engine: &str, model: &str, count: u32) -> RunningCount {
    RunningCount {
        engine: name(engine),
        model: Some(name(model)),
        adapter: None,
        count,
    }
}

pub(crate) fn report(running: Vec<RunningCount>, waiting: Vec<WaitingCount>) -> LoadReport {
    LoadReport {
        running,
        waiting,
        ..LoadReport::default()
    }
}

pub(crate) fn id(text: &str) -> BackendId {
    name(text)
}
