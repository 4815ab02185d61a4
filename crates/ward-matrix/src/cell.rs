//! One cell of the matrix: faults at steps, under one seed.

use std::fmt;

use ward_protocol::ReplicaKey;

use crate::fault::FaultKind;
use crate::promise::{PromiseBreach, PromiseKind};
use crate::script::{END, TRAFFIC};
use crate::step::MatrixStep;
use crate::world::{World, WorldOptions};

/// Faults at steps, under one seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MatrixCell {
    /// Faults and the steps at which they strike.
    pub faults: Vec<(FaultKind, MatrixStep)>,
    /// Seed of delays and ids.
    pub seed: u64,
}

/// What became of a cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellOutcome {
    /// Every promise held after every event.
    Held,
    /// The session never came to a step.
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

/// Runs a session to its end and checks what must be ready then.
pub fn run_world(world: &mut World) -> CellOutcome {
    if let Err(breach) = world.run_until(END) {
        return CellOutcome::Broken(breach);
    }
    let steps: Vec<_> = world.options.faults.iter().map(|(_, step)| *step).collect();
    if let Some(step) = steps.into_iter().find(|step| !world.has_struck(*step)) {
        return CellOutcome::NotReached(step);
    }
    let last = TRAFFIC.iter().filter(|(_, to, _)| *to == u64::MAX);
    for key in last.filter_map(|(_, _, text)| text.parse::<ReplicaKey>().ok()) {
        if !world.is_served(&key) {
            return CellOutcome::Broken(PromiseBreach {
                kind: PromiseKind::Liveness,
                at: world.now,
                detail: format!("{key} is not ready everywhere"),
            });
        }
    }
    CellOutcome::Held
}
