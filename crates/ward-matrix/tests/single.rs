//! Every fault at every step, one fault per session.

use googletest::prelude::*;
use ward_matrix::{run_cells, single_cells};

/// Threads that run sessions in parallel.
const THREADS: usize = 4;

#[googletest::test]
fn matrix_single_faults() {
    let cells = single_cells(0..2);
    let table = run_cells(&cells, THREADS);
    println!("{} cells: {table}", cells.len());
    expect_that!(table.broken, is_empty());
    expect_that!(table.total(), eq(cells.len()));
}
