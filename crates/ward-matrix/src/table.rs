//! The whole matrix and its summary.

use std::fmt;

use indexmap::IndexMap;

use crate::cell::{CellOutcome, MatrixCell, run_cell};
use crate::fault::FaultKind;
use crate::step::MatrixStep;

/// What became of all cells.
#[derive(Debug, Default)]
pub struct MatrixTable {
    /// Cells in which every promise held.
    pub held: usize,
    /// Cells whose step was never reached, by step.
    pub unreached: IndexMap<MatrixStep, usize>,
    /// Cells in which a promise was broken.
    pub broken: Vec<(MatrixCell, CellOutcome)>,
}

impl MatrixTable {
    /// Runs one cell and notes what became of it.
    pub fn run(&mut self, cell: MatrixCell) {
        let outcome = run_cell(&cell);
        match &outcome {
            CellOutcome::Held => self.held += 1,
            CellOutcome::NotReached(step) => *self.unreached.entry(*step).or_default() += 1,
            CellOutcome::Broken(_) => self.broken.push((cell, outcome)),
        }
    }
}

impl fmt::Display for MatrixTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{} cells held", self.held)?;
        for (step, count) in &self.unreached {
            writeln!(
                formatter,
                "{count} cells not possible: no {step} in the session"
            )?;
        }
        writeln!(formatter, "{} cells broken", self.broken.len())?;
        for (cell, outcome) in &self.broken {
            if let CellOutcome::Broken(breach) = outcome {
                writeln!(formatter, "  {cell}: {breach}")?;
            }
        }
        Ok(())
    }
}

/// Runs every fault at every step, under each seed.
#[must_use]
pub fn run_table(seeds: impl Iterator<Item = u64>) -> MatrixTable {
    let mut table = MatrixTable::default();
    for seed in seeds {
        for fault in FaultKind::ALL {
            for step in MatrixStep::ALL {
                table.run(MatrixCell {
                    faults: vec![(*fault, *step)],
                    seed,
                });
            }
        }
    }
    table
}
