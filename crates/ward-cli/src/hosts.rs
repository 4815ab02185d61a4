//! `hosts`: lists daemons and backend servers.

use clap::ArgMatches;
use futures::FutureExt;
use ward_operator::{BackendItem, HostsAnswer};
use ward_protocol::{BackendKind, EngineRole, FencingSupport};

use crate::client::ApiRequest;
use crate::command::{CommandEntry, CommandExample};
use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::{TableText, list_or_dash};

/// The `hosts` command.
pub const ENTRY: CommandEntry = CommandEntry {
    words: &["hosts"],
    about: "Lists daemons and backend servers",
    arguments: Vec::new,
    examples: &[CommandExample {
        line: "persimmon hosts --daemon 127.0.0.1:7003",
        about: "Shows all hosts",
    }],
    run: |context, matches| run(context, matches).boxed(),
};

async fn run(context: CommandContext, _matches: ArgMatches) -> Result<(), CliError> {
    let hosts: HostsAnswer = context.client.read(&ApiRequest::get("/hosts")).await?;
    context.format.print(&hosts, || hosts_text(&hosts));
    Ok(())
}

fn hosts_text(hosts: &HostsAnswer) -> String {
    let mut daemons = TableText::new(&["daemon", "zone", "callers", "operators", "silent"]);
    for daemon in &hosts.daemons {
        daemons.add([
            daemon.daemon.to_string(),
            daemon.zone.to_string(),
            daemon.callers.to_string(),
            daemon.operators.to_string(),
            daemon.silent.to_string(),
        ]);
    }
    let mut backends = TableText::new(&[
        "backend", "zone", "address", "use", "fencing", "owner", "memory", "counted", "replicas",
        "load",
    ]);
    for backend in &hosts.backends {
        backends.add([
            backend.backend.to_string(),
            backend.zone.to_string(),
            backend.address.to_string(),
            use_text(backend).to_owned(),
            fencing_text(backend).to_owned(),
            list_or_dash(&backend.owner),
            backend.memory.to_string(),
            backend.counted.to_string(),
            backend.replicas.to_string(),
            backend.load.to_string(),
        ]);
    }
    format!("{}\n{}", daemons.render(), backends.render())
}

const fn use_text(backend: &BackendItem) -> &'static str {
    if backend.leaving {
        return "leaving";
    }
    match (backend.kind, backend.role) {
        (BackendKind::Service, _) => "service",
        (BackendKind::Engine, Some(EngineRole::Serving)) => "serving",
        (BackendKind::Engine, Some(EngineRole::Prefill)) => "prefill",
        (BackendKind::Engine, Some(EngineRole::Decode)) => "decode",
        (BackendKind::Engine, Some(EngineRole::Standby)) => "standby",
        (BackendKind::Engine, None) => "unknown",
    }
}

const fn fencing_text(backend: &BackendItem) -> &'static str {
    match (backend.kind, backend.fencing) {
        (BackendKind::Service, _) => "-",
        (BackendKind::Engine, FencingSupport::Checks) => "checks",
        (BackendKind::Engine, FencingSupport::Ignores) => "ignores",
    }
}
