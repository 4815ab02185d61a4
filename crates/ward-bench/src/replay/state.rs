//! Engines, replicas and queues of a replay.

use std::collections::VecDeque;

use ward_policy::{EngineView, GapHistory, HeldReplica};
use ward_protocol::{
    BackendId, CacheTier, EngineRole, MemorySize, MonoTime, PriorityLevel, ReservationId, TimeSpan,
    ZoneName,
};

use super::outcome::WaitCause;
use super::trace::RequestTrace;
use super::workload::FleetShape;

/// Phase of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReplicaPhase {
    Loading,
    Ready,
    Unloaded,
}

/// A replica on an engine.
#[derive(Debug, Clone)]
pub(super) struct ReplicaState {
    pub(super) model: usize,
    pub(super) engine: usize,
    pub(super) phase: ReplicaPhase,
    pub(super) cause: WaitCause,
    /// Number of running requests, including those of the replica's adapters.
    pub(super) running: u32,
    /// Start of the replica's idle time; valid while no request runs.
    pub(super) idle_since: MonoTime,
    /// Incremented whenever a scheduled `KeepCheck` becomes stale.
    pub(super) generation: u32,
    /// Whether the replica was preloaded and no request has used it yet.
    pub(super) unused: bool,
    /// Time that the engine needs to leave standby before the load; 0 if the engine is awake.
    pub(super) wake_time: TimeSpan,
}

/// A waiting request.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedRequest {
    pub(super) request: usize,
    pub(super) cause: Option<WaitCause>,
}

/// A model or adapter.
#[derive(Debug, Clone, Default)]
pub(super) struct ModelState {
    pub(super) history: GapHistory,
    pub(super) queue: VecDeque<QueuedRequest>,
    /// Replicas that are loading or ready.
    pub(super) replicas: Vec<usize>,
    /// Number of requests so far, including those of the model's adapters.
    pub(super) arrivals: u32,
    /// Arrival times of the whole week, including those of the model's adapters; only for
    /// clairvoyant rules.
    pub(super) arrival_times: Vec<MonoTime>,
}

/// What decides whether a replica may be evicted.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReplicaUse {
    /// Whether requests run on the replica, or wait for it or one of its adapters.
    pub(super) busy: bool,
    /// Whether the plan sheet requires the replica to be ready.
    pub(super) wanted: bool,
}

/// An engine.
#[derive(Debug, Clone)]
pub(super) struct EngineState {
    pub(super) backend: BackendId,
    pub(super) zone: ZoneName,
    pub(super) role: EngineRole,
    pub(super) memory: MemorySize,
    pub(super) replicas: Vec<usize>,
    pub(super) running: u32,
    /// Start of the engine's idle time; valid while the engine is awake and no request runs.
    pub(super) idle_since: MonoTime,
    /// Incremented whenever a scheduled `EmptyCheck` becomes stale.
    pub(super) generation: u32,
    /// Incremented whenever a scheduled `HoldCheck` becomes stale.
    pub(super) hold_generation: u32,
    /// Fastest tier in which the engine's host caches each model's checkpoint, by model index.
    pub(super) tiers: Vec<CacheTier>,
    /// Models whose checkpoints loads have put on the host's disk, least recently loaded first.
    pub(super) disk_models: VecDeque<usize>,
    /// Maximum number of checkpoints that loads keep on the disk.
    pub(super) max_disk_models: usize,
}

/// Engines of a fleet before the first request: empty and on standby.
pub(super) fn fleet_engines(
    shape: &FleetShape,
    trace: &RequestTrace,
) -> Result<Vec<EngineState>, ward_protocol::id::IdError> {
    let zones = shape.zones.iter().cycle().take(shape.engines);
    zones
        .enumerate()
        .map(|(index, zone)| {
            let model_tier = |model: &super::trace::TraceModel| model.tiers[index];
            Ok(EngineState {
                backend: format!("engine-{index:03}").parse()?,
                zone: zone.clone(),
                role: EngineRole::Standby,
                memory: shape.memory,
                replicas: Vec::new(),
                running: 0,
                idle_since: MonoTime::default(),
                generation: 0,
                hold_generation: 0,
                tiers: trace.models.iter().map(model_tier).collect(),
                disk_models: VecDeque::new(),
                max_disk_models: shape.disk_checkpoints,
            })
        })
        .collect()
}

/// Mutable state of a replay.
#[derive(Debug)]
pub(super) struct ReplayState {
    pub(super) now: MonoTime,
    pub(super) models: Vec<ModelState>,
    pub(super) replicas: Vec<ReplicaState>,
    pub(super) engines: Vec<EngineState>,
}

impl ReplayState {
    /// Replicas of a model in a phase.
    pub(super) fn replicas_in_phase(
        &self,
        model: usize,
        phase: ReplicaPhase,
    ) -> impl Iterator<Item = usize> + '_ {
        let replicas = self.models[model].replicas.iter().copied();
        replicas.filter(move |replica| self.replicas[*replica].phase == phase)
    }

    /// Views of all engines for the placement of a model.
    pub(super) fn engine_views(
        &self,
        trace: &RequestTrace,
        model: usize,
        replica_use: impl Fn(usize) -> ReplicaUse,
    ) -> Vec<EngineView> {
        self.engines
            .iter()
            .map(|engine| EngineView {
                backend: engine.backend.clone(),
                zone: engine.zone.clone(),
                role: engine.role,
                memory: engine.memory,
                counted: self.counted_memory(trace, engine),
                held: engine
                    .replicas
                    .iter()
                    .map(|replica| self.held_replica(trace, *replica, replica_use(*replica)))
                    .collect(),
                tier: engine.tiers[model],
                load: engine.running,
            })
            .collect()
    }

    /// Memory that an engine's replicas take.
    pub(super) fn counted_memory(&self, trace: &RequestTrace, engine: &EngineState) -> MemorySize {
        let memory = |replica: &usize| trace.models[self.replicas[*replica].model].memory;
        engine.replicas.iter().map(memory).sum()
    }

    fn held_replica(
        &self,
        trace: &RequestTrace,
        replica: usize,
        replica_use: ReplicaUse,
    ) -> HeldReplica {
        let state = &self.replicas[replica];
        let model = &trace.models[state.model];
        HeldReplica {
            reservation: ReservationId(replica as u64),
            key: model.key.clone(),
            memory: model.memory,
            // A preloaded replica that no request has used yet must never block a load for a
            // request.
            priority: if state.unused {
                PriorityLevel::LAST
            } else {
                model.priority
            },
            idle: (!replica_use.busy).then(|| self.now.since(state.idle_since)),
            wanted: replica_use.wanted,
            ready: state.phase == ReplicaPhase::Ready,
        }
    }
}
