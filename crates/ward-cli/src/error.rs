//! Errors of commands.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use quick_error::quick_error;
use ward_operator::ProblemBody;
use ward_plan::SheetError;
use ward_protocol::{PlanRevision, RecordId};

use crate::client::ExchangeError;
use crate::exit::ExitStatus;

quick_error! {
    /// Why a command fails.
    #[derive(Debug)]
    pub enum CliError {
        /// The command line is not valid, or the help text was requested.
        Usage(cause: clap::Error) {
            from()
            display("{cause}")
            source(cause)
        }
        /// The command needs a daemon and none is named.
        NoDaemon {
            display("no daemon is named; add --daemon with the operators' address of a daemon")
        }
        /// A file cannot be read.
        File(path: PathBuf, cause: io::Error) {
            display("{} cannot be read: {cause}; give the path of a readable file", path.display())
            source(cause)
        }
        /// The token file holds no usable token.
        Token(path: PathBuf) {
            display("{} holds no token; it must hold visible ASCII characters only", path.display())
        }
        /// The query string cannot be encoded.
        Query(cause: serde_urlencoded::ser::Error) {
            from()
            display("the request cannot be encoded: {cause}; use plain names")
            source(cause)
        }
        /// The program cannot start its runtime.
        Runtime(cause: io::Error) {
            display("the program cannot start: {cause}; free some memory or file handles")
            source(cause)
        }
        /// The sheet has mistakes.
        Sheet(cause: SheetError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A daemon refused the request.
        Refused(daemon: SocketAddr, problem: Box<ProblemBody>) {
            display("{}", refusal(*daemon, problem))
        }
        /// None of the named daemons gave a usable answer.
        NotReached(attempts: Vec<FailedAttempt>) {
            display("no daemon answered{}; name another with --daemon", attempt_lines(attempts))
        }
        /// It is unknown whether a submitted plan was accepted.
        Unknown(record: RecordId) {
            display(
                "it is not known whether the plan was accepted; do not submit it again before \
                 `persimmon plan history --record {record}` has shown its outcome"
            )
        }
        /// The plan is on the log but was not accepted.
        NotAccepted(record: RecordId, current: PlanRevision) {
            display(
                "the plan (record {record}) was not accepted, because another was accepted in the \
                 meantime; look at revision {current} or later and submit again on top of it"
            )
        }
        /// The plan did not come into force in time.
        NotInForce(revision: PlanRevision, missing: Vec<String>) {
            display(
                "revision {revision} is accepted but did not come into force in the time given:\n  {}\n\
                 see `persimmon plan status` for its progress", missing.join("\n  ")
            )
        }
    }
}

/// A daemon that gave no usable answer, and the reason.
#[derive(Debug)]
pub struct FailedAttempt {
    /// Operators' address of the daemon.
    pub daemon: SocketAddr,
    /// Why it gave no usable answer.
    pub cause: ExchangeError,
}

fn attempt_lines(attempts: &[FailedAttempt]) -> String {
    let lines: Vec<String> = attempts
        .iter()
        .map(|attempt| format!("\n  {}: {}", attempt.daemon, attempt.cause))
        .collect();
    lines.concat()
}

fn refusal(daemon: SocketAddr, problem: &ProblemBody) -> String {
    let mut text = format!(
        "{daemon} refused: {} {}: {}\n{}",
        problem.code, problem.title, problem.detail, problem.help
    );
    for mistake in &problem.mistakes {
        let column = mistake
            .column
            .as_ref()
            .map_or(String::new(), |column| format!(", column {column}"));
        let line = format!(
            "\nline {}{column}, {:?}: {}; {}",
            mistake.line, mistake.cell, mistake.problem, mistake.help
        );
        text.push_str(&line);
    }
    text
}

impl CliError {
    /// Returns the exit code for this error.
    #[must_use]
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Usage(cause) if !cause.use_stderr() => ExitStatus::Done,
            Self::Usage(_) | Self::NoDaemon | Self::File(..) | Self::Token(_) | Self::Query(_) => {
                ExitStatus::Usage
            }
            Self::Sheet(_) | Self::Refused(..) | Self::NotAccepted(..) => ExitStatus::Refused,
            Self::Runtime(_) | Self::NotReached(_) | Self::Unknown(_) => ExitStatus::NotReached,
            Self::NotInForce(..) => ExitStatus::NotInForce,
        }
    }
}
