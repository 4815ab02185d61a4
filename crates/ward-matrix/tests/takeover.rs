//! Lease and takeover of engines, tested exhaustively over small sets of times.
//!
//! A replica is planned and its load ordered. Around that time the owner of its
//! engine freezes, is killed or is cut off, and its orders may be delayed.
//! Meanwhile a second plan replaces the replica by another on a cluster that is
//! too small for both. Each combination of times is one session.

#![allow(clippy::unwrap_used)]

use std::thread;

use googletest::prelude::*;
use ward_matrix::script::row;
use ward_matrix::{FaultKind, TimedStep, World, WorldOptions};
use ward_protocol::PlanChange;

/// Faults that end an owner's lease or cut its connections.
const OWNER_FAULTS: [FaultKind; 5] = [
    FaultKind::DaemonFrozen,
    FaultKind::DaemonKilled,
    FaultKind::CutFromLog,
    FaultKind::CutFromPeers,
    FaultKind::CutFromEngines,
];
/// Start of the fault, in milliseconds after the first plan.
const FAULT_STARTS: [u64; 4] = [20, 110, 160, 600];
/// Durations of the fault in milliseconds, below and above the lease and the wait of a new owner.
const FAULT_DURATIONS: [u64; 4] = [1_500, 2_900, 4_000, 7_000];
/// Time of the second plan, in milliseconds after the first.
const SECOND_PLAN_TIMES: [u64; 3] = [200, 2_000, 5_000];
/// Time of the session's first plan, in milliseconds.
const FIRST_PLAN_TIME: u64 = 7_000;

fn plan(name: &str) -> TimedStep {
    let rows = (1..=4).map(|number| row(&format!("{name}-{number}@1"), 1, 1, 14).unwrap());
    TimedStep::Plan(PlanChange::Whole {
        rows: rows.collect(),
    })
}

/// All combinations of fault, daemon and times; some sessions also delay orders.
fn sessions() -> Vec<Vec<(u64, TimedStep)>> {
    let mut sessions = Vec::new();
    for fault in OWNER_FAULTS {
        for daemon in 1..=3 {
            for fault_start in FAULT_STARTS {
                for duration in FAULT_DURATIONS {
                    for second_plan_time in SECOND_PLAN_TIMES {
                        let delayed = TimedStep::InjectFault(FaultKind::OrderDelayed, 1, 3_000);
                        let mut session = vec![
                            (FIRST_PLAN_TIME, plan("first")),
                            (
                                FIRST_PLAN_TIME + fault_start,
                                TimedStep::InjectFault(fault, daemon, duration),
                            ),
                            (FIRST_PLAN_TIME + second_plan_time, plan("second")),
                        ];
                        if (fault_start + duration) % 200 == 20 || daemon == 2 {
                            session.push((FIRST_PLAN_TIME - 10, delayed));
                        }
                        sessions.push(session);
                    }
                }
            }
        }
    }
    sessions
}

fn run(timed_steps: &[(u64, TimedStep)]) -> Option<String> {
    let options = WorldOptions {
        seed: 3,
        timed_steps: timed_steps.to_vec(),
        ..WorldOptions::default()
    };
    let mut world = World::new(options);
    if let Err(breach) = world.run_until(FIRST_PLAN_TIME / 1_000 + 30) {
        return Some(format!("{timed_steps:?}: {breach}"));
    }
    let missing = (1..=4).find(|number| {
        let key = format!("second-{number}@1").parse().unwrap();
        !world.is_served(&key)
    });
    missing.map(|number| format!("{timed_steps:?}: second-{number} is not ready"))
}

#[googletest::test]
fn takeover_all_choices() {
    /// Threads that run sessions in parallel.
    const THREADS: usize = 4;
    let sessions = sessions();
    let chunk_size = sessions.len().div_ceil(THREADS);
    let broken: Vec<String> = thread::scope(|scope| {
        let runs: Vec<_> = sessions
            .chunks(chunk_size)
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
