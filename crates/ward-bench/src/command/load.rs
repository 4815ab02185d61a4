//! `ward-bench load` and `ward-bench overhead`: open-loop load on this machine.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use tokio::runtime::{Builder, Runtime};

use super::CommandError;
use crate::load::{
    LoadError, LoadReport, LoadTask, MAX_CONNECTIONS, MAX_RATE, MAX_SECONDS, run_load,
};

/// Name of the command that loads one address.
pub(super) const LOAD: &str = "load";
/// Name of the command that compares two addresses.
pub(super) const OVERHEAD: &str = "overhead";

const ADDRESS: &str = "address";
const ENGINE: &str = "engine";
const MODEL: &str = "model";
const REPLICA: &str = "replica";
const RATE: &str = "rate";
const SECONDS: &str = "seconds";
const CONNECTIONS: &str = "connections";
const STREAM: &str = "stream";
const THREADS: usize = 2;

fn number(name: &'static str, default: &'static str, max: u64, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..=max))
}

fn shared_arguments(command: Command) -> Command {
    command
        .arg(
            Arg::new(ADDRESS)
                .long(ADDRESS)
                .help("Callers' address of a daemon on this machine")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new(MODEL)
                .long(MODEL)
                .help("Model as callers name it")
                .required(true),
        )
        .arg(number(RATE, "100", MAX_RATE, "Requests per second"))
        .arg(number(SECONDS, "10", MAX_SECONDS, "Length in seconds"))
        .arg(number(CONNECTIONS, "32", MAX_CONNECTIONS, "Connections"))
        .arg(
            Arg::new(STREAM)
                .long(STREAM)
                .help("Request streams; a latency then ends with the last chunk")
                .action(ArgAction::SetTrue),
        )
}

pub(super) fn load_command() -> Command {
    shared_arguments(
        Command::new(LOAD).about("Sends requests at a fixed rate and prints latencies"),
    )
}

pub(super) fn overhead_command() -> Command {
    let about = "Sends the same load straight to an engine and through a daemon at the same time";
    shared_arguments(Command::new(OVERHEAD).about(about))
        .arg(
            Arg::new(ENGINE)
                .long(ENGINE)
                .help("Address of a stand-in engine on this machine that holds the replica")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new(REPLICA)
                .long(REPLICA)
                .help("Replica as the engine names it, with its version")
                .required(true),
        )
}

fn read_task(matches: &ArgMatches, address: &str, model: &str) -> Result<LoadTask, CommandError> {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let (Some(address), Some(model)) = (
        matches.get_one::<SocketAddr>(address),
        matches.get_one::<String>(model),
    ) else {
        return Err(CommandError::Unknown);
    };
    Ok(LoadTask::new(
        *address,
        model.clone(),
        number(RATE),
        number(SECONDS),
        number(CONNECTIONS),
        matches.get_flag(STREAM),
    )?)
}

fn runtime() -> Result<Runtime, LoadError> {
    Ok(Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()?)
}

fn print_report(name: &str, report: &LoadReport) {
    println!(
        "{name}: {} answered, {} failed, p50 {} us, p99 {} us, p99.9 {} us, max {} us",
        report.answered, report.failed, report.p50, report.p99, report.p999, report.max
    );
}

pub(super) fn run_load_command(matches: &ArgMatches) -> Result<(), CommandError> {
    let task = read_task(matches, ADDRESS, MODEL)?;
    let report = runtime()?.block_on(run_load(task))?;
    print_report(LOAD, &report);
    Ok(())
}

pub(super) fn run_overhead(matches: &ArgMatches) -> Result<(), CommandError> {
    let through = read_task(matches, ADDRESS, MODEL)?;
    let direct = read_task(matches, ENGINE, REPLICA)?;
    let both = async { tokio::join!(run_load(direct), run_load(through)) };
    let (direct, through) = runtime()?.block_on(both);
    let (direct, through) = (direct?, through?);
    print_report("engine", &direct);
    print_report("daemon", &through);
    let added = |through: u64, direct: u64| i128::from(through) - i128::from(direct);
    println!(
        "added: median {} us, p99 {} us",
        added(through.p50, direct.p50),
        added(through.p99, direct.p99)
    );
    Ok(())
}
