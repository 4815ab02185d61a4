//! Our own programs as separate processes.

mod daemon;
mod fleet;
mod program;

pub use daemon::{DaemonProcess, DaemonTimes};
pub use fleet::{EngineChoice, FleetSettings, ProcessFleet};
pub use program::{ProcessError, RunningProgram, program_path};
