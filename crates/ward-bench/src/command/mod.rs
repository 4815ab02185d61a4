//! Command line of `ward-bench`.

mod emulate;
mod load;
mod owners;
mod replay;
mod report;
mod serving;
mod slopes;

use clap::{ArgMatches, Command};
use quick_error::quick_error;

quick_error! {
    /// Failure of a command.
    #[derive(Debug)]
    pub enum CommandError {
        /// A workload file is unusable.
        Workload(cause: crate::replay::WorkloadError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A replay failed.
        Replay(cause: crate::replay::ReplayError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A file cannot be read or written.
        File(path: std::path::PathBuf, cause: std::io::Error) {
            display("cannot use {}: {cause}; check the path", path.display())
            source(cause)
        }
        /// A file of results cannot be read or written.
        Format(cause: serde_json::Error) {
            from()
            display("the results cannot be read or written: {cause}")
            source(cause)
        }
        /// A measurement of slopes failed.
        Slopes(cause: crate::slopes::SlopeError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A load failed or was refused.
        Load(cause: crate::load::LoadError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// The name of a day is unknown.
        Day(cause: crate::emulator::DayError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A name made for an emulated day is not valid.
        Name(cause: ward_protocol::IdError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// The command is unknown, or a required argument is missing.
        Unknown {
            display("unknown command or missing argument; see --help")
        }
    }
}

/// The command line with all commands and their arguments.
#[must_use]
pub fn command_line() -> Command {
    Command::new("ward-bench")
        .version(clap::crate_version!())
        .about("Measures the serving system's decisions and processes")
        .subcommand_required(true)
        .subcommand(replay::replay_command())
        .subcommand(report::report_command())
        .subcommand(owners::owners_command())
        .subcommand(emulate::emulate_command())
        .subcommand(load::load_command())
        .subcommand(load::overhead_command())
        .subcommand(slopes::slopes_command())
        .subcommand(serving::serving_command())
}

/// Runs the command that was given.
///
/// # Errors
///
/// When the command fails.
pub fn run_command(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some((replay::NAME, matches)) => replay::run_replay(matches),
        Some((emulate::NAME, matches)) => emulate::run_emulate(matches),
        Some((report::NAME, matches)) => report::run_report(matches),
        Some((slopes::NAME, matches)) => slopes::run_slopes(matches),
        Some((serving::NAME, matches)) => serving::run_serving(matches),
        Some((load::LOAD, matches)) => load::run_load_command(matches),
        Some((load::OVERHEAD, matches)) => load::run_overhead(matches),
        Some((owners::NAME, matches)) => {
            owners::run_owners(matches);
            Ok(())
        }
        _ => Err(CommandError::Unknown),
    }
}
