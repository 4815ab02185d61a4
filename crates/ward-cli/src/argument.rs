//! Arguments that several commands share.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use clap::error::ErrorKind;
use clap::{Arg, ArgAction, ArgMatches, value_parser};
use ward_protocol::{OperatorName, PlanRevision, TimeSpan};

use crate::error::CliError;

const CURRENT: &str = "current";

/// The revision that a submitted plan is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaseChoice {
    /// The newest accepted revision when the command runs.
    Current,
    /// A revision that the operator has seen; the plan is refused unless this is still the
    /// newest accepted one.
    Revision(PlanRevision),
}

impl FromStr for BaseChoice {
    type Err = <PlanRevision as FromStr>::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == CURRENT {
            return Ok(Self::Current);
        }
        text.parse().map(Self::Revision)
    }
}

/// Parses an argument through `FromStr`.
///
/// # Errors
/// Fails when the text is not valid.
pub fn parse<T: FromStr>(text: &str) -> Result<T, T::Err> {
    text.parse()
}

/// Removes an argument that clap guarantees to be present.
///
/// # Errors
/// Fails when the argument is missing.
pub fn required<T: Clone + Send + Sync + 'static>(
    matches: &mut ArgMatches,
    id: &str,
) -> Result<T, CliError> {
    let missing = || clap::Error::new(ErrorKind::MissingRequiredArgument);
    matches
        .remove_one(id)
        .ok_or_else(|| CliError::Usage(missing()))
}

/// Returns the arguments that every command has.
#[must_use]
pub fn global_arguments() -> Vec<Arg> {
    vec![
        Arg::new("daemon")
            .long("daemon")
            .value_name("ADDRESS")
            .help("Operators' address of a daemon; more than one may be named, tried in turn")
            .value_parser(value_parser!(SocketAddr))
            .action(ArgAction::Append)
            .global(true),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .help("File that holds the operators' token")
            .value_parser(value_parser!(PathBuf))
            .global(true),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SPAN")
            .help("Longest time for one answer")
            .value_parser(parse::<TimeSpan>)
            .default_value("10s")
            .global(true),
        Arg::new("json")
            .long("json")
            .help("Print the answer as JSON")
            .action(ArgAction::SetTrue)
            .global(true),
    ]
}

/// Returns the argument for the path of a sheet.
#[must_use]
pub fn sheet_argument() -> Arg {
    Arg::new("sheet")
        .value_name("SHEET")
        .help("CSV file as the spreadsheet exports it")
        .value_parser(value_parser!(PathBuf))
        .required(true)
}

/// Returns the arguments of commands that submit a plan.
#[must_use]
pub fn submit_arguments() -> Vec<Arg> {
    vec![
        Arg::new("base")
            .long("base")
            .value_name("REVISION")
            .help("Revision that the plan is based on, as plan status shows it, or `current`")
            .value_parser(parse::<BaseChoice>)
            .required(true),
        Arg::new("author")
            .long("author")
            .value_name("NAME")
            .help("Your name for the history")
            .value_parser(parse::<OperatorName>)
            .required(true),
        Arg::new("dry-run")
            .long("dry-run")
            .help("Only show what would change")
            .action(ArgAction::SetTrue),
        Arg::new("wait")
            .long("wait")
            .help("Wait until the plan is in force on all daemons and its rows are ready")
            .action(ArgAction::SetTrue),
        Arg::new("wait-time")
            .long("wait-time")
            .value_name("SPAN")
            .help("Longest time to wait")
            .value_parser(parse::<TimeSpan>)
            .default_value("2m"),
    ]
}

/// Values of the arguments from [`submit_arguments`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitOptions {
    /// The revision that the plan is based on.
    pub base: BaseChoice,
    /// Name of the operator for the history.
    pub author: OperatorName,
    /// Only show what would change.
    pub dry_run: bool,
    /// Longest wait until the plan is in force; `None` means not to wait.
    pub wait: Option<Duration>,
}

impl SubmitOptions {
    /// Reads the options from the parsed command line.
    ///
    /// # Errors
    /// Fails when a required option is missing.
    pub fn from_matches(matches: &mut ArgMatches) -> Result<Self, CliError> {
        let wait_time: TimeSpan = required(matches, "wait-time")?;
        Ok(Self {
            base: required(matches, "base")?,
            author: required(matches, "author")?,
            dry_run: matches.get_flag("dry-run"),
            wait: matches.get_flag("wait").then(|| wait_time.duration()),
        })
    }
}
