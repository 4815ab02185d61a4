//! Determines which replicas must be added: those that the plan wants ready, and those
//! that requests wait for.

use ward_protocol::{
    PlanRow, PriorityLevel, ReplicaKey, ReservationId, RowTarget, TimeSpan, WallTime,
};
use ward_state::ReservationPhase;

use super::FailedLoads;
use crate::core::ControlCore;

const MILLIS_PER_MINUTE: u64 = 60_000;
const MINUTES_PER_DAY: u64 = 1_440;
/// Time from now to the deadline of loads that only the plan calls for.
const PLAN_DEADLINE: TimeSpan = TimeSpan::from_secs(3_600);
/// Time without another load of a key after its first failed load.
const FAILURE_BACKOFF: TimeSpan = TimeSpan::from_secs(1);
/// Maximum number of failures in a row counted; each after the first doubles the backoff.
const MAX_COUNTED_FAILURES: u32 = 6;

/// A replica that must be added.
#[derive(Debug, Clone)]
pub(super) struct ReplicaDemand {
    pub(super) key: ReplicaKey,
    pub(super) priority: PriorityLevel,
    pub(super) deadline: WallTime,
    /// Whether requests wait for the replica; otherwise only the plan calls for it.
    pub(super) waiting: bool,
}

/// Number of replicas that a plan row wants ready at this time of day.
pub(super) fn ready_target(row: &PlanRow, wall: WallTime) -> usize {
    let minute = wall.0 / MILLIS_PER_MINUTE % MINUTES_PER_DAY;
    let in_effect = row
        .ready_from
        .is_none_or(|from| minute >= u64::from(from.minutes()));
    if in_effect { usize::from(row.ready) } else { 0 }
}

impl ControlCore {
    /// All demands but those that back off after a failed load, by priority and deadline.
    pub(super) fn collect_demands(&self) -> Vec<ReplicaDemand> {
        let mut demands: Vec<_> = self
            .planned_demands()
            .chain(self.waiting_demands())
            .collect();
        let bases: Vec<_> = demands
            .iter()
            .filter_map(|demand| self.base_demand(demand))
            .collect();
        demands.extend(bases);
        demands.retain(|demand| !self.is_backing_off(&demand.key));
        demands.sort_by(|left, right| {
            let rank =
                |demand: &ReplicaDemand| (demand.priority, demand.deadline, demand.key.clone());
            rank(left).cmp(&rank(right))
        });
        demands.dedup_by(|later, earlier| later.key == earlier.key);
        demands
    }

    /// One replica for each key of which the plan wants more ready now.
    fn planned_demands(&self) -> impl Iterator<Item = ReplicaDemand> {
        self.models.planned.iter().filter_map(|key| {
            let row = self.state.row(key)?;
            let target = ready_target(row, self.wall);
            (target > 0 && self.staying_count(key) < target && self.may_add(key, row)).then(|| {
                ReplicaDemand {
                    key: key.clone(),
                    priority: row.priority,
                    deadline: self.wall + PLAN_DEADLINE,
                    waiting: false,
                }
            })
        })
    }

    /// Replicas to add because requests wait: the first one of a key, or another one if too
    /// many requests wait per replica and all replicas are ready.
    fn waiting_demands(&self) -> impl Iterator<Item = ReplicaDemand> {
        self.models.hints.iter().filter_map(|(key, hints)| {
            if !self.owns_model(key) {
                return None;
            }
            let row = self.state.row(key)?;
            let waiting: u32 = hints.values().map(|hint| hint.waiting).sum();
            let staying = self.staying_count(key);
            let limit = usize::try_from(self.config.policy.scale_out_waiting).unwrap_or(usize::MAX);
            let crowded =
                usize::try_from(waiting).unwrap_or(usize::MAX) > staying.saturating_mul(limit);
            if staying > 0 && !(crowded && self.all_ready(key)) || !self.may_add(key, row) {
                return None;
            }
            Some(ReplicaDemand {
                key: key.clone(),
                priority: hints.values().map(|hint| hint.priority).min()?,
                deadline: hints.values().map(|hint| hint.deadline).min()?,
                waiting: true,
            })
        })
    }

