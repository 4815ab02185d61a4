//! Subcommand `ward-standin service`.

use std::str::FromStr;

use clap::{Arg, ArgAction, ArgMatches, Command};
use ward_protocol::ServiceName;
use ward_standin::{RunningStandin, ServiceFaults, ServiceSettings, ServiceStandin};

use super::CommandError;
use super::arguments::{ANY_PORT, hosts, identity, listen, value};

pub(super) fn command() -> Command {
    Command::new("service")
        .about("A plain service")
        .arg(listen())
        .args(identity())
        .arg(hosts())
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("NAME")
                .value_parser(ServiceName::from_str)
                .action(ArgAction::Append)
                .required(true)
                .help("Service to answer; may be repeated"),
        )
}

pub(super) async fn start(matches: &ArgMatches) -> Result<RunningStandin, CommandError> {
    let required = |name| CommandError::Missing(name);
    let id = matches.get_one("id").cloned().ok_or(required("id"))?;
    let zone = matches.get_one("zone").cloned().ok_or(required("zone"))?;
    let services = matches.get_many("service").unwrap_or_default();
    let settings = ServiceSettings {
        listen: value(matches, "listen", ANY_PORT),
        id,
        zone,
        services: services.cloned().collect(),
        hosts: matches.get_one("hosts").copied(),
        faults: ServiceFaults::default(),
    };
    Ok(ServiceStandin::start(settings).await?)
}
