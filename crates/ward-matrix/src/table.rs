//! Runs the cells of the matrix and summarizes their outcomes.

use std::fmt;
use std::thread;

use indexmap::IndexMap;

use crate::cell::{CellOutcome, MatrixCell, run_cell};
use crate::fault::FaultKind;
use crate::step::MatrixStep;

/// Summary of the outcomes of all cells.
#[derive(Debug, Default)]
pub struct MatrixTable {
    /// Number of cells in which every promise held.
    pub held: usize,
    /// Number of cells whose session did not reach a step, by step.
    pub unreached: IndexMap<MatrixStep, usize>,
    /// Cells in which a promise was broken.
    pub broken: Vec<(MatrixCell, CellOutcome)>,
}

impl MatrixTable {
    /// Number of cells that were run.
    #[must_use]
    pub fn total(&self) -> usize {
        let unreached: usize = self.unreached.values().sum();
        self.held + unreached + self.broken.len()
    }

    fn add_outcome(&mut self, cell: MatrixCell, outcome: CellOutcome) {
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

/// Cells with every fault at every step, for each seed.
pub fn single_cells(seeds: impl Iterator<Item = u64>) -> Vec<MatrixCell> {
    let injections = all_injections();
    let cells = seeds.flat_map(|seed| {
        injections.iter().map(move |injection| MatrixCell {
            faults: vec![*injection],
            seed,
        })
    });
    cells.collect()
}

/// Cells with every `stride`-th pair of faults at steps, starting at index `first`, with one seed.
#[must_use]
pub fn pair_cells(seed: u64, first: usize, stride: usize) -> Vec<MatrixCell> {
    let injections = all_injections();
    let pairs = injections.iter().enumerate().flat_map(|(index, one)| {
        let others = injections[index + 1..].iter().filter(|two| two.0 != one.0);
        others.map(|two| vec![*one, *two])
    });
    let chosen = pairs.skip(first).step_by(stride);
    chosen.map(|faults| MatrixCell { faults, seed }).collect()
}

fn all_injections() -> Vec<(FaultKind, MatrixStep)> {
    let faults = FaultKind::ALL.iter();
    faults
        .flat_map(|fault| MatrixStep::ALL.iter().map(move |step| (*fault, *step)))
        .collect()
}

/// Runs random sessions in order until one breaks a promise.
#[cfg(feature = "test-defects")]
#[must_use]
pub fn first_broken(
    seeds: impl IntoIterator<Item = u64>,
    defect: ward_control::DefectKind,
) -> Option<(u64, crate::promise::PromiseBreach)> {
    seeds.into_iter().find_map(|seed| {
        let options = crate::world::WorldOptions {
            seed,
            chaos: true,
            defect: Some(defect),
            ..crate::world::WorldOptions::default()
        };
        let outcome = crate::cell::run_world(&mut crate::world::World::new(options));
        match outcome {
            CellOutcome::Broken(breach) => Some((seed, breach)),
            CellOutcome::Held | CellOutcome::NotReached(_) => None,
        }
    })
}

/// Runs cells on several threads; the result doesn't depend on the number of threads.
#[must_use]
pub fn run_cells(cells: &[MatrixCell], threads: usize) -> MatrixTable {
    let chunk_size = cells.len().div_ceil(threads.max(1)).max(1);
    let mut table = MatrixTable::default();
    thread::scope(|scope| {
        let runs: Vec<_> = cells
            .chunks(chunk_size)
            .map(|chunk| scope.spawn(move || chunk.iter().map(run_cell).collect::<Vec<_>>()))
            .collect();
        let outcomes = runs.into_iter().filter_map(|run| run.join().ok()).flatten();
        for (cell, outcome) in cells.iter().zip(outcomes) {
            table.add_outcome(cell.clone(), outcome);
        }
    });
    table
}
