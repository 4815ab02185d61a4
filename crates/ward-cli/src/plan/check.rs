//! `plan check`: finds mistakes in a sheet.

use std::path::PathBuf;

use clap::{Arg, ArgMatches};
use futures::FutureExt;
use ward_operator::SubmitAnswer;

use super::show::{SheetFile, answer_text};
use crate::argument::{required, sheet_argument};
use crate::client::ApiRequest;
use crate::command::{CommandEntry, CommandExample};
use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::OutputFormat;

/// The `plan check` command.
pub const ENTRY: CommandEntry = CommandEntry {
    words: &["plan", "check"],
    about: "Finds the mistakes of a sheet; with a daemon, also shows what would change",
    arguments,
    examples: &[
        CommandExample {
            line: "persimmon plan check examples/ljubljana.csv",
            about: "Checks the sheet without asking any daemon",
        },
        CommandExample {
            line: "persimmon plan check examples/riga.csv --daemon 127.0.0.1:7003",
            about: "Checks the sheet and compares it with the plan in force",
        },
    ],
    run: |context, matches| run(context, matches).boxed(),
};

fn arguments() -> Vec<Arg> {
    vec![sheet_argument()]
}

async fn run(context: CommandContext, mut matches: ArgMatches) -> Result<(), CliError> {
    let path: PathBuf = required(&mut matches, "sheet")?;
    let file = SheetFile::read(&path)?;
    if context.client.daemons().is_empty() {
        print_rows(context.format, file.sheet.rows().len());
        return Ok(());
    }
    let request = ApiRequest::post("/plan/check", &(), file.bytes)?;
    let answer: SubmitAnswer = context.client.read(&request).await?;
    context.format.print(&answer, || answer_text(&answer));
    Ok(())
}

fn print_rows(format: OutputFormat, rows: usize) {
    let answer = CheckedSheet { rows };
    format.print(&answer, || format!("no mistakes in {rows} rows\n"));
}

/// Answer for a sheet that was checked without a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
struct CheckedSheet {
    rows: usize,
}
