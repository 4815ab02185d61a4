//! Runs a subset of all fault pairs: `pairs SEED FIRST STRIDE`.

use ward_matrix::{pair_cells, run_cells};

/// Threads that run sessions in parallel.
const THREADS: usize = 3;

fn main() {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok())
        .collect();
    let number = |index: usize, default: u64| numbers.get(index).copied().unwrap_or(default);
    let first = usize::try_from(number(1, 0)).unwrap_or_default();
    let stride = usize::try_from(number(2, 97)).unwrap_or(97);
    let cells = pair_cells(number(0, 0), first, stride);
    println!("{} cells: {}", cells.len(), run_cells(&cells, THREADS));
}
