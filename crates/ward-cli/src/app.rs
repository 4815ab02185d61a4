//! Parses the command line and runs the command.

use std::ffi::OsString;

use clap::{ArgMatches, Command, command};
use tokio::runtime;

use crate::argument::global_arguments;
use crate::command::{ALL_COMMANDS, CommandEntry, exit_help};
use crate::context::CommandContext;
use crate::error::CliError;
use crate::exit::ExitStatus;
use crate::output::{print_error, print_text};

/// Name of the program, also in completion scripts.
pub const PROGRAM: &str = "persimmon";

/// Returns the parser of the whole command line.
#[must_use]
pub fn command_line() -> Command {
    let (plan_entries, others): (Vec<_>, Vec<_>) =
        ALL_COMMANDS.iter().partition(|entry| entry.words.len() > 1);
    let plan = Command::new("plan")
        .about("Checks, submits and follows plans")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(plan_entries.iter().map(CommandEntry::command));
    command!()
        .name(PROGRAM)
        .about("Operates a deployment of persimmonward")
        .args(global_arguments())
        .after_help(exit_help())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(plan)
        .subcommands(others.iter().map(CommandEntry::command))
}

/// Runs a command line, prints its error if it fails, and returns the exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitStatus {
    let result = command_line()
        .try_get_matches_from(arguments)
        .map_err(CliError::Usage)
        .and_then(run_matches);
    match result {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            print_failure(&error);
            error.status()
        }
    }
}

fn print_failure(error: &CliError) {
    match error {
        CliError::Usage(cause) if !cause.use_stderr() => print_text(&cause.to_string()),
        CliError::Usage(cause) => print_error(&cause.to_string()),
        _ => print_error(&format!("error: {error}\n")),
    }
}

fn run_matches(matches: ArgMatches) -> Result<(), CliError> {
    let (entry, mut matches) = find_entry(matches)?;
    let context = CommandContext::from_matches(&mut matches)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)?;
    runtime.block_on((entry.run)(context, matches))
}

fn find_entry(mut matches: ArgMatches) -> Result<(&'static CommandEntry, ArgMatches), CliError> {
    let mut words = Vec::new();
    while let Some((word, inner)) = matches.remove_subcommand() {
        words.push(word);
        matches = inner;
    }
    let entry = ALL_COMMANDS.iter().find(|entry| entry.words == words);
    match entry {
        Some(entry) => Ok((entry, matches)),
        None => Err(CliError::Usage(clap::Error::new(
            clap::error::ErrorKind::InvalidSubcommand,
        ))),
    }
}
