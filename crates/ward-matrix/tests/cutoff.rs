//! A daemon that reaches its peers but not the log must not delay the other daemons.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_matrix::script::row;
use ward_matrix::{FaultKind, TimedStep, World, WorldOptions};
use ward_protocol::PlanChange;

#[googletest::test]
fn daemon_cut_off_from_log() {
    for daemon in 1..=3 {
        let names = ["a@1", "b@1", "c@1", "d@1"];
        let rows = names.iter().map(|name| row(name, 1, 0, 10).unwrap());
        let change = PlanChange::Whole {
            rows: rows.collect(),
        };
        let cut = TimedStep::InjectFault(FaultKind::CutFromLog, daemon, 120_000);
        let mut timed_steps = vec![(1_000, TimedStep::Plan(change)), (7_000, cut)];
        let requests = names
            .iter()
            .map(|name| TimedStep::StartRequests(name.parse().unwrap()));
        timed_steps.extend(requests.map(|request| (12_000, request)));
        let mut world = World::new(WorldOptions {
            seed: 5,
            timed_steps,
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
