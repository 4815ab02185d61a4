//! Lists of daemons, backend servers and models, and the full dump of the state.

use serde_json::json;
use ward_control::ControlCore;
use ward_operator::{
    BackendItem, DaemonItem, DumpAnswer, HostsAnswer, ModelItem, ModelsAnswer, OperatorError,
};
use ward_protocol::{
    BackendId, BackendKind, PlanRow, ReplicaKey, RoutingView, RowTarget, TimeSpan,
};
use ward_state::BackendState;

use super::calls::{LEVEL_TIMEOUT, MemberLevel, OperatorParts};

pub(super) async fn hosts(parts: OperatorParts) -> Result<HostsAnswer, OperatorError> {
    let levels = parts.levels().await?;
    let backends = parts.query(backend_items).await?;
    Ok(HostsAnswer {
        daemons: daemon_items(levels),
        backends,
    })
}

pub(super) fn daemon_items(levels: Vec<MemberLevel>) -> Vec<DaemonItem> {
    let items = levels.into_iter().map(|level| DaemonItem {
        daemon: level.member.daemon,
        zone: level.member.zone,
        callers: level.member.callers,
        operators: level.member.operators,
        applied: level.report.map(|report| report.applied),
        adopted: level.report.map(|report| report.adopted),
        silent: level.report.map_or(LEVEL_TIMEOUT, |_| TimeSpan::ZERO),
    });
    items.collect()
}

fn backend_items(core: &mut ControlCore) -> Vec<BackendItem> {
    let view = core.view();
    let backends = core.state().backends().values();
    backends
        .map(|backend| backend_item(backend, &view))
        .collect()
}

fn backend_item(backend: &BackendState, view: &RoutingView) -> BackendItem {
    let info = &backend.info;
    let is_engine = info.kind == BackendKind::Engine;
    BackendItem {
        backend: info.backend.clone(),
        kind: info.kind,
        zone: info.zone.clone(),
        address: info.address,
        role: is_engine.then(|| backend.effective_role()),
        fencing: info.fencing,
        leaving: backend.leaving,
        owner: backend.owner.clone().filter(|_| is_engine),
        memory: info.memory,
        counted: backend.reserved_memory,
        replicas: u32::try_from(backend.reservations.len()).unwrap_or(u32::MAX),
        load: view
            .backends
            .get(&info.backend)
            .map_or(0, |route| route.load),
    }
}

pub(super) async fn models(parts: OperatorParts) -> Result<ModelsAnswer, OperatorError> {
    parts.query(model_items).await
}

fn model_items(core: &mut ControlCore) -> ModelsAnswer {
    let view = core.view();
    let rows = core.state().content().values();
    let models = rows.filter_map(|row| model_item(row, &view));
    ModelsAnswer {
        models: models.collect(),
    }
}

fn model_item(row: &PlanRow, view: &RoutingView) -> Option<ModelItem> {
    let RowTarget::Replica(key) = &row.target else {
        return None;
    };
    Some(ModelItem {
        key: key.clone(),
        priority: row.priority,
        memory: row.memory,
        replicas: row.replicas,
        ready: ready_backends(view, key),
        loading: loading_backends(view, key),
        waiting: 0,
    })
}

fn ready_backends(view: &RoutingView, key: &ReplicaKey) -> Vec<BackendId> {
    let replicas = view.ready.get(key).into_iter().flatten();
    replicas.map(|replica| replica.backend.clone()).collect()
}

fn loading_backends(view: &RoutingView, key: &ReplicaKey) -> Vec<BackendId> {
    let replicas = view.loading.get(key).into_iter().flatten();
    replicas.map(|replica| replica.backend.clone()).collect()
}

pub(super) async fn dump(parts: OperatorParts) -> Result<DumpAnswer, OperatorError> {
    let requests = (parts.requests)();
    let control = parts
        .query(|core| serde_json::to_value(core.dump()).unwrap_or_default())
        .await?;
    Ok(DumpAnswer(json!({
        "daemon": parts.daemon,
        "control": control,
        "view": *parts.control.view(),
        "requests": requests,
    })))
}
