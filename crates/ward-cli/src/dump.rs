//! `dump`: prints the whole state of one daemon.

use clap::ArgMatches;
use futures::FutureExt;
use ward_operator::DumpAnswer;

use crate::client::ApiRequest;
use crate::command::{CommandEntry, CommandExample};
use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::OutputFormat;

/// The `dump` command.
pub const ENTRY: CommandEntry = CommandEntry {
    words: &["dump"],
    about: "Shows the whole state of one daemon as JSON",
    arguments: Vec::new,
    examples: &[CommandExample {
        line: "persimmon dump --daemon 127.0.0.1:7003",
        about: "Shows the state of that daemon",
    }],
    run: |context, matches| run(context, matches).boxed(),
};

async fn run(context: CommandContext, _matches: ArgMatches) -> Result<(), CliError> {
    let dump: DumpAnswer = context.client.read(&ApiRequest::get("/dump")).await?;
    OutputFormat::Json.print(&dump, String::new);
    Ok(())
}
