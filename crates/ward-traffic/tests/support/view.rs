//! Builds routing views for tests.

use super::backend::FakeBackend;
use std::net::SocketAddr;
use std::sync::Arc;

use ward_protocol::{
    BackendId, BackendRoute, EntryAddress, LoadEstimate, LoadingReplica, MemorySize, ModelEntry,
    PlanCatalog, PlanRow, PriorityLevel, ReadyReplica, ReplicaKey, ReservationId, RoutingView,
    RowTarget, ServiceEntry, TimeSpan, ViewMode, WallTime,
};

/// Builds a view step by step.
#[derive(Clone, Default)]
pub struct ViewBuilder {
    pub view: RoutingView,
}

impl ViewBuilder {
    pub fn new() -> Self {
        let mut view = RoutingView {
            mode: ViewMode::Full,
            ..RoutingView::default()
        };
        view.entries.push(EntryAddress {
            daemon: "d1".parse().unwrap(),
            zone: "a".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
        });
        Self { view }
    }

    /// A view with a repeatable row `quotes@v1` and a ready replica on each engine; the
    /// engines are named `e0`, `e1` and so on.
    pub fn quotes_on(engines: &[&FakeBackend]) -> Self {
        let view = Self::new().row("quotes@v1", 3, true);
        engines
            .iter()
            .enumerate()
            .fold(view, |view, (index, engine)| {
                let name = format!("e{index}");
                view.backend(&name, engine.address)
                    .ready("quotes@v1", &name)
            })
    }

    pub fn row(mut self, target: &str, replicas: u16, repeatable: bool) -> Self {
        let target: RowTarget = target.parse().unwrap();
        let mut catalog = PlanCatalog::clone(&self.view.catalog);
        if let RowTarget::Replica(key) = &target
            && !key.is_adapter()
        {
            let entry: &mut ModelEntry = catalog.models.entry(key.model.clone()).or_default();
            if !entry.versions.contains(&key.version) {
                entry.versions.push(key.version.clone());
            }
        }
        let row = PlanRow {
            target: target.clone(),
            zones: Vec::new(),
            roles: Vec::new(),
            replicas,
            ready: 0,
            ready_from: None,
            priority: PriorityLevel::default(),
            memory: MemorySize::from_gib(1),
            repeatable,
        };
        catalog.rows.insert(target, Arc::new(row));
        self.view.catalog = Arc::new(catalog);
        self
    }

    pub fn without_row(mut self, target: &str) -> Self {
        let mut catalog = PlanCatalog::clone(&self.view.catalog);
        catalog
            .rows
            .shift_remove(&target.parse::<RowTarget>().unwrap());
        self.view.catalog = Arc::new(catalog);
        self
    }

    pub fn backend(mut self, name: &str, address: SocketAddr) -> Self {
        let route = BackendRoute {
            address,
            zone: "a".parse().unwrap(),
            leaving: false,
            load: 0,
        };
        self.view.backends.insert(name.parse().unwrap(), route);
        self
    }

    pub fn leaving(mut self, name: &str) -> Self {
        self.view
            .backends
            .get_mut(&name.parse::<BackendId>().unwrap())
            .unwrap()
            .leaving = true;
        self
    }

    pub fn ready(mut self, key: &str, backend: &str) -> Self {
        let key: ReplicaKey = key.parse().unwrap();
        self.view.loading.shift_remove(&key);
        let replicas = self.view.ready.entry(key).or_default();
        replicas.push(ReadyReplica {
            reservation: ReservationId(replicas.len() as u64 + 1),
            backend: backend.parse().unwrap(),
        });
        self
    }

    pub fn loading(mut self, key: &str, backend: &str, expected: TimeSpan) -> Self {
        let replica = LoadingReplica {
            reservation: ReservationId(9),
            backend: backend.parse().unwrap(),
            expected: WallTime::now() + expected,
        };
        self.view
            .loading
            .insert(key.parse().unwrap(), vec![replica]);
        self
    }

    pub fn estimate(mut self, key: &str, start: TimeSpan, blocked: bool) -> Self {
        let estimate = LoadEstimate {
            start,
            blocked,
            retry_after: TimeSpan::from_secs(7),
        };
        self.view.estimates.insert(key.parse().unwrap(), estimate);
        self
    }

    pub fn service(mut self, name: &str, backends: &[&str]) -> Self {
        let entry = ServiceEntry {
            backends: backends.iter().map(|name| name.parse().unwrap()).collect(),
        };
        self.view.services.insert(name.parse().unwrap(), entry);
        self
    }

    pub fn mode(mut self, mode: ViewMode) -> Self {
        self.view.mode = mode;
        self
    }

    pub fn build(&self) -> RoutingView {
        self.view.clone()
    }
}
