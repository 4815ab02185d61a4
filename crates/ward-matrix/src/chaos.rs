//! Sessions of random plans, requests and faults.
//!
//! The matrix injects faults at chosen steps of one script. Here plans and
//! requests change continuously and faults overlap, so that reservations begin
//! and end while orders are in flight.

use ward_protocol::{PlanChange, PlanRow, ReplicaKey, RowTarget};

use crate::fault::FaultKind;
use crate::script::row;
use crate::world::{MILLI, SECOND, World, WorldEvent};

/// Models of the random plans, with their memory in GiB.
const MODELS: &[(&str, u64)] = &[
    ("quotes@1", 10),
    ("contracts@1", 12),
    ("colours@1", 14),
    ("fitters@1", 9),
    ("quotes:riga@1", 1),
];
/// Time at which the random changes end, in seconds.
pub const CHAOS_END: u64 = 60;
/// Upper bound of the random part of the time between two changes.
const MAX_CHANGE_INTERVAL: u64 = 900 * MILLI;
/// Upper bound of the random part of a fault's duration.
const MAX_FAULT_DURATION: u64 = 9 * SECOND;

impl World {
    /// Makes one random change and schedules the next one.
    pub(crate) fn change_randomly(&mut self) {
        if self.now >= CHAOS_END * SECOND {
            self.submit_final_plan();
            return;
        }
        match self.random_below(10) {
            0..4 => self.change_plan(),
            4..7 => self.inject_random(),
            _ => self.change_traffic(),
        }
        let delay = 50 * MILLI + self.random_below(MAX_CHANGE_INTERVAL);
        self.schedule(delay, WorldEvent::RandomChange);
    }

    /// Ends the random changes: plans all models and requests a fixed set of them.
    fn submit_final_plan(&mut self) {
        let rows = MODELS
            .iter()
            .filter_map(|(name, memory)| row(name, 1, 0, *memory));
        let base = self.log.reference.plans().head();
        let rows = rows.collect();
        self.submit(base, PlanChange::Whole { rows });
        self.requested_keys = ["quotes@1", "quotes:riga@1", "contracts@1"]
            .iter()
            .filter_map(|name| name.parse().ok())
            .collect();
    }

    fn change_plan(&mut self) {
        let (name, memory) = MODELS[self.random_index(MODELS.len())];
        let replicas = u16::try_from(self.random_below(3)).unwrap_or_default();
        let ready = u16::try_from(self.random_below(2))
            .unwrap_or_default()
            .min(replicas);
        let Some(row) = row(name, replicas, ready, memory) else {
            return;
        };
        let base = self.log.reference.plans().head();
        let target = row.target.clone();
        let is_planned = self
            .log
            .reference
            .plans()
            .head_content()
            .contains_key(&target);
        let change = if replicas == 0 && is_planned && self.random_below(2) == 0 {
            removal(target)
        } else {
            upsert(row)
        };
        self.trace_line(|| format!("* plan {name}: {replicas} replicas, {ready} ready"));
        self.submit(base, change);
    }

    fn change_traffic(&mut self) {
        let (name, _) = MODELS[self.random_index(MODELS.len())];
        let Ok(key) = name.parse::<ReplicaKey>() else {
            return;
        };
        self.trace_line(|| format!("* requests for {name} change"));
        if !self.requested_keys.shift_remove(&key) {
            self.requested_keys.insert(key);
        }
    }

    fn inject_random(&mut self) {
        let fault = FaultKind::ALL[self.random_index(FaultKind::ALL.len())];
        let daemon = self.random_index(self.daemons.len());
        let Some(daemon) = self.daemons.keys().nth(daemon).cloned() else {
            return;
        };
        if self.active_faults.contains(&fault) {
            return;
        }
        let duration = 200 * MILLI + self.random_below(MAX_FAULT_DURATION);
        self.trace_line(|| format!("! {fault} on {daemon}"));
        self.inject(fault, daemon, duration);
    }

    fn random_index(&mut self, count: usize) -> usize {
        let bound = u64::try_from(count).unwrap_or(u64::MAX);
        usize::try_from(self.random_below(bound)).unwrap_or_default()
    }
}

fn upsert(row: PlanRow) -> PlanChange {
    PlanChange::Rows {
        upserts: vec![row],
        removals: Vec::new(),
    }
}

fn removal(target: RowTarget) -> PlanChange {
    PlanChange::Rows {
        upserts: Vec::new(),
        removals: vec![target],
    }
}
