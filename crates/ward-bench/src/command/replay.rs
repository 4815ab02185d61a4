//! `ward-bench replay`: compares policies over a week's requests.

use std::fs;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::CommandError;
use crate::replay::{ReplayTask, ReplayTrouble, WorkloadFile, compare_policies};
use crate::report::{policy_table, target_table};

pub(super) const NAME: &str = "replay";

const SEEDS: &str = "seeds";
const TROUBLE: &str = "trouble";
const THREADS: &str = "threads";
const OUT: &str = "out";
const ALL: &str = "all";
const WORKLOADS: &str = "workloads";

pub(super) fn replay_command() -> Command {
    Command::new(NAME)
        .about("Compares policies over a week's requests")
        .arg(
            Arg::new(WORKLOADS)
                .help("Files that describe workloads")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new(SEEDS)
                .long(SEEDS)
                .help("Number of seeds, counted from 1")
                .default_value("5")
                .value_parser(value_parser!(u64).range(1..=100)),
        )
        .arg(
            Arg::new(TROUBLE)
                .long(TROUBLE)
                .help("Also replay with a slow store and with the log down")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new(THREADS)
                .long(THREADS)
                .help("Number of threads")
                .default_value("4")
                .value_parser(value_parser!(u64).range(1..=10)),
        )
        .arg(
            Arg::new(ALL)
                .long(ALL)
                .help("Print every policy, not only the comparison")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new(OUT)
                .long(OUT)
                .help("File for the rows as JSON")
                .value_parser(value_parser!(PathBuf)),
        )
}

pub(super) fn run_replay(matches: &ArgMatches) -> Result<(), CommandError> {
    let rows = compare_policies(&read_task(matches)?)?;
    if let Some(path) = matches.get_one::<PathBuf>(OUT) {
        let text = serde_json::to_string(&rows)?;
        fs::write(path, text).map_err(|cause| CommandError::File(path.clone(), cause))?;
    }
    if matches.get_flag(ALL) {
        println!("{}", policy_table(&rows));
    }
    println!("{}", target_table(&rows));
    Ok(())
}

fn read_task(matches: &ArgMatches) -> Result<ReplayTask, CommandError> {
    let paths = matches.get_many::<PathBuf>(WORKLOADS).into_iter().flatten();
    let files: Result<Vec<WorkloadFile>, _> = paths.map(|path| WorkloadFile::read(path)).collect();
    let seeds = matches.get_one::<u64>(SEEDS).copied().unwrap_or(1);
    let threads = matches.get_one::<u64>(THREADS).copied().unwrap_or(1);
    let troubles = if matches.get_flag(TROUBLE) {
        ReplayTrouble::ALL.to_vec()
    } else {
        vec![ReplayTrouble::None]
    };
    Ok(ReplayTask {
        files: files?,
        troubles,
        seeds: (1..=seeds).collect(),
        threads: usize::try_from(threads).unwrap_or(1),
    })
}
