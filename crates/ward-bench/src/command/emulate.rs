//! `ward-bench emulate`: emulates days in virtual time, beside an upper bound.

use std::fs;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use ward_protocol::TimeSpan;

use super::CommandError;
use crate::emulator::overload::{
    DemandMix, OverloadOrder, draw_calls, overload_table, run_overload,
};
use crate::emulator::{
    DayPlan, EmulatedDay, SiteConfig, day_svg, day_table, draw_requests, perfect_outcome, run_day,
};

pub(super) const NAME: &str = "emulate";

const DAYS: &str = "days";
/// Emulation of one overloaded queue instead of a day.
const OVERLOAD: &str = "overload";
/// Multiples of what engines can do at which an overloaded queue is emulated.
const OVERLOADS: [f64; 5] = [0.8, 1.0, 1.5, 2.0, 3.0];
const OVERLOAD_LENGTH: TimeSpan = TimeSpan::from_secs(40);
const URGENT_PERCENT: &str = "urgent-percent";
const SEED: &str = "seed";
const ENGINES: &str = "engines";
const MODELS: &str = "models";
const AT_ONCE: &str = "at-once";
const LOAD_MILLIS: &str = "load-millis";
const OUT: &str = "out";

pub(super) fn emulate_command() -> Command {
    let number = |name: &'static str, help: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .default_value(default)
            .value_parser(value_parser!(u32).range(1..=100_000))
    };
    Command::new(NAME)
        .about("Emulates days of engines and the weight store in virtual time")
        .arg(
            Arg::new(DAYS)
                .help("Days to emulate, or overload; all days when none is named")
                .num_args(0..),
        )
        .arg(number(SEED, "Seed of the requests", "1"))
        .arg(number(ENGINES, "Engines", "9"))
        .arg(number(MODELS, "Models", "50"))
        .arg(number(AT_ONCE, "Concurrent loads at full speed", "4"))
        .arg(number(
            LOAD_MILLIS,
            "Load time from the weight store, in milliseconds",
            "6000",
        ))
        .arg(number(
            URGENT_PERCENT,
            "Part of small urgent requests, for overload",
            "30",
        ))
        .arg(
            Arg::new(OUT)
                .long(OUT)
                .help("Folder for a curve of each day")
                .value_parser(value_parser!(PathBuf)),
        )
}

pub(super) fn run_emulate(matches: &ArgMatches) -> Result<(), CommandError> {
    let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or(1);
    let config = SiteConfig {
        engines: number(ENGINES) as usize,
        models: number(MODELS) as usize,
        full_speed_loads: number(AT_ONCE),
        store_load: TimeSpan::from_millis(number(LOAD_MILLIS).into()),
        ..SiteConfig::default()
    };
    if is_overload(matches) {
        let percent = f64::from(number(URGENT_PERCENT).min(96));
        print_overload(percent / 100.0, number(SEED).into());
        return Ok(());
    }
    for day in named_days(matches)? {
        let plan = DayPlan::new(day, &config);
        let requests = draw_requests(&config, &plan, number(SEED).into());
        let outcome = run_day(&config, &plan, &requests)?;
        let bound = perfect_outcome(&config, &plan, &requests);
        println!("{}", day_table(day, &outcome, &bound));
        if let Some(folder) = matches.get_one::<PathBuf>(OUT) {
            let path = folder.join(format!("emulated-{day}.svg"));
            fs::write(&path, day_svg(day, &outcome, &bound))
                .map_err(|cause| CommandError::File(path.clone(), cause))?;
        }
    }
    Ok(())
}

fn is_overload(matches: &ArgMatches) -> bool {
    let names = matches.get_many::<String>(DAYS).into_iter().flatten();
    let names: Vec<_> = names.collect();
    names == [OVERLOAD]
}

/// Prints what becomes of requests at several loads, in either order of the queue.
fn print_overload(urgent: f64, seed: u64) {
    let mix = DemandMix { urgent, long: 0.03 };
    println!(
        "| load | order | kind | asked | on time | late | refused | lost | refused again \
         | on time, part | served, part | largest tenth, served |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for load in OVERLOADS {
        let calls = draw_calls(mix, load, OVERLOAD_LENGTH, seed);
        for (name, order) in [
            ("latest start", OverloadOrder::LatestStart),
            ("deferring", OverloadOrder::Deferring),
        ] {
            let outcome = run_overload(&calls, order);
            print!("{}", overload_table(load, name, &outcome));
        }
    }
}

fn named_days(matches: &ArgMatches) -> Result<Vec<EmulatedDay>, CommandError> {
    let names = matches.get_many::<String>(DAYS).into_iter().flatten();
    let days: Result<Vec<EmulatedDay>, _> = names.map(|name| name.parse()).collect();
    let days = days?;
    Ok(if days.is_empty() {
        EmulatedDay::ALL.to_vec()
    } else {
        days
    })
}
