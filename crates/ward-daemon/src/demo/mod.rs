//! Daemons and stand-ins in one process, to see the main job done.

use crate::program::{DemoOptions, ProgramExit};

/// Runs the demonstration and ends.
#[must_use]
pub fn run_demo(_options: DemoOptions) -> ProgramExit {
    ProgramExit::Done
}
