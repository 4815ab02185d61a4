//! `ward-bench owners`: compares ownership rules.

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::owners::{OwnerTask, measure_owners};

pub(super) const NAME: &str = "owners";

const SEED: &str = "seed";
const TRIALS: &str = "trials";
/// Members and availability zones that are measured: a deployment of today and one of the planned
/// size.
const SIZES: [(usize, usize); 2] = [(9, 3), (370, 4)];
const KEYS: usize = 12_000;

pub(super) fn owners_command() -> Command {
    Command::new(NAME)
        .about("Compares ownership rules: keys moved, balance, look-up time")
        .arg(
            Arg::new(SEED)
                .long(SEED)
                .help("Seed of the members' names")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new(TRIALS)
                .long(TRIALS)
                .help("Number of random sets of members")
                .default_value("20")
                .value_parser(value_parser!(u64).range(1..=1_000)),
        )
}

pub(super) fn run_owners(matches: &ArgMatches) {
    let seed = matches.get_one::<u64>(SEED).copied().unwrap_or(1);
    let trials = matches.get_one::<u64>(TRIALS).copied().unwrap_or(1);
    println!(
        "| members | rule | moved by a join, mean (worst) | by a leave, mean (worst) | \
         ideal | max/mean keys | other zone | ns per look-up |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (members, zones) in SIZES {
        let task = OwnerTask {
            members,
            zones,
            keys: KEYS,
            trials: usize::try_from(trials).unwrap_or(1),
            seed,
        };
        for row in measure_owners(&task) {
            println!(
                "| {} | {} | {:.4} ({:.4}) | {:.4} ({:.4}) | {:.4} | {:.2} | {:.2} | {:.0} |",
                row.members,
                row.rule,
                row.join,
                row.join_worst,
                row.leave,
                row.leave_worst,
                row.ideal,
                row.balance,
                row.far,
                row.nanos
            );
        }
    }
}
