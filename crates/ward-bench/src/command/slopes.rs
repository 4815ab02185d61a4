//! `ward-bench slopes`: measures time, memory and bytes as state and traffic grow.

use std::fs;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;

use super::CommandError;
use crate::slopes::{
    SlopeSeries, WireSize, measure_state, measure_status, measure_steps, measure_wire,
};

pub(super) const NAME: &str = "slopes";

const OUT: &str = "out";
const MACHINE: &str = "machine";

/// Contents of the file that the command writes.
#[derive(Debug, Serialize)]
struct SlopeReport<'a> {
    machine: &'a str,
    series: Vec<SlopeSeries>,
    wire: Vec<WireSize>,
}

pub(super) fn slopes_command() -> Command {
    Command::new(NAME)
        .about("Measures what state, snapshots, views and messages cost as they grow")
        .arg(
            Arg::new(OUT)
                .long(OUT)
                .help("File for the figures as JSON")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new(MACHINE)
                .long(MACHINE)
                .help("Date and machine, written into the file")
                .required(true),
        )
}

pub(super) fn run_slopes(matches: &ArgMatches) -> Result<(), CommandError> {
    let (Some(path), Some(machine)) = (
        matches.get_one::<PathBuf>(OUT),
        matches.get_one::<String>(MACHINE),
    ) else {
        return Err(CommandError::Unknown);
    };
    let mut series = measure_state()?;
    series.extend(measure_steps()?);
    series.push(measure_status()?);
    let wire = measure_wire()?;
    for line in &series {
        println!(
            "{} per {}: {:.4} {} each, {:.1} fixed, error {:.1} %",
            line.name,
            line.per,
            line.fit.slope,
            line.unit,
            line.fit.intercept,
            line.fit.error * 100.0
        );
    }
    for size in &wire {
        println!("{}: {} bytes", size.name, size.bytes);
    }
    let report = SlopeReport {
        machine,
        series,
        wire,
    };
    let text = serde_json::to_string_pretty(&report)? + "\n";
    fs::write(path, text).map_err(|cause| CommandError::File(path.clone(), cause))
}
