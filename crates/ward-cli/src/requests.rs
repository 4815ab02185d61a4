//! `requests`: lists the unfinished requests of a daemon.

use clap::ArgMatches;
use futures::FutureExt;
use ward_operator::{RequestPhase, RequestsAnswer};

use crate::client::ApiRequest;
use crate::command::{CommandEntry, CommandExample};
use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::{TableText, list_or_dash};

/// The `requests` command.
pub const ENTRY: CommandEntry = CommandEntry {
    words: &["requests"],
    about: "Lists the unfinished requests of one daemon",
    arguments: Vec::new,
    examples: &[CommandExample {
        line: "persimmon requests --daemon 127.0.0.1:7003",
        about: "Shows the requests of that daemon, oldest first",
    }],
    run: |context, matches| run(context, matches).boxed(),
};

async fn run(context: CommandContext, _matches: ArgMatches) -> Result<(), CliError> {
    let requests: RequestsAnswer = context.client.read(&ApiRequest::get("/requests")).await?;
    context.format.print(&requests, || requests_text(&requests));
    Ok(())
}

fn requests_text(requests: &RequestsAnswer) -> String {
    let mut table = TableText::new(&[
        "request", "target", "state", "priority", "age", "left", "backend", "once",
    ]);
    for request in &requests.requests {
        table.add([
            request.request.to_string(),
            request.target.to_string(),
            phase_text(request.phase).to_owned(),
            request.priority.to_string(),
            request.age.to_string(),
            request.time_left.to_string(),
            list_or_dash(&request.backend),
            if request.once { "yes" } else { "no" }.to_owned(),
        ]);
    }
    format!(
        "{}{} of {} requests shown\n",
        table.render(),
        requests.requests.len(),
        requests.total
    )
}

const fn phase_text(phase: RequestPhase) -> &'static str {
    match phase {
        RequestPhase::Waiting => "waiting",
        RequestPhase::Running => "running",
        RequestPhase::Answering => "answering",
    }
}
