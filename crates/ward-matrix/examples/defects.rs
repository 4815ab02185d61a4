//! Finds, for each rule that can be disabled, the first random session that breaks a promise.

#[cfg(feature = "test-defects")]
fn main() {
    use std::thread;
    use ward_control::DefectKind;
    use ward_matrix::table::first_broken;

    let bound = std::env::args().nth(1).and_then(|word| word.parse().ok());
    let bound = bound.unwrap_or(200_u64);
    thread::scope(|scope| {
        for chunk in DefectKind::ALL.chunks(3) {
            scope.spawn(move || {
                for defect in chunk {
                    match first_broken(0..bound, *defect) {
                        Some((seed, breach)) => println!("{defect:?}: seed {seed}: {breach}"),
                        None => println!("{defect:?}: not detected in {bound} sessions"),
                    }
                }
            });
        }
    });
}

#[cfg(not(feature = "test-defects"))]
fn main() {
    println!("build with --features test-defects");
}
