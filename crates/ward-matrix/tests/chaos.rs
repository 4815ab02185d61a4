//! Random plans, requests and faults.

use std::thread;

use googletest::prelude::*;
use ward_matrix::{CellOutcome, run_chaos};

/// Threads that run sessions in parallel.
const THREADS: u64 = 4;
/// Sessions run by each thread.
const SESSIONS: u64 = 50;
/// Seeds of sessions that broke a promise until the bug they revealed was fixed.
const REGRESSIONS: &[u64] = &[
    157, 277, 319, 345, 602, 692, 806, 810, 981, 120_607, 221_709,
];

fn broken_seeds(seeds: impl Iterator<Item = u64>) -> Vec<String> {
    let outcomes = seeds.map(|seed| (seed, run_chaos(seed)));
    outcomes
        .filter_map(|(seed, outcome)| match outcome {
            CellOutcome::Broken(breach) => Some(format!("seed {seed}: {breach}")),
            CellOutcome::Held | CellOutcome::NotReached(_) => None,
        })
        .collect()
}

#[googletest::test]
fn chaos_sessions() {
    let runs: Vec<_> = (0..THREADS)
        .map(|part| thread::spawn(move || broken_seeds(part * SESSIONS..(part + 1) * SESSIONS)))
        .collect();
    for run in runs {
        expect_that!(run.join().ok(), some(is_empty()));
    }
}

#[googletest::test]
fn chaos_regressions() {
    expect_that!(broken_seeds(REGRESSIONS.iter().copied()), is_empty());
}
