//! Runs random sessions: `chaos FROM TO` (seeds); with one seed, prints that session's trace.

use ward_matrix::cell::run_world;
use ward_matrix::{CellOutcome, World, WorldOptions};

fn main() {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok())
        .collect();
    let from = numbers.first().copied().unwrap_or_default();
    let to = numbers.get(1).copied().unwrap_or(from + 1);
    for seed in from..to {
        let options = WorldOptions {
            seed,
            chaos: true,
            traced: numbers.len() == 1,
            ..WorldOptions::default()
        };
        let mut world = World::new(options);
        let outcome = run_world(&mut world);
        for line in world.trace() {
            println!("{line}");
        }
        if let CellOutcome::Broken(breach) = outcome {
            println!("seed {seed}: {breach}");
            if numbers.len() == 1 {
                let state = &world.log().reference;
                println!("{:#?}", state.reservations());
                println!("{:#?}", state.backends());
                println!("{:#?}", state.members().keys());
            }
        }
    }
    println!("{} sessions", to - from);
}
