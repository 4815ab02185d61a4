//! Progress of the plan in force, row by row.

use ward_control::ControlCore;
use ward_operator::{OperatorError, PlanStatusAnswer, RowPhase, RowStatus, ShortReason};
use ward_protocol::{
    BackendKind, MemorySize, PlanRow, ReplicaKey, RoutingView, RowTarget, ServiceName, ViewMode,
    WallTime,
};
use ward_state::{BackendState, ClusterState};

use super::calls::OperatorParts;
use super::fleet::daemon_items;

const MILLIS_PER_MINUTE: u64 = 60_000;
const MINUTES_PER_DAY: u64 = 24 * 60;

pub(super) async fn status(parts: OperatorParts) -> Result<PlanStatusAnswer, OperatorError> {
    let levels = parts.levels().await?;
    let now = WallTime::now();
    let mut answer = parts.query(move |core| plan_status(core, now)).await?;
    answer.daemons = daemon_items(levels);
    Ok(answer)
}

fn plan_status(core: &mut ControlCore, now: WallTime) -> PlanStatusAnswer {
    let view = core.view();
    let state = core.state();
    let rows = state.content().values();
    PlanStatusAnswer {
        accepted: state.plans().head(),
        adopted: state.adopted(),
        daemons: Vec::new(),
        rows: rows.map(|row| row_status(row, state, &view, now)).collect(),
    }
}

fn row_status(row: &PlanRow, state: &ClusterState, view: &RoutingView, now: WallTime) -> RowStatus {
    let wanted = required_ready(row, now);
    let (ready, loading) = match &row.target {
        RowTarget::Replica(key) => (
            view.ready.get(key).map_or(0, Vec::len),
            view.loading.get(key).map_or(0, Vec::len),
        ),
        RowTarget::Service(name) => (service_backend_count(view, name), 0),
    };
    let phase = match &row.target {
        RowTarget::Service(_) if ready > 0 => RowPhase::Ready,
        RowTarget::Replica(_) if ready >= usize::from(wanted) => RowPhase::Ready,
        RowTarget::Replica(_) if ready + loading >= usize::from(wanted) => RowPhase::Loading,
        RowTarget::Replica(_) | RowTarget::Service(_) => RowPhase::Short,
    };
    let reason = (phase == RowPhase::Short).then(|| short_reason(row, state, view));
    RowStatus {
        target: row.target.clone(),
        replicas: row.replicas,
        wanted,
        ready: u16::try_from(ready).unwrap_or(u16::MAX),
        loading: u16::try_from(loading).unwrap_or(u16::MAX),
        phase,
        reason,
    }
}

fn service_backend_count(view: &RoutingView, name: &ServiceName) -> usize {
    view.services
        .get(name)
        .map_or(0, |entry| entry.backends.len())
}

/// Number of ready replicas that a row asks for at this time of the day in UTC.
fn required_ready(row: &PlanRow, now: WallTime) -> u16 {
    let minute = now.0 / MILLIS_PER_MINUTE % MINUTES_PER_DAY;
    match row.ready_from {
        Some(from) if minute < u64::from(from.minutes()) => 0,
        Some(_) | None => row.ready,
    }
}

fn short_reason(row: &PlanRow, state: &ClusterState, view: &RoutingView) -> ShortReason {
    let key = match &row.target {
        RowTarget::Service(_) => return ShortReason::NoBackend,
        RowTarget::Replica(key) => key,
    };
    if view.mode != ViewMode::Full {
        return ShortReason::LogDown;
    }
    if key.is_adapter() && !view.ready.contains_key(&key.base()) {
        return ShortReason::BaseMissing;
    }
    let mut engines = state
        .backends()
        .values()
        .filter(|backend| row_allows(row, backend))
        .peekable();
    if engines.peek().is_none() {
        return ShortReason::NoEngine;
    }
    let fits = |backend: &BackendState| has_memory_for(backend, key, row.memory);
    if engines.any(fits) {
        ShortReason::Waiting
    } else {
        ShortReason::NoMemory
    }
}

fn row_allows(row: &PlanRow, backend: &BackendState) -> bool {
    let zone = row.zones.is_empty() || row.zones.contains(&backend.info.zone);
    let role = row.roles.is_empty() || row.roles.contains(&backend.effective_role());
    let engine = backend.info.kind == BackendKind::Engine;
    engine && zone && role && !backend.leaving
}

fn has_memory_for(backend: &BackendState, key: &ReplicaKey, memory: MemorySize) -> bool {
    // An adapter is loaded into the engine of its base model; placement checks whether
    // there is memory left for it.
    key.is_adapter() || backend.free() >= memory
}
