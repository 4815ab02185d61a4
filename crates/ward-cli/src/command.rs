//! The table of all commands and their descriptions.

use std::fmt::Write;

use clap::{Arg, ArgMatches, Command};
use futures::future::BoxFuture;

use crate::context::CommandContext;
use crate::error::CliError;
use crate::exit::ExitStatus;
use crate::{completions, dump, hosts, models, plan, requests};

/// The future of a running command.
pub type CommandFuture = BoxFuture<'static, Result<(), CliError>>;

/// An example of a command line for the help text; a test runs all of them.
#[derive(Debug, Clone, Copy)]
pub struct CommandExample {
    /// The whole command line.
    pub line: &'static str,
    /// What the command line does.
    pub about: &'static str,
}

/// Description of a command.
#[derive(Debug, Clone, Copy)]
pub struct CommandEntry {
    /// Words that select the command, such as `plan` and `submit`.
    pub words: &'static [&'static str],
    /// Summary for the help text, one line.
    pub about: &'static str,
    /// Returns the arguments that only this command has.
    pub arguments: fn() -> Vec<Arg>,
    /// Examples for the help text.
    pub examples: &'static [CommandExample],
    /// Function that runs the command.
    pub run: fn(CommandContext, ArgMatches) -> CommandFuture,
}

/// All commands in the order of the help text.
pub const ALL_COMMANDS: &[CommandEntry] = &[
    plan::check::ENTRY,
    plan::submit::ENTRY,
    plan::status::ENTRY,
    plan::history::ENTRY,
    plan::diff::ENTRY,
    plan::retreat::ENTRY,
    hosts::ENTRY,
    models::ENTRY,
    requests::ENTRY,
    dump::ENTRY,
    completions::ENTRY,
];

impl CommandEntry {
    /// Returns the last of the words, which names the command for clap.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.words.last().copied().unwrap_or_default()
    }

    /// Creates the clap command with its arguments and help text.
    #[must_use]
    pub fn command(&self) -> Command {
        Command::new(self.name())
            .about(self.about)
            .args((self.arguments)())
            .after_help(format!("{}\n{}", self.example_help(), exit_help()))
    }

    fn example_help(&self) -> String {
        let mut text = String::from("Examples:\n");
        for example in self.examples {
            let _ = writeln!(text, "  {}\n      {}", example.line, example.about);
        }
        text
    }
}

/// Returns the help text that lists the exit codes.
#[must_use]
pub fn exit_help() -> String {
    let mut text = String::from("Exit codes:\n");
    for status in ExitStatus::ALL {
        let _ = writeln!(text, "  {}  {}", status.number(), status.about());
    }
    text
}
