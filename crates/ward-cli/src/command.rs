//! How a command describes itself.

use std::fmt::Write;

use clap::{Arg, ArgMatches, Command};
use futures::future::BoxFuture;

use crate::context::CommandContext;
use crate::error::CliError;
use crate::exit::ExitStatus;
use crate::{completions, dump, hosts, models, plan, requests};

/// The future of a command's end.
pub type CommandFuture = BoxFuture<'static, Result<(), CliError>>;

/// A command line that works, and what it does.
#[derive(Debug, Clone, Copy)]
pub struct CommandExample {
    /// The whole line.
    pub line: &'static str,
    /// What it does.
    pub about: &'static str,
}

/// A command.
#[derive(Debug, Clone, Copy)]
pub struct CommandEntry {
    /// Its words, such as `plan` and `submit`.
    pub words: &'static [&'static str],
    /// One line about it.
    pub about: &'static str,
    /// Its own arguments.
    pub arguments: fn() -> Vec<Arg>,
    /// Lines that work.
    pub examples: &'static [CommandExample],
    /// What it runs.
    pub run: fn(CommandContext, ArgMatches) -> CommandFuture,
}

/// All commands.
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
    /// The last of its words.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.words.last().copied().unwrap_or_default()
    }

    /// The command for the parser.
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

/// The exit codes as a help text.
#[must_use]
pub fn exit_help() -> String {
    let mut text = String::from("Exit codes:\n");
    for status in ExitStatus::ALL {
        let _ = writeln!(text, "  {}  {}", status.number(), status.about());
    }
    text
}
