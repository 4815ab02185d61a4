//! `ward-bench report`: curves and tables from a replay's rows.

use std::fs;
use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use indexmap::IndexSet;

use super::CommandError;
use crate::replay::{ReplayRow, ReplayTrouble};
use crate::report::{compare_targets, policy_table, target_table, tradeoff_svg};

pub(super) const NAME: &str = "report";

const ROWS: &str = "rows";
const OUT: &str = "out";
const MADE_BY: &str = "made-by";

pub(super) fn report_command() -> Command {
    let path = |name| Arg::new(name).long(name).required(true);
    Command::new(NAME)
        .about("Writes curves and tables from a replay's rows")
        .arg(
            path(ROWS)
                .help("Files of rows that replays wrote")
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            path(OUT)
                .help("Folder for the report files")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new(MADE_BY)
                .long(MADE_BY)
                .help("Command, date and machine that made the rows")
                .required(true),
        )
}

pub(super) fn run_report(matches: &ArgMatches) -> Result<(), CommandError> {
    let (Some(paths), Some(folder), Some(made_by)) = (
        matches.get_many::<PathBuf>(ROWS),
        matches.get_one::<PathBuf>(OUT),
        matches.get_one::<String>(MADE_BY),
    ) else {
        return Err(CommandError::Unknown);
    };
    let mut rows: Vec<ReplayRow> = Vec::new();
    for path in paths {
        let text = fs::read_to_string(path).map_err(|cause| file_error(path, cause))?;
        rows.extend(serde_json::from_str::<Vec<ReplayRow>>(&text)?);
    }
    fs::create_dir_all(folder).map_err(|cause| file_error(folder, cause))?;
    let table = format!(
        "# Replay of a week under several policies\n\nMade by: {made_by}\n\nFigures are medians \
         over seeds, (least–greatest) in brackets.\n\n## Against the baselines\n\n{}\n\
         ## Every policy\n\n{}",
        target_table(&rows),
        policy_table(&rows)
    );
    write(&folder.join("replay.md"), &table)?;
    let targets = serde_json::to_string_pretty(&compare_targets(&rows))?;
    write(&folder.join("replay.json"), &targets)?;
    let workloads: IndexSet<&str> = rows.iter().map(|row| row.workload.as_str()).collect();
    for workload in workloads {
        let chosen: Vec<&ReplayRow> = rows
            .iter()
            .filter(|row| row.workload == workload && row.trouble == ReplayTrouble::None)
            .collect();
        let svg = tradeoff_svg(&chosen, workload);
        write(&folder.join(format!("tradeoff-{workload}.svg")), &svg)?;
    }
    Ok(())
}

fn write(path: &Path, text: &str) -> Result<(), CommandError> {
    fs::write(path, text).map_err(|cause| file_error(path, cause))
}

fn file_error(path: &Path, cause: std::io::Error) -> CommandError {
    CommandError::File(path.to_owned(), cause)
}
