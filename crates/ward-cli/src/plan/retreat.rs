//! `plan retreat`: restores an earlier revision.

use clap::{Arg, ArgMatches};
use futures::FutureExt;
use ward_operator::RetreatQuery;
use ward_protocol::PlanRevision;

use super::submit::submit_plan;
use crate::argument::{SubmitOptions, parse, required, submit_arguments};
use crate::client::ApiRequest;
use crate::command::{CommandEntry, CommandExample};
use crate::context::CommandContext;
use crate::error::CliError;

/// The `plan retreat` command.
pub const ENTRY: CommandEntry = CommandEntry {
    words: &["plan", "retreat"],
    about: "Restores the content of an earlier revision as a new revision",
    arguments,
    examples: &[CommandExample {
        line: "persimmon plan retreat 1 --base current --author ana --daemon 127.0.0.1:7003",
        about: "Restores the content of revision 1",
    }],
    run: |context, matches| run(context, matches).boxed(),
};

fn arguments() -> Vec<Arg> {
    let to = Arg::new("to")
        .value_name("REVISION")
        .help("Revision to go back to, as plan history shows it")
        .value_parser(parse::<PlanRevision>)
        .required(true);
    let mut arguments = vec![to];
    arguments.extend(submit_arguments());
    arguments
}

async fn run(context: CommandContext, mut matches: ArgMatches) -> Result<(), CliError> {
    let to: PlanRevision = required(&mut matches, "to")?;
    let options = SubmitOptions::from_matches(&mut matches)?;
    submit_plan(&context, &options, |parameters| {
        let query = RetreatQuery {
            base: parameters.base,
            to,
            author: parameters.author,
            record: parameters.record,
            dry_run: parameters.dry_run,
        };
        ApiRequest::post("/plan/retreat", &query, Vec::new())
    })
    .await
}