    /// A replica of the base model, if a demanded adapter has none that it can be loaded on.
    fn base_demand(&self, demand: &ReplicaDemand) -> Option<ReplicaDemand> {
        if !demand.key.is_adapter() {
            return None;
        }
        let base = demand.key.base();
        let row = self.state.row(&base)?;
        // A replica of the base can take the adapter unless its engine already holds one.
        let available = self.active_ids(&base).into_iter().any(|id| {
            let backend = &self.state.reservations()[&id].backend;
            !self.is_leaving(backend) && self.state.reservation_on(&demand.key, backend).is_none()
        });
        (!available && self.may_add(&base, row)).then(|| ReplicaDemand {
            key: base,
            ..demand.clone()
        })
    }

    /// Reservations of a key that are not draining.
    pub(super) fn active_ids(&self, key: &ReplicaKey) -> Vec<ReservationId> {
        let active = |id: &&ReservationId| {
            self.state
                .reservations()
                .get(*id)
                .is_some_and(|state| !state.draining)
        };
        self.state
            .reservations_of(key)
            .iter()
            .filter(active)
            .copied()
            .collect()
    }

    pub(super) fn active_count(&self, key: &ReplicaKey) -> usize {
        self.active_ids(key).len()
    }

    /// Reservations of a key that are not draining and whose engines are not leaving.
    pub(super) fn staying_ids(&self, key: &ReplicaKey) -> Vec<ReservationId> {
        let mut ids = self.active_ids(key);
        ids.retain(|id| {
            let state = &self.state.reservations()[id];
            !self.is_leaving(&state.backend)
        });
        ids
    }

    /// Number of reservations that [`staying_ids`](Self::staying_ids) lists.
    fn staying_count(&self, key: &ReplicaKey) -> usize {
        self.staying_ids(key).len()
    }

    fn all_ready(&self, key: &ReplicaKey) -> bool {
        self.active_ids(key)
            .iter()
            .all(|id| self.state.reservations()[id].phase == ReservationPhase::Ready)
    }

    /// Whether the plan allows another replica of a key, draining ones counted.
    pub(super) fn may_add(&self, key: &ReplicaKey, row: &PlanRow) -> bool {
        self.state.reservations_of(key).len() < usize::from(row.replicas)
    }

    /// Counts a failure for each reservation that ended before its replica was ready. Clears
    /// the failures of a key once a replica of it is ready or draining, or the plan has no row
    /// for it.
    pub(super) fn record_failed_loads(&mut self) {
        if self.models.failed_loads_checked == self.state.applied() {
            return;
        }
        self.models.failed_loads_checked = self.state.applied();
        let now = self.now;
        let current: indexmap::IndexMap<_, _> = self
            .state
            .reservations()
            .iter()
            .filter(|(_, state)| {
                let not_ready = matches!(
                    state.phase,
                    ReservationPhase::Waiting | ReservationPhase::Loading
                );
                not_ready && !state.draining
            })
            .map(|(id, state)| (*id, state.key.clone()))
            .collect();
        let before = std::mem::take(&mut self.models.loading);
        for (id, key) in before {
            if current.contains_key(&id) {
                continue;
            }
            let ready = self
                .state
                .reservations()
                .get(&id)
                .is_some_and(|state| state.phase == ReservationPhase::Ready || state.draining);
            let planned = self
                .state
                .content()
                .contains_key(&RowTarget::Replica(key.clone()));
            if ready || !planned {
                self.models.failed_loads.swap_remove(&key);
                continue;
            }
            let failed = self.models.failed_loads.entry(key).or_insert(FailedLoads {
                count: 0,
                last: now,
            });
            failed.count = (failed.count + 1).min(MAX_COUNTED_FAILURES);
            failed.last = now;
        }
        self.models.loading = current;
    }

    /// Whether the backoff after the last failed load of a key still runs.
    fn is_backing_off(&self, key: &ReplicaKey) -> bool {
        self.models.failed_loads.get(key).is_some_and(|failed| {
            let backoff = FAILURE_BACKOFF.millis() << failed.count.saturating_sub(1);
            self.now.since(failed.last) < TimeSpan::from_millis(backoff)
        })
    }
}
