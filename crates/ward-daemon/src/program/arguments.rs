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

Exit codes: 0 ended as asked, 1 failed while running, 2 wrong arguments,
3 mistakes in the settings.";

/// What the program is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ProgramTask {
    /// Run a daemon with the settings in this file.
    Serve(PathBuf),
    /// Check the settings in this file and end.
    CheckSettings(PathBuf),
    /// Print the settings in this file with all defaults and end.
    PrintSettings(PathBuf),
    /// Serve callers on the users' platform.
    Gateway(GatewayOptions),
    /// Run several daemons and stand-ins in this process, and end.
    Demo(DemoOptions),
}

/// How the daemon on the users' platform is to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct GatewayOptions {
    /// The settings file; the platform names it where none is given.
    pub(super) settings: Option<PathBuf>,
    /// Whether to check the settings and end.
    pub(super) check: bool,
}

/// What the demonstration is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DemoOptions {
    /// Number of daemons.
    pub daemons: u8,
    /// Number of model engines.
    pub engines: u8,
    /// Whether log lines are written.
    pub verbose: bool,
}

/// The command with its arguments.
#[must_use]
pub fn command() -> Command {
    Command::new("persimmonward")
        .about("Daemon of a serving system for rarely used models")
        .version(clap::crate_version!())
        .after_help(EXAMPLES)
        .args_conflicts_with_subcommands(true)
        .arg_required_else_help(true)
        .arg(settings_argument().help("Settings in JSON"))
        .arg(check_argument().requires("settings"))
        .arg(
            Arg::new("print-settings")
                .long("print-settings")
                .help("Print the settings with all defaults and end")
                .requires("settings")
                .action(ArgAction::SetTrue),
        )
        .group(ArgGroup::new("only").args(["check-settings", "print-settings"]))
        .subcommand(demo_command())
        .subcommand(gateway_command())
}

fn gateway_command() -> Command {
    Command::new("gateway")
        .about("Serve callers on the users' platform, with settings as it renders them")
        .arg(settings_argument().help("Settings; the platform names the file where none is given"))
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
        .help("Check the settings and end")
        .action(ArgAction::SetTrue)
}

fn demo_command() -> Command {
    Command::new("demo")
        .about("Run daemons and stand-ins in one process, send requests, print times, end")
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

/// The task that the arguments name.
///
/// # Errors
/// When they are wrong, or ask for help.
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
            "name the settings file with --settings FILE",
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
