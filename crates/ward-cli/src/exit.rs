//! Exit codes of the program.

use std::process::ExitCode;

/// Exit code of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done,
    /// A daemon or the check of the sheet refused: mistakes, a stale base, a wrong token.
    Refused,
    /// The command line, or a file named on it, cannot be used.
    Usage,
    /// No daemon answered, or the outcome of a submission is unknown.
    NotReached,
    /// The plan is accepted but did not come into force in the time given.
    NotInForce,
}

impl ExitStatus {
    /// All exit codes in the order of their numbers.
    pub const ALL: [Self; 5] = [
        Self::Done,
        Self::Refused,
        Self::Usage,
        Self::NotReached,
        Self::NotInForce,
    ];

    /// Returns the number that the shell gets.
    #[must_use]
    pub const fn number(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::NotReached => 3,
            Self::NotInForce => 4,
        }
    }

    /// Returns the description for the help text.
    #[must_use]
    pub const fn about(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Refused => "refused: mistakes, a stale base, a wrong token",
            Self::Usage => "the command line or a file named on it cannot be used",
            Self::NotReached => "no daemon answered, or the outcome is not known",
            Self::NotInForce => "accepted, but not in force everywhere in time",
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.number())
    }
}
