//! How the program ends.

use std::process::ExitCode;

/// How the program ends, as its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramExit {
    /// As asked.
    Done,
    /// Something failed while running.
    Failed,
    /// The arguments cannot be used.
    Usage,
    /// The settings have mistakes.
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
