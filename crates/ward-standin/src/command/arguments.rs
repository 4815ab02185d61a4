//! Arguments that several subcommands share.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;

use clap::{Arg, ArgMatches, value_parser};
use ward_protocol::{BackendId, TimeSpan, ZoneName};

/// Any port of the loopback address.
pub(super) const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// `--listen`.
pub(super) fn listen() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .default_value(ANY_PORT.to_string())
        .help("Where to listen; port 0 for any")
}

/// `--hosts`.
pub(super) fn hosts() -> Arg {
    Arg::new("hosts")
        .long("hosts")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .help("The host list to register in")
}

/// An argument that takes a span of time.
pub(super) fn time_span(name: &'static str, default: TimeSpan, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("TIME")
        .value_parser(TimeSpan::from_str)
        .default_value(default.to_string())
        .help(help)
}

/// The value of an argument that has a default or is required.
///
/// Absent only when the argument was never declared, which `fallback` covers.
pub(super) fn value<T: Clone + Send + Sync + 'static>(
    matches: &ArgMatches,
    name: &str,
    fallback: T,
) -> T {
    matches.get_one(name).cloned().unwrap_or(fallback)
}

/// An argument that takes a number from 1 on.
pub(super) fn count(name: &'static str, default: u32, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .value_parser(value_parser!(u32).range(1..))
        .default_value(default.to_string())
        .help(help)
}

/// `--id` and `--zone`, both required.
pub(super) fn identity() -> [Arg; 2] {
    let id = Arg::new("id")
        .long("id")
        .value_name("ID")
        .value_parser(BackendId::from_str)
        .required(true)
        .help("Its id in the host list");
    let zone = Arg::new("zone")
        .long("zone")
        .value_name("ZONE")
        .value_parser(ZoneName::from_str)
        .required(true)
        .help("Its availability zone");
    [id, zone]
}
