//! Exit codes of the program.

use std::process::ExitCode;

/// Outcome of the program, converted to its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramExit {
    /// The task was completed; exit code 0.
    Done,
    /// The task failed while running; exit code 1.
    Failed,
    /// The arguments are wrong; exit code 2.
    Usage,
    /// The settings have mistakes; exit code 3.
    Settings,
}

impl From<ProgramExit> for ExitCode {
    fn from(exit: ProgramExit) -> Self {
        Self::from(match exit {
            ProgramExit::Done => 0,
            ProgramExit::Failed => 1,
            ProgramExit::Usage => 2,
            ProgramExit::Settings => 3,
        })
    }
}
