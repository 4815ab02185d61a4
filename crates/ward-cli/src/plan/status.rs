//! `plan status`: shows the progress of the plan on the daemons and for each row.

use clap::{Arg, ArgAction, ArgMatches};
use futures::FutureExt;
use ward_operator::{
    DaemonItem, PlanStatusAnswer, PlanStatusQuery, RowFilter, RowPhase, RowStatus,
};

use crate::client::ApiRequest;
use crate::command::{CommandEntry, CommandExample};
use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::TableText;

/// The `plan status` command.
pub const ENTRY: CommandEntry = CommandEntry {
    words: &["plan", "status"],
    about: "Shows which revision each daemon has in force and which rows are short",
    arguments,
    examples: &[
        CommandExample {
            line: "persimmon plan status --daemon 127.0.0.1:7003",
            about: "Shows the daemons and the rows that are not ready",
        },
        CommandExample {
            line: "persimmon plan status --all --json --daemon 127.0.0.1:7003",
            about: "Prints everything as JSON for a program",
        },
    ],
    run: |context, matches| run(context, matches).boxed(),
};

fn arguments() -> Vec<Arg> {
    vec![
        Arg::new("all")
            .long("all")
            .help("Show rows that are ready as well")
            .action(ArgAction::SetTrue),
    ]
}

async fn run(context: CommandContext, matches: ArgMatches) -> Result<(), CliError> {
    let rows = if matches.get_flag("all") {
        RowFilter::All
    } else {
        RowFilter::Open
    };
    let request = ApiRequest::get_with("/plan/status", &PlanStatusQuery { rows })?;
    let status: PlanStatusAnswer = context.client.read(&request).await?;
    context.format.print(&status, || status_text(&status));
    Ok(())
}

fn status_text(status: &PlanStatusAnswer) -> String {
    let open = status
        .rows
        .iter()
        .filter(|row| row.phase != RowPhase::Ready)
        .count();
    let mut text = format!(
        "accepted revision {}, in force here {}; {open} rows not ready\n\n{}",
        status.accepted,
        status.adopted,
        daemon_table(&status.daemons).render(),
    );
    if !status.rows.is_empty() {
        text.push('\n');
        text.push_str(&row_table(&status.rows).render());
    }
    text
}

fn daemon_table(daemons: &[DaemonItem]) -> TableText {
    let mut table = TableText::new(&["daemon", "zone", "in force", "silent"]);
    for daemon in daemons {
        let adopted = daemon
            .adopted
            .map_or("unknown".to_owned(), |revision| revision.to_string());
        table.add([
            daemon.daemon.to_string(),
            daemon.zone.to_string(),
            adopted,
            daemon.silent.to_string(),
        ]);
    }
    table
}

fn row_table(rows: &[RowStatus]) -> TableText {
    let mut table = TableText::new(&["row", "state", "ready", "loading", "wanted", "most", "why"]);
    for row in rows {
        let why = row
            .reason
            .map_or(String::new(), |reason| reason.to_string());
        table.add([
            row.target.to_string(),
            row.phase.to_string(),
            row.ready.to_string(),
            row.loading.to_string(),
            row.wanted.to_string(),
            row.replicas.to_string(),
            why,
        ]);
    }
    table
}
