//! Our own programs as separate processes.

mod daemon;
mod fleet;
mod port;
mod program;
mod session;
mod truth;

pub use daemon::{DaemonProcess, DaemonTimes};
pub use fleet::{EngineChoice, FleetSettings, ListeningProcess, ProcessFleet};
pub use program::{ProcessError, RunningProgram, program_path};
pub use session::{PATIENCE, until};
pub use truth::FleetTruth;
