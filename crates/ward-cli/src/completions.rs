//! `completions`: prints the completion script of a shell.

use std::future::ready;

use clap::{Arg, ArgMatches, value_parser};
use clap_complete::{Shell, generate};
use futures::FutureExt;

use crate::app::{PROGRAM, command_line};
use crate::argument::required;
use crate::command::{CommandEntry, CommandExample};
use crate::error::CliError;
use crate::output::print_text;

/// The `completions` command.
pub const ENTRY: CommandEntry = CommandEntry {
    words: &["completions"],
    about: "Prints a shell's completion script",
    arguments,
    examples: &[CommandExample {
        line: "persimmon completions bash",
        about: "Prints the script for bash",
    }],
    run: |_, matches| ready(run(matches)).boxed(),
};

fn arguments() -> Vec<Arg> {
    vec![
        Arg::new("shell")
            .value_name("SHELL")
            .help("Shell for which the script is printed")
            .value_parser(value_parser!(Shell))
            .required(true),
    ]
}

fn run(mut matches: ArgMatches) -> Result<(), CliError> {
    let shell: Shell = required(&mut matches, "shell")?;
    let mut script = Vec::new();
    generate(shell, &mut command_line(), PROGRAM, &mut script);
    print_text(&String::from_utf8_lossy(&script));
    Ok(())
}
