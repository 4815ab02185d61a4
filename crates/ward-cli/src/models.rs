//! `models`: lists the models of the plan and the engines that hold them.

use clap::ArgMatches;
use futures::FutureExt;
use ward_operator::ModelsAnswer;

use crate::client::ApiRequest;
use crate::command::{CommandEntry, CommandExample};
use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::{TableText, list_or_dash};

/// The `models` command.
pub const ENTRY: CommandEntry = CommandEntry {
    words: &["models"],
    about: "Lists the models and adapters of the plan in force and where they are",
    arguments: Vec::new,
    examples: &[CommandExample {
        line: "persimmon models --daemon 127.0.0.1:7003",
        about: "Shows all models and adapters",
    }],
    run: |context, matches| run(context, matches).boxed(),
};

async fn run(context: CommandContext, _matches: ArgMatches) -> Result<(), CliError> {
    let models: ModelsAnswer = context.client.read(&ApiRequest::get("/models")).await?;
    context.format.print(&models, || models_text(&models));
    Ok(())
}

fn models_text(models: &ModelsAnswer) -> String {
    let mut table = TableText::new(&[
        "model", "priority", "memory", "most", "ready", "loading", "waiting",
    ]);
    for model in &models.models {
        table.add([
            model.key.to_string(),
            model.priority.to_string(),
            model.memory.to_string(),
            model.replicas.to_string(),
            list_or_dash(&model.ready),
            list_or_dash(&model.loading),
            model.waiting.to_string(),
        ]);
    }
    table.render()
}
