//! Subcommand `ward-standin link`.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use ward_standin::{LinkFaults, LinkSettings, LinkStandin, RunningLink};

use super::CommandError;
use super::arguments::{ANY_PORT, listen, value};

pub(super) fn command() -> Command {
    Command::new("link")
        .about("A network link to one server")
        .arg(listen())
        .arg(
            Arg::new("control")
                .long("control")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .default_value(ANY_PORT.to_string())
                .help("Address that serves faults and history; port 0 takes any free port"),
        )
        .arg(
            Arg::new("target")
                .long("target")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .required(true)
                .help("Address of the server that the link forwards to"),
        )
}

pub(super) async fn start(matches: &ArgMatches) -> Result<RunningLink, CommandError> {
    let target = matches.get_one("target").copied();
    let settings = LinkSettings {
        listen: value(matches, "listen", ANY_PORT),
        control: value(matches, "control", ANY_PORT),
        target: target.ok_or(CommandError::Missing("target"))?,
        faults: LinkFaults::default(),
    };
    Ok(LinkStandin::start(settings).await?)
}
