//! Promises to the users (invariants) that are checked after every event.

use std::fmt;

use indexmap::IndexMap;
use ward_protocol::{
    BackendId, LogOffset, MemorySize, PlanRevision, ReplicaKey, ReservationId, ResidentPhase,
};
use ward_state::ReservationPhase;

use crate::engine::FakeEngine;
use crate::log::FakeLog;

/// A promise to the users, checked as an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PromiseKind {
    /// There are no more replicas of a key than the plan allows.
    Replicas,
    /// No engine's memory is overcommitted.
    Memory,
    /// Every loaded replica has a reservation.
    Counted,
    /// No load starts at the weight store before it was admitted.
    Admitted,
    /// The adopted plan revision never decreases on a daemon.
    Revision,
    /// An engine gets no load later than a few seconds after the reclaim of its host.
    Leaving,
    /// Daemons that applied the same offset have the same state.
    Agreement,
    /// Planned and requested replicas become ready after all faults have ended.
    Liveness,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromiseBreach {
    /// The promise that was broken.
    pub kind: PromiseKind,
    /// True time of the event in microseconds.
    pub at: u64,
    /// Observed values that break the promise.
    pub detail: String,
}

impl fmt::Display for PromiseBreach {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.at / 1_000;
        write!(formatter, "{:?} at {millis} ms: {}", self.kind, self.detail)
    }
}

/// The plan revision in force and the offset of its `Adopt` record.
#[derive(Debug, Default)]
pub struct AdoptionTracker {
    revision: PlanRevision,
    adopted_at: LogOffset,
}

impl AdoptionTracker {
    /// Updates the revision in force and its offset after an append.
    pub fn update(&mut self, log: &FakeLog) {
        if log.reference.adopted() != self.revision {
            self.revision = log.reference.adopted();
            self.adopted_at = log.reference.applied();
        }
    }
}

/// Checks replica counts, memory, reservations and admission against the engines.
///
/// # Errors
/// The broken promise and the observed values.
pub fn check_engines(
    log: &FakeLog,
    adoption: &AdoptionTracker,
    engines: &IndexMap<BackendId, FakeEngine>,
) -> Result<(), (PromiseKind, String)> {
    let mut resident: IndexMap<&ReplicaKey, usize> = IndexMap::new();
    for engine in engines.values().filter(|engine| engine.alive) {
        check_memory(engine)?;
        for replica in engine.resident.values() {
            if replica.phase == ResidentPhase::Failed {
                continue;
            }
            *resident.entry(&replica.key).or_default() += 1;
            let id = &engine.info.backend;
            check_counted(log, id, &replica.key)?;
        }
    }
    for (key, count) in resident {
        check_count(log, adoption, key, count)?;
    }
    for key in log.reference.reserved_keys() {
        let reserved = counted_reservations(log, key).len();
        check_count(log, adoption, key, reserved)?;
    }
    Ok(())
}

/// Checks that a replica on an engine is reserved there and was admitted before its load.
fn check_counted(
    log: &FakeLog,
    backend: &BackendId,
    key: &ReplicaKey,
) -> Result<(), (PromiseKind, String)> {
    let Some(id) = log.reference.reservation_on(key, backend) else {
        let detail = format!("{key} on {backend} has no reservation");
        return Err((PromiseKind::Counted, detail));
    };
    if log.reference.reservations()[&id].phase == ReservationPhase::Waiting {
        let detail = format!("{key} on {backend} was not admitted");
        return Err((PromiseKind::Admitted, detail));
    }
    Ok(())
}

fn check_memory(engine: &FakeEngine) -> Result<(), (PromiseKind, String)> {
    let used = engine.used_memory();
    if used > engine.info.memory {
        let detail = format!(
            "{} of {} on {}",
            used, engine.info.memory, engine.info.backend
        );
        return Err((PromiseKind::Memory, detail));
    }
    Ok(())
}

fn counted_reservations(log: &FakeLog, key: &ReplicaKey) -> Vec<ReservationId> {
    let reservations = log.reference.reservations_of(key).iter().copied();
    reservations
        .filter(|id| log.reference.reservations()[id].phase != ReservationPhase::Found)
        .collect()
}

/// Checks the count of a key; a plan that lowers it still allows earlier reservations.
fn check_count(
    log: &FakeLog,
    adoption: &AdoptionTracker,
    key: &ReplicaKey,
    count: usize,
) -> Result<(), (PromiseKind, String)> {
    let row = log.reference.row(key);
    let planned = row.map_or(0, |row| usize::from(row.replicas));
    let earlier = counted_reservations(log, key)
        .into_iter()
        .filter(|id| id.0 < adoption.adopted_at.0)
        .count();
    if count > planned.max(earlier) {
        let detail = format!(
            "{count} replicas of {key}; planned: {planned}, reserved before the plan: {earlier}"
        );
        return Err((PromiseKind::Replicas, detail));
    }
    Ok(())
}

/// A memory size in GiB, for scripts.
#[must_use]
pub const fn gib(count: u64) -> MemorySize {
    MemorySize::from_gib(count)
}
