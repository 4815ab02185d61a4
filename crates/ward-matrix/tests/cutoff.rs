//! A daemon that reaches its peers but not the log must not hold others up.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_matrix::script::row;
use ward_matrix::{Direction, FaultKind, World, WorldOptions};
use ward_protocol::PlanChange;

#[googletest::test]
fn cutoff_from_log_alone() {
    for daemon in 1..=3 {
        let names = ["a@1", "b@1", "c@1", "d@1"];
        let rows = names.iter().map(|name| row(name, 1, 0, 10).unwrap());
        let change = PlanChange::Whole {
            rows: rows.collect(),
        };
        let cut = Direction::Strike(FaultKind::CutFromLog, daemon, 120_000);
        let mut directed = vec![(1_000, Direction::Plan(change)), (7_000, cut)];
        let wants = names
            .iter()
            .map(|name| Direction::Want(name.parse().unwrap()));
        directed.extend(wants.map(|want| (12_000, want)));
        let mut world = World::new(WorldOptions {
            seed: 5,
            directed,
            ..WorldOptions::default()
        });
        expect_that!(world.run_until(40), ok(anything()));
        for name in names {
            let key = name.parse().unwrap();
            expect_that!(
                world.is_served(&key),
                eq(true),
                "{name}, entry-{daemon} cut off"
            );
        }
    }
}
