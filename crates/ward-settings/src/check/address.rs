//! Checks of listen addresses, platform addresses and seeds.

use std::net::SocketAddr;

use super::list::MistakeList;
use crate::address::{AddressSet, ListenAddress, PlatformAddresses};
use crate::input::{AddressInput, ListenInput, PlatformInput};
use crate::mistake::SettingsProblem;

/// Checks the listen addresses; `None` when one has no `bind`.
pub(super) fn check_addresses(
    list: &mut MistakeList<'_>,
    input: &AddressInput,
) -> Option<AddressSet> {
    let callers = check_listen(list, "addresses.callers", &input.callers);
    let peers = check_listen(list, "addresses.peers", &input.peers);
    let operators = check_listen(list, "addresses.operators", &input.operators);
    let addresses = AddressSet {
        callers: callers?,
        peers: peers?,
        operators: operators?,
    };
    check_distinct(list, &addresses);
    Some(addresses)
}

fn check_listen(
    list: &mut MistakeList<'_>,
    path: &str,
    input: &ListenInput,
) -> Option<ListenAddress> {
    let bind = list.required(&format!("{path}.bind"), input.bind)?;
    if bind.port() == 0 {
        list.push(&format!("{path}.bind"), SettingsProblem::ZeroPort);
    }
    let advertised = input.advertised.unwrap_or(bind);
    check_reachable(list, &format!("{path}.advertised"), advertised);
    Some(ListenAddress { bind, advertised })
}

fn check_reachable(list: &mut MistakeList<'_>, path: &str, address: SocketAddr) {
    let ip = address.ip();
    if ip.is_unspecified() || ip.is_multicast() || address.port() == 0 {
        list.push(path, SettingsProblem::Unreachable);
    }
}

fn check_distinct(list: &mut MistakeList<'_>, addresses: &AddressSet) {
    let pairs = [
        (
            "addresses.peers",
            addresses.peers,
            "addresses.callers",
            addresses.callers,
        ),
        (
            "addresses.operators",
            addresses.operators,
            "addresses.callers",
            addresses.callers,
        ),
        (
            "addresses.operators",
            addresses.operators,
            "addresses.peers",
            addresses.peers,
        ),
    ];
    for (path, listen, other_path, other) in pairs {
        if listen.bind == other.bind {
            let problem = SettingsProblem::DuplicateAddress(other_path);
            list.push(&format!("{path}.bind"), problem);
        }
    }
}

/// Checks the platform's addresses; `None` when one is missing.
pub(super) fn check_platform(
    list: &mut MistakeList<'_>,
    input: &PlatformInput,
) -> Option<PlatformAddresses> {
    let log = check_address(list, "platform.log", input.log);
    let hosts = check_address(list, "platform.hosts", input.hosts);
    Some(PlatformAddresses {
        log: log?,
        hosts: hosts?,
    })
}

fn check_address(
    list: &mut MistakeList<'_>,
    path: &str,
    address: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let address = list.required(path, address)?;
    check_reachable(list, path, address);
    Some(address)
}

/// Checks the seeds; returns those that could be read.
pub(super) fn check_seeds(
    list: &mut MistakeList<'_>,
    seeds: &[Option<SocketAddr>],
) -> Vec<SocketAddr> {
    seeds
        .iter()
        .enumerate()
        .filter_map(|(index, seed)| check_address(list, &format!("seeds[{index}]"), *seed))
        .collect()
}
