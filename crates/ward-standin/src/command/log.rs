//! Subcommand `ward-standin log`.

use clap::{ArgMatches, Command};
use ward_standin::{LogFaults, LogSettings, LogStandin, RunningStandin, StandinError};

use super::arguments::{ANY_PORT, listen, value};

pub(super) fn command() -> Command {
    Command::new("log")
        .about("The append-only log service")
        .arg(listen())
}

pub(super) async fn start(matches: &ArgMatches) -> Result<RunningStandin, StandinError> {
    LogStandin::start(LogSettings {
        listen: value(matches, "listen", ANY_PORT),
        faults: LogFaults::default(),
    })
    .await
}
