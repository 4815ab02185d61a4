//! Arguments of `persimmonward`.

use std::ffi::OsString;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command, value_parser};

const EXAMPLES: &str = "\
Examples:
  persimmonward --settings examples/ljubljana.json
  persimmonward --settings examples/ljubljana.json --check-settings
  persimmonward demo
  persimmonward gateway --settings /etc/persimmonward/settings.yaml --check-settings

Exit codes: 0 success, 1 failure while running, 2 wrong arguments,
3 mistakes in the settings.";

/// The task selected by the arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ProgramTask {
    /// Run a daemon with the settings file.
    Serve(PathBuf),
    /// Check the settings file and exit.
    CheckSettings(PathBuf),
    /// Print the settings with all defaults and exit.
    PrintSettings(PathBuf),
    /// Run a daemon on the users' platform.
    Gateway(GatewayOptions),
    /// Run daemons and stand-ins in this process, send some requests and exit.
    Demo(DemoOptions),
}

/// Arguments of `persimmonward gateway`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct GatewayOptions {
    /// The settings file; when absent, the platform provides its path.
    pub(super) settings: Option<PathBuf>,
    /// Whether to only check the settings.
    pub(super) check: bool,
}

/// Arguments of `persimmonward demo`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DemoOptions {
    /// Number of daemons to start, 1 to 9.
    pub daemons: u8,
    /// Number of model engines to start, 1 to 32.
    pub engines: u8,
    /// Whether the daemons' log lines are written.
    pub verbose: bool,
}

/// The command line definition of `persimmonward`.
#[must_use]
pub fn command() -> Command {
    Command::new("persimmonward")
        .about("Daemon of a serving system for rarely used models")
        .version(clap::crate_version!())
        .after_help(EXAMPLES)
        .args_conflicts_with_subcommands(true)
        .arg_required_else_help(true)
        .arg(settings_argument().help("Settings file in JSON"))
        .arg(check_argument().requires("settings"))
        .arg(
            Arg::new("print-settings")
                .long("print-settings")
                .help("Print the settings with all defaults and exit")
                .requires("settings")
                .action(ArgAction::SetTrue),
        )
        .group(ArgGroup::new("only").args(["check-settings", "print-settings"]))
        .subcommand(demo_command())
        .subcommand(gateway_command())
}

fn gateway_command() -> Command {
    Command::new("gateway")
        .about("Run a daemon on the users' platform, with the settings that it renders")
        .arg(settings_argument().help("Settings file; when absent, the platform provides its path"))
        .arg(check_argument())
}

fn settings_argument() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
}

fn check_argument() -> Arg {
    Arg::new("check-settings")
        .long("check-settings")
        .help("Check the settings and exit")
        .action(ArgAction::SetTrue)
}

fn demo_command() -> Command {
    Command::new("demo")
        .about("Run daemons and stand-ins in one process, send requests, print times and exit")
        .after_help("Example:\n  persimmonward demo --daemons 3 --engines 4")
        .arg(
            Arg::new("daemons")
                .long("daemons")
                .help("Number of daemons")
                .default_value("3")
                .value_parser(value_parser!(u8).range(1..=9)),
        )
        .arg(
            Arg::new("engines")
                .long("engines")
                .help("Number of model engines")
                .default_value("4")
                .value_parser(value_parser!(u8).range(1..=32)),
        )
        .arg(
            Arg::new("verbose")
                .long("verbose")
                .help("Write the daemons' log lines")
                .action(ArgAction::SetTrue),
        )
}

/// Parses the arguments, the program name first.
///
/// # Errors
/// When the arguments are wrong, or request the help or version text.
pub(super) fn parse(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<ProgramTask, clap::Error> {
    let matches = command().try_get_matches_from(arguments)?;
    if let Some(("demo", matches)) = matches.subcommand() {
        return Ok(ProgramTask::Demo(demo_options(matches)));
    }
    if let Some(("gateway", matches)) = matches.subcommand() {
        return Ok(ProgramTask::Gateway(gateway_options(matches)));
    }
    let path = matches.get_one::<PathBuf>("settings").cloned();
    let Some(path) = path else {
        return Err(command().error(
            clap::error::ErrorKind::MissingRequiredArgument,
            "give the settings file with --settings FILE",
        ));
    };
    if matches.get_flag("check-settings") {
        return Ok(ProgramTask::CheckSettings(path));
    }
    if matches.get_flag("print-settings") {
        return Ok(ProgramTask::PrintSettings(path));
    }
    Ok(ProgramTask::Serve(path))
}

fn gateway_options(matches: &ArgMatches) -> GatewayOptions {
    GatewayOptions {
        settings: matches.get_one::<PathBuf>("settings").cloned(),
        check: matches.get_flag("check-settings"),
    }
}

fn demo_options(matches: &ArgMatches) -> DemoOptions {
    let count = |name: &str| matches.get_one::<u8>(name).copied().unwrap_or(1);
    DemoOptions {
        daemons: count("daemons"),
        engines: count("engines"),
        verbose: matches.get_flag("verbose"),
    }
}
