//! `plan diff`: shows the differences between two revisions.

use clap::{Arg, ArgMatches};
use futures::FutureExt;
use ward_operator::DiffQuery;
use ward_plan::SheetDifference;
use ward_protocol::PlanRevision;

use super::show::difference_text;
use crate::argument::{parse, required};
use crate::client::ApiRequest;
use crate::command::{CommandEntry, CommandExample};
use crate::context::CommandContext;
use crate::error::CliError;

/// The `plan diff` command.
pub const ENTRY: CommandEntry = CommandEntry {
    words: &["plan", "diff"],
    about: "Shows what changes from one revision to another",
    arguments,
    examples: &[CommandExample {
        line: "persimmon plan diff 0 1 --daemon 127.0.0.1:7003",
        about: "Shows what revision 1 changed in the empty plan",
    }],
    run: |context, matches| run(context, matches).boxed(),
};

fn arguments() -> Vec<Arg> {
    vec![
        Arg::new("from")
            .value_name("FROM")
            .help("Earlier revision")
            .value_parser(parse::<PlanRevision>)
            .required(true),
        Arg::new("to")
            .value_name("TO")
            .help("Later revision; the newest accepted one when absent")
            .value_parser(parse::<PlanRevision>),
    ]
}

async fn run(context: CommandContext, mut matches: ArgMatches) -> Result<(), CliError> {
    let query = DiffQuery {
        from: required(&mut matches, "from")?,
        to: matches.remove_one("to"),
    };
    let request = ApiRequest::get_with("/plan/diff", &query)?;
    let difference: SheetDifference = context.client.read(&request).await?;
    context
        .format
        .print(&difference, || difference_text(&difference));
    Ok(())
}
