//! Builds the routing view that traffic threads use.

use std::sync::Arc;

use indexmap::IndexMap;
use ward_protocol::{
    BackendRoute, EntryAddress, LoadingReplica, ModelEntry, ModelName, PlanCatalog, PlanRevision,
    ReadyReplica, ReplicaKey, RoutingView, RowTarget, ServiceEntry, ServiceName,
};
use ward_state::{PlanContent, ReservationPhase};

use crate::core::ControlCore;

/// The plan catalog, rebuilt only when another revision is adopted, and whether the
/// last view is stale.
#[derive(Debug, Default)]
pub(crate) struct ViewCache {
    catalog: Option<Arc<PlanCatalog>>,
    /// Whether a status with new load figures arrived after the last view was built.
    stale: bool,
}

impl ViewCache {
    /// Makes the next view build the catalog again.
    pub(crate) fn reset(&mut self) {
        self.catalog = None;
    }

    pub(crate) fn mark_stale(&mut self) {
        self.stale = true;
    }

    pub(crate) const fn is_stale(&self) -> bool {
        self.stale
    }
}

fn build_catalog(revision: PlanRevision, content: &PlanContent) -> PlanCatalog {
    let mut models: IndexMap<ModelName, ModelEntry> = IndexMap::new();
    for (target, row) in content {
        let RowTarget::Replica(key) = target else {
            continue;
        };
        if key.is_adapter() || row.replicas == 0 {
            continue;
        }
        let entry = models.entry(key.model.clone()).or_default();
        entry.versions.push(key.version.clone());
    }
    PlanCatalog {
        revision,
        rows: content.clone(),
        models,
    }
}

impl ControlCore {
    pub(crate) fn build_view(&mut self) -> RoutingView {
        self.views.stale = false;
        RoutingView {
            mode: self.mode(),
            applied: self.state.applied(),
            catalog: self.catalog(),
            ready: self.ready_replicas(),
            loading: self.loading_replicas(),
            estimates: self.models.estimates.clone(),
            backends: self.backend_routes(),
            services: self.service_entries(),
            entries: self.entry_addresses(),
            suspects: self.suspect_counts(),
        }
    }

    fn catalog(&mut self) -> Arc<PlanCatalog> {
        let revision = self.state.adopted();
        if let Some(catalog) = &self.views.catalog
            && catalog.revision == revision
        {
            return Arc::clone(catalog);
        }
        let catalog = Arc::new(build_catalog(revision, self.state.content()));
        self.views.catalog = Some(Arc::clone(&catalog));
        catalog
    }

    fn ready_replicas(&self) -> IndexMap<ReplicaKey, Vec<ReadyReplica>> {
        let mut ready: IndexMap<_, Vec<_>> = IndexMap::new();
        for (id, state) in self.state.reservations() {
            if !state.is_serving() || self.is_leaving(&state.backend) {
                continue;
            }
            let replica = ReadyReplica {
                reservation: *id,
                backend: state.backend.clone(),
            };
            ready.entry(state.key.clone()).or_default().push(replica);
        }
        ready
    }

    fn loading_replicas(&self) -> IndexMap<ReplicaKey, Vec<LoadingReplica>> {
        let mut loading: IndexMap<_, Vec<_>> = IndexMap::new();
        for (id, state) in self.state.reservations() {
            let not_ready = matches!(
                state.phase,
                ReservationPhase::Waiting | ReservationPhase::Loading
            );
            if !not_ready || state.draining {
                continue;
            }
            let replica = LoadingReplica {
                reservation: *id,
                backend: state.backend.clone(),
                expected: self.wall + self.remaining_load_time(*id, &state.key),
            };
            loading.entry(state.key.clone()).or_default().push(replica);
        }
        loading
    }

    fn backend_routes(&self) -> IndexMap<ward_protocol::BackendId, BackendRoute> {
        let route = |(backend, state): (&ward_protocol::BackendId, &ward_state::BackendState)| {
            let engine = self.engines.owned.get(backend);
            let status = engine.and_then(|engine| engine.status.as_ref());
            let route = BackendRoute {
                address: state.info.address,
                zone: state.info.zone.clone(),
                leaving: self.is_leaving(backend),
                load: status.map_or(0, |(_, status)| status.running + status.queued),
            };
            (backend.clone(), route)
        };
        self.state.backends().iter().map(route).collect()
    }

    fn service_entries(&self) -> IndexMap<ServiceName, ServiceEntry> {
        let mut services: IndexMap<_, ServiceEntry> = IndexMap::new();
        for target in self.state.content().keys() {
            if let RowTarget::Service(name) = target {
                let backends = Vec::new();
                services.insert(name.clone(), ServiceEntry { backends });
            }
        }
        for (backend, state) in self.state.backends() {
            for name in &state.info.services {
                if let Some(entry) = services.get_mut(name) {
                    entry.backends.push(backend.clone());
                }
            }
        }
        services
    }

    fn entry_addresses(&self) -> Vec<EntryAddress> {
        let members = self.state.members().values();
        let mut entries: Vec<_> = members
            .map(|member| EntryAddress {
                daemon: member.info.daemon.clone(),
                zone: member.info.zone.clone(),
                address: member.info.callers,
            })
            .collect();
        entries.sort_by(|left, right| left.daemon.cmp(&right.daemon));
        entries
    }

    /// Number of crashes of each suspected request that still counts.
    fn suspect_counts(&self) -> IndexMap<ward_protocol::RequestFingerprint, u32> {
        let suspects = self.state.suspects().iter();
        suspects
            .filter(|(_, entry)| entry.until > self.wall)
            .map(|(fingerprint, entry)| {
                let crashes = u32::try_from(entry.crashes.len()).unwrap_or(u32::MAX);
                (*fingerprint, crashes)
            })
            .collect()
    }
}
