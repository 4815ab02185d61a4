//! Sessions without faults.

use googletest::prelude::*;
use ward_matrix::cell::run_world;
use ward_matrix::{CellOutcome, World, WorldOptions};

#[googletest::test]
fn session_without_faults() {
    for seed in 0..5 {
        let options = WorldOptions {
            seed,
            traced: true,
            ..WorldOptions::default()
        };
        let mut world = World::new(options);
        let outcome = run_world(&mut world);
        expect_that!(outcome, eq(&CellOutcome::Held), "seed {seed}");
        if outcome != CellOutcome::Held {
            println!("{}", world.trace().join("\n"));
            break;
        }
    }
}
