//! One cell of the matrix: faults injected at steps, with one seed.

use std::fmt;

use ward_protocol::ReplicaKey;

use crate::chaos::CHAOS_END;
use crate::fault::FaultKind;
use crate::promise::{PromiseBreach, PromiseKind};
use crate::script::{FAULTS_END, TRAFFIC};
use crate::step::MatrixStep;
use crate::world::{World, WorldOptions};

/// Time by which all faults of a random session have ended, in seconds.
const CHAOS_FAULTS_END: u64 = CHAOS_END + 10;
/// Time in which requested replicas must become ready after the last fault, in seconds.
const MAX_READY_TIME: u64 = 60;

/// Faults at steps, with one seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MatrixCell {
    /// Faults and the steps at which they are injected.
    pub faults: Vec<(FaultKind, MatrixStep)>,
    /// Seed of all random delays and ids.
    pub seed: u64,
}

/// Result of a cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellOutcome {
    /// Every promise held after every event.
    Held,
    /// The session did not reach this step, so its fault was not injected.
    NotReached(MatrixStep),
    /// A promise was broken.
    Broken(PromiseBreach),
}

impl fmt::Display for MatrixCell {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (fault, step) in &self.faults {
            write!(formatter, "{fault} at {step}, ")?;
        }
        write!(formatter, "seed {}", self.seed)
    }
}

/// Runs one cell to its end.
#[must_use]
pub fn run_cell(cell: &MatrixCell) -> CellOutcome {
    let options = WorldOptions {
        seed: cell.seed,
        faults: cell.faults.clone(),
        ..WorldOptions::default()
    };
    run_world(&mut World::new(options))
}

/// Runs a random session to its end.
#[must_use]
pub fn run_chaos(seed: u64) -> CellOutcome {
    let options = WorldOptions {
        seed,
        chaos: true,
        ..WorldOptions::default()
    };
    run_world(&mut World::new(options))
}

/// Runs a session to its end and checks that the requested replicas are ready then.
pub fn run_world(world: &mut World) -> CellOutcome {
    let last_fault = if world.options.chaos {
        CHAOS_FAULTS_END
    } else {
        FAULTS_END
    };
    for second in (last_fault..=last_fault + MAX_READY_TIME).step_by(5) {
        if let Err(breach) = world.run_until(second) {
            return CellOutcome::Broken(breach);
        }
        if missing_key(world).is_none() {
            break;
        }
    }
    let steps = world.options.faults.iter().map(|(_, step)| *step);
    if let Some(step) = steps.into_iter().find(|step| !world.has_injected_at(*step)) {
        return CellOutcome::NotReached(step);
    }
    match missing_key(world) {
        None => CellOutcome::Held,
        Some(key) => CellOutcome::Broken(PromiseBreach {
            kind: PromiseKind::Liveness,
            at: world.now,
            detail: format!("{key} is not ready everywhere"),
        }),
    }
}

/// A key that is planned and requested but not ready everywhere.
fn missing_key(world: &World) -> Option<ReplicaKey> {
    let scripted = TRAFFIC
        .iter()
        .filter(|(_, to, _)| !world.options.chaos && *to == u64::MAX)
        .filter_map(|(_, _, text)| text.parse::<ReplicaKey>().ok());
    let mut requested = scripted.chain(world.requested_keys.iter().cloned());
    // A concurrent plan of another operator may have removed the row.
    requested.find(|key| world.log().reference.row(key).is_some() && !world.is_served(key))
}
