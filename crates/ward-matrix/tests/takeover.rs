//! Lease and take-over, explored exhaustively over small choices.
//!
//! A replica is planned and its load ordered; its engine's owner freezes, dies
//! or is cut off around that time, its orders may be delayed, and meanwhile the
//! plan withdraws the replica and puts another in its place on a cluster that
//! is too small for both. Each choice of times is one session.

#![allow(clippy::unwrap_used)]

use std::thread;

use googletest::prelude::*;
use ward_matrix::script::row;
use ward_matrix::{Direction, FaultKind, World, WorldOptions};
use ward_protocol::PlanChange;

/// Faults that take an owner's authority away, or its reach.
const OWNER_FAULTS: [FaultKind; 5] = [
    FaultKind::DaemonFrozen,
    FaultKind::DaemonKilled,
    FaultKind::CutFromLog,
    FaultKind::CutFromPeers,
    FaultKind::CutFromEngines,
];
/// When the owner is struck, in milliseconds after the first plan.
const STRIKES: [u64; 4] = [20, 110, 160, 600];
/// How long, below and above the lease and the wait of a new owner.
const SPANS: [u64; 4] = [1_500, 2_900, 4_000, 7_000];
/// When the second plan comes, in milliseconds after the first.
const CHANGES: [u64; 3] = [200, 2_000, 5_000];
/// When the session's first plan is submitted, in milliseconds.
const START: u64 = 7_000;

fn plan(name: &str) -> Direction {
    let rows = (1..=4).map(|number| row(&format!("{name}-{number}@1"), 1, 1, 14).unwrap());
    Direction::Plan(PlanChange::Whole {
        rows: rows.collect(),
    })
}

/// All choices of fault, its daemon, times, and delay of orders.
fn sessions() -> Vec<Vec<(u64, Direction)>> {
    let mut sessions = Vec::new();
    for fault in OWNER_FAULTS {
        for daemon in 1..=3 {
            for strike in STRIKES {
                for span in SPANS {
                    for change in CHANGES {
                        let delayed = Direction::Strike(FaultKind::OrderDelayed, 1, 3_000);
                        let mut session = vec![
                            (START, plan("first")),
                            (START + strike, Direction::Strike(fault, daemon, span)),
                            (START + change, plan("second")),
                        ];
                        if (strike + span) % 200 == 20 || daemon == 2 {
                            session.push((START - 10, delayed));
                        }
                        sessions.push(session);
                    }
                }
            }
        }
    }
    sessions
}

fn run(directed: &[(u64, Direction)]) -> Option<String> {
    let options = WorldOptions {
        seed: 3,
        directed: directed.to_vec(),
        ..WorldOptions::default()
    };
    let mut world = World::new(options);
    if let Err(breach) = world.run_until(START / 1_000 + 30) {
        return Some(format!("{directed:?}: {breach}"));
    }
    let missing = (1..=4).find(|number| {
        let key = format!("second-{number}@1").parse().unwrap();
        !world.is_served(&key)
    });
    missing.map(|number| format!("{directed:?}: second-{number} is not ready"))
}

#[googletest::test]
fn takeover_all_choices() {
    /// Threads for sessions.
    const THREADS: usize = 4;
    let sessions = sessions();
    let share = sessions.len().div_ceil(THREADS);
    let broken: Vec<String> = thread::scope(|scope| {
        let runs: Vec<_> = sessions
            .chunks(share)
            .map(|chunk| {
                scope.spawn(|| chunk.iter().filter_map(|one| run(one)).collect::<Vec<_>>())
            })
            .collect();
        runs.into_iter()
            .flat_map(|run| run.join().unwrap())
            .collect()
    });
    println!("{} sessions", sessions.len());
    let first: Vec<_> = broken.iter().take(3).collect();
    expect_that!(broken.len(), eq(0), "first: {first:#?}");
}
