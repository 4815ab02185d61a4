//! `plan history`: lists submitted plans and whether they were accepted.

use clap::{Arg, ArgMatches, value_parser};
use futures::FutureExt;
use ward_operator::{HistoryAnswer, HistoryEntry, HistoryKind, HistoryQuery, HistoryVerdict};
use ward_protocol::RecordId;

use crate::argument::parse;
use crate::client::ApiRequest;
use crate::command::{CommandEntry, CommandExample};
use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::TableText;

/// The `plan history` command.
pub const ENTRY: CommandEntry = CommandEntry {
    words: &["plan", "history"],
    about: "Lists submitted plans, newest first",
    arguments,
    examples: &[
        CommandExample {
            line: "persimmon plan history --limit 5 --daemon 127.0.0.1:7003",
            about: "Shows the last five",
        },
        CommandExample {
            line: "persimmon plan history --record 0123456789abcdef0123456789abcdef \
                   --daemon 127.0.0.1:7003",
            about: "Shows what became of a plan whose answer was lost",
        },
    ],
    run: |context, matches| run(context, matches).boxed(),
};

fn arguments() -> Vec<Arg> {
    vec![
        Arg::new("limit")
            .long("limit")
            .value_name("COUNT")
            .help("Maximum number of entries to show")
            .value_parser(value_parser!(u32).range(1..))
            .default_value("20"),
        Arg::new("record")
            .long("record")
            .value_name("ID")
            .help("Show only the plan with this record id")
            .value_parser(parse::<RecordId>),
    ]
}

async fn run(context: CommandContext, mut matches: ArgMatches) -> Result<(), CliError> {
    let query = HistoryQuery {
        limit: matches.remove_one("limit"),
        record: matches.remove_one("record"),
    };
    let request = ApiRequest::get_with("/plan/history", &query)?;
    let history: HistoryAnswer = context.client.read(&request).await?;
    context.format.print(&history, || history_text(&history));
    Ok(())
}

fn history_text(history: &HistoryAnswer) -> String {
    let mut table = TableText::new(&[
        "revision", "when", "author", "base", "what", "end", "record",
    ]);
    for entry in &history.entries {
        table.add([
            entry.revision.to_string(),
            entry.submitted_at.to_string(),
            entry.author.to_string(),
            entry.base.to_string(),
            kind_text(entry),
            verdict_text(entry.verdict).to_owned(),
            entry.record.to_string(),
        ]);
    }
    let mut text = table.render();
    if !history.complete {
        text.push_str("the daemon may not have read the newest records yet\n");
    }
    text
}

fn kind_text(entry: &HistoryEntry) -> String {
    match entry.kind {
        HistoryKind::Whole => format!("{} rows", entry.rows),
        HistoryKind::Rows => "some rows".to_owned(),
        HistoryKind::Retreat { to } => format!("back to {to}"),
    }
}

const fn verdict_text(verdict: HistoryVerdict) -> &'static str {
    match verdict {
        HistoryVerdict::Accepted => "accepted",
        HistoryVerdict::Stale => "refused, stale base",
        HistoryVerdict::Invalid => "refused, not usable",
    }
}
