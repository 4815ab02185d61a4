//! For each rule that can be dropped, the first cell that notices.

#[cfg(feature = "test-defects")]
fn main() {
    use std::thread;
    use ward_control::DefectKind;
    use ward_matrix::{pair_cells, single_cells, table::first_broken};

    let mut cells = single_cells(0..1);
    cells.extend(pair_cells(0, 0, 37));
    thread::scope(|scope| {
        for chunk in DefectKind::ALL.chunks(3) {
            let cells = &cells;
            scope.spawn(move || {
                for defect in chunk {
                    match first_broken(cells, *defect) {
                        Some((cell, breach)) => println!("{defect:?}: {cell}: {breach}"),
                        None => println!("{defect:?}: not noticed in {} cells", cells.len()),
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
