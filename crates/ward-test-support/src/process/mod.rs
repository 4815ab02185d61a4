//! The programs of this workspace as separate processes.

mod daemon;
mod fleet;
mod history;
mod port;
mod program;
mod session;

pub use daemon::{DaemonProcess, DaemonTimes};
pub use fleet::{EngineOptions, FleetSettings, ListeningProcess, ProcessFleet};
pub use history::FleetHistory;
pub use program::{ProcessError, RunningProgram, program_path};
pub use session::{WAIT_TIMEOUT, wait_until};
