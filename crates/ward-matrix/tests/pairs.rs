//! Pairs of faults: a fixed subset of all pairs, selected by a stride.

use googletest::prelude::*;
use ward_matrix::{pair_cells, run_cells};

/// Threads that run sessions in parallel.
const THREADS: usize = 4;
/// One of this many pairs is run; a prime, so that all faults and steps occur.
const STRIDE: usize = 61;

#[googletest::test]
fn matrix_fault_pairs() {
    let cells = pair_cells(7, 0, STRIDE);
    let table = run_cells(&cells, THREADS);
    println!("{} cells: {table}", cells.len());
    expect_that!(table.broken, is_empty());
    expect_that!(table.total(), eq(cells.len()));
}
