//! Subcommands of the program, one per stand-in.

mod arguments;
mod engine;
mod hosts;
mod link;
mod log;
mod service;

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{ArgMatches, Command};
use quick_error::quick_error;
use ward_standin::StandinError;

quick_error! {
    /// Reason why a subcommand cannot run.
    #[derive(Debug)]
    enum CommandError {
        /// No subcommand was named.
        Subcommand {
            display("name a subcommand: log, hosts, engine, service or link")
        }
        /// A required argument is missing.
        Missing(name: &'static str) {
            display("--{name} is missing")
        }
        /// The stand-in cannot start.
        Start(cause: StandinError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// The address cannot be written to standard output.
        Output(cause: io::Error) {
            from()
            display("cannot print the address: {cause}")
            source(cause)
        }
    }
}

/// Runs the stand-in that the command line names, until the process is killed.
pub(crate) async fn run() -> ExitCode {
    match serve().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve() -> Result<(), CommandError> {
    let matches = program().get_matches();
    let standin = match matches.subcommand() {
        Some(("link", matches)) => return serve_link(matches).await,
        Some(("log", matches)) => log::start(matches).await?,
        Some(("hosts", matches)) => hosts::start(matches).await?,
        Some(("engine", matches)) => engine::start(matches).await?,
        Some(("service", matches)) => service::start(matches).await?,
        Some(_) | None => return Err(CommandError::Subcommand),
    };
    print_address("listening", standin.address)?;
    standin.ended().await;
    Ok(())
}

async fn serve_link(matches: &ArgMatches) -> Result<(), CommandError> {
    let link = link::start(matches).await?;
    print_address("listening", link.address)?;
    print_address("control", link.control.address)?;
    link.ended().await;
    Ok(())
}

fn program() -> Command {
    Command::new("ward-standin")
        .version(clap::crate_version!())
        .about("Stands in for the platform or a backend server in tests")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(log::command())
        .subcommand(hosts::command())
        .subcommand(link::command())
        .subcommand(engine::command())
        .subcommand(service::command())
}

fn print_address(label: &str, address: SocketAddr) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "{label} on {address}")?;
    output.flush()
}
