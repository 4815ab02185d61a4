//! Arguments shared by several subcommands.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;

use clap::{Arg, ArgMatches, value_parser};
use ward_protocol::{BackendId, TimeSpan, ZoneName};

/// Any port of the loopback address.
pub(super) const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Declares `--listen`.
pub(super) fn listen() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .default_value(ANY_PORT.to_string())
        .help("Address to listen on; port 0 takes any free port")
}

/// Declares `--hosts`.
pub(super) fn hosts() -> Arg {
    Arg::new("hosts")
        .long("hosts")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .help("Address of the host list to register in")
}

/// Declares an argument that takes a time span, such as 20ms.
pub(super) fn time_span(name: &'static str, default: TimeSpan, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("TIME")
        .value_parser(TimeSpan::from_str)
        .default_value(default.to_string())
        .help(help)
}

/// Returns the value of an argument that has a default or is required.
///
/// `fallback` is returned only if the argument was never declared.
pub(super) fn value<T: Clone + Send + Sync + 'static>(
    matches: &ArgMatches,
    name: &str,
    fallback: T,
) -> T {
    matches.get_one(name).cloned().unwrap_or(fallback)
}

/// Declares an argument that takes a number of at least 1.
pub(super) fn count(name: &'static str, default: u32, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .value_parser(value_parser!(u32).range(1..))
        .default_value(default.to_string())
        .help(help)
}

/// Declares `--id` and `--zone`, both required.
pub(super) fn identity() -> [Arg; 2] {
    let id = Arg::new("id")
        .long("id")
        .value_name("ID")
        .value_parser(BackendId::from_str)
        .required(true)
        .help("Id of the backend server in the host list");
    let zone = Arg::new("zone")
        .long("zone")
        .value_name("ZONE")
        .value_parser(ZoneName::from_str)
        .required(true)
        .help("Availability zone of the backend server");
    [id, zone]
}
