//! Runs one cell and prints its trace and outcome: `cell SEED [FAULT STEP]...`.

use ward_matrix::cell::run_world;
use ward_matrix::{FaultKind, MatrixStep, World, WorldOptions};

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let seed = words.first().and_then(|word| word.parse().ok());
    let faults = words.get(1..).unwrap_or_default().chunks_exact(2);
    let faults = faults.filter_map(|pair| {
        let fault = FaultKind::ALL
            .iter()
            .find(|fault| fault.to_string() == pair[0])?;
        let step = MatrixStep::ALL
            .iter()
            .find(|step| step.to_string() == pair[1])?;
        Some((*fault, *step))
    });
    let options = WorldOptions {
        seed: seed.unwrap_or_default(),
        faults: faults.collect(),
        traced: true,
        ..WorldOptions::default()
    };
    let mut world = World::new(options);
    let outcome = run_world(&mut world);
    for line in world.trace() {
        println!("{line}");
    }
    println!("{outcome:?}");
}
