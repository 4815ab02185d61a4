//! `ward-bench serving`: measures a daemon's processor time at rising rates of requests.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;
use tokio::runtime::Builder;

use super::CommandError;
use crate::load::{LoadError, LoadTask, run_load, thread_cpu_micros};
use crate::slopes::{SlopePoint, SlopeSeries};

pub(super) const NAME: &str = "serving";

const PROCESS: &str = "process";
const ADDRESS: &str = "address";
const MODEL: &str = "model";
const OUT: &str = "out";
const MACHINE: &str = "machine";
const RATES: [u32; 5] = [500, 1_000, 2_000, 4_000, 8_000];
const SECONDS: u32 = 10;
const CONNECTIONS: u64 = 64;
const THREADS: usize = 2;

/// Contents of the file that the command writes.
#[derive(Debug, Serialize)]
struct ServingReport<'a> {
    machine: &'a str,
    series: Vec<SlopeSeries>,
}

pub(super) fn serving_command() -> Command {
    let text = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).help(help).required(true)
    };
    Command::new(NAME)
        .about("Measures a daemon's processor time at rising rates of requests")
        .arg(text(PROCESS, "Process id of the daemon").value_parser(value_parser!(u32)))
        .arg(
            text(ADDRESS, "Address of the daemon for callers")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(text(
            MODEL,
            "Model with a ready replica, as callers name it",
        ))
        .arg(text(OUT, "File for the figures as JSON").value_parser(value_parser!(PathBuf)))
        .arg(text(MACHINE, "Date and machine, written into the file"))
}

pub(super) fn run_serving(matches: &ArgMatches) -> Result<(), CommandError> {
    let (Some(process), Some(address), Some(model), Some(path), Some(machine)) = (
        matches.get_one::<u32>(PROCESS),
        matches.get_one::<SocketAddr>(ADDRESS),
        matches.get_one::<String>(MODEL),
        matches.get_one::<PathBuf>(OUT),
        matches.get_one::<String>(MACHINE),
    ) else {
        return Err(CommandError::Unknown);
    };
    let mut traffic = Vec::new();
    let mut control = Vec::new();
    for rate in RATES {
        let before = cpu_time(*process)?;
        run_at_rate(*address, model, rate)?;
        let after = cpu_time(*process)?;
        let point = |from: f64, to: f64| SlopePoint {
            size: f64::from(rate),
            value: (to - from) / f64::from(SECONDS),
        };
        traffic.push(point(before.traffic, after.traffic));
        control.push(point(before.control, after.control));
    }
    let unit = "microseconds a second";
    let series = vec![
        SlopeSeries::new("traffic threads", unit, "request a second", traffic),
        SlopeSeries::new("control thread", unit, "request a second", control),
    ];
    for line in &series {
        let fit = line.fit;
        println!(
            "{}: {:.1} us per request, {:.0} us a second fixed, error {:.1} %",
            line.name,
            fit.slope,
            fit.intercept,
            fit.error * 100.0
        );
    }
    let text = serde_json::to_string_pretty(&ServingReport { machine, series })? + "\n";
    fs::write(path, text).map_err(|cause| CommandError::File(path.clone(), cause))
}

/// Processor time that a daemon's threads have used so far, in microseconds.
struct CpuTime {
    traffic: f64,
    control: f64,
}

fn cpu_time(process: u32) -> Result<CpuTime, CommandError> {
    let micros = |name| thread_cpu_micros(process, name).map_err(LoadError::from);
    Ok(CpuTime {
        traffic: micros("traffic")?,
        control: micros("control")?,
    })
}

fn run_at_rate(address: SocketAddr, model: &str, rate: u32) -> Result<(), CommandError> {
    let task = LoadTask::new(
        address,
        model.to_owned(),
        rate.into(),
        SECONDS.into(),
        CONNECTIONS,
        false,
    )?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .map_err(LoadError::from)?;
    let report = runtime.block_on(run_load(task))?;
    println!(
        "{rate} a second: {} answered, {} failed, p50 {} us, p99 {} us",
        report.answered, report.failed, report.p50, report.p99
    );
    Ok(())
}
