//! Checks of values against bounds and against each other.

mod address;
mod limits;
mod list;

use address::{check_addresses, check_platform, check_seeds};
use limits::{check_lease, check_policy, check_store, check_traffic};
use list::{MistakeList, ZERO_REASON};

use crate::input::SettingsInput;
use crate::mistake::{SettingsMistake, SettingsProblem};
use crate::secret::PeerKeys;
use crate::settings::DaemonSettings;

const MAX_THREADS: u16 = 256;
const MAX_SHARDS: u16 = 64;

/// Checks all values; `None` when a value without a default is missing.
pub(crate) fn check_input(
    input: SettingsInput,
    mistakes: &mut Vec<SettingsMistake>,
) -> Option<DaemonSettings> {
    let mut list = MistakeList { mistakes };
    let daemon = list.required("daemon", input.daemon);
    let zone = list.required("zone", input.zone);
    let addresses = check_addresses(&mut list, &input.addresses);
    let platform = check_platform(&mut list, &input.platform);
    let seeds = check_seeds(&mut list, &input.seeds);
    check_lease(&mut list, &input.lease);
    check_store(&mut list, input.store);
    check_traffic(&mut list, &input.traffic);
    check_policy(&mut list, &input.policy);
    check_keys(&mut list, &input.keys);
    check_counts(&mut list, input.traffic_threads, input.request_shards);
    list.at_least(
        "snapshot_interval",
        input.snapshot_interval,
        input.lease.read_interval,
        "the lease.read_interval",
    );
    Some(DaemonSettings {
        daemon: daemon?,
        zone: zone?,
        addresses: addresses?,
        platform: platform?,
        seeds,
        lease: input.lease,
        store: input.store,
        traffic: input.traffic,
        policy: input.policy,
        keys: input.keys,
        operator_token: input.operator_token,
        logging: input.logging,
        traffic_threads: input.traffic_threads,
        request_shards: input.request_shards,
        snapshot_interval: input.snapshot_interval,
    })
}

fn check_keys(list: &mut MistakeList<'_>, keys: &PeerKeys) {
    let Some(previous) = &keys.previous else {
        return;
    };
    match &keys.current {
        None => list.push("keys.previous", SettingsProblem::PreviousWithoutCurrent),
        Some(current) if current == previous => {
            list.push("keys.previous", SettingsProblem::PreviousIsCurrent);
        }
        Some(_) => {}
    }
}

fn check_counts(list: &mut MistakeList<'_>, threads: u16, shards: u16) {
    list.at_least("traffic_threads", threads, 1, ZERO_REASON);
    list.at_most(
        "traffic_threads",
        threads,
        MAX_THREADS,
        "since a host has few cores",
    );
    list.at_least("request_shards", shards, 1, ZERO_REASON);
    list.at_most(
        "request_shards",
        shards,
        MAX_SHARDS,
        "since each is a separate log stream",
    );
}
