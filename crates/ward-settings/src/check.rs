//! Checks between values.

use std::fmt::Display;
use std::net::SocketAddr;

use ward_protocol::{LeaseTimes, PolicyValues, StoreLimits, TimeSpan, TrafficLimits};

use crate::address::{AddressSet, ListenAddress, PlatformAddresses};
use crate::input::{AddressInput, ListenInput, PlatformInput, SettingsInput};
use crate::mistake::{SettingsMistake, SettingsProblem};
use crate::secret::PeerKeys;
use crate::settings::DaemonSettings;

const MOST_THREADS: u16 = 256;
const MOST_SHARDS: u16 = 64;
const MOST_EXCHANGE: f64 = 1e6;
const MOST_PERCENT: u32 = 100;
const LEAST_HEADER_BYTES: u32 = 1 << 10;
const NEEDED: &str = "since it is needed";

/// Collects mistakes under their paths.
struct MistakeList<'a> {
    mistakes: &'a mut Vec<SettingsMistake>,
}

impl MistakeList<'_> {
    fn push(&mut self, path: &str, problem: SettingsProblem) {
        let known = self.mistakes.iter().any(|mistake| mistake.path == path);
        if known {
            return;
        }
        self.mistakes.push(SettingsMistake {
            path: path.to_owned(),
            problem,
        });
    }

    fn required<T>(&mut self, path: &str, value: Option<T>) -> Option<T> {
        if value.is_none() {
            self.push(path, SettingsProblem::Missing);
        }
        value
    }

    fn at_least<T: PartialOrd + Display + Copy>(
        &mut self,
        path: &str,
        value: T,
        least: T,
        why: &'static str,
    ) {
        if value >= least {
            return;
        }
        self.push(path, SettingsProblem::TooSmall(least.to_string(), why));
    }

    fn at_most<T: PartialOrd + Display + Copy>(
        &mut self,
        path: &str,
        value: T,
        most: T,
        why: &'static str,
    ) {
        if value <= most {
            return;
        }
        self.push(path, SettingsProblem::TooLarge(most.to_string(), why));
    }

    fn spans(&mut self, section: &str, spans: &[(&str, TimeSpan)]) {
        let least = TimeSpan::from_millis(1);
        for (key, span) in spans {
            self.at_least(&format!("{section}.{key}"), *span, least, NEEDED);
        }
    }

    fn counts(&mut self, section: &str, counts: &[(&str, u32)]) {
        for (key, count) in counts {
            self.at_least(&format!("{section}.{key}"), *count, 1, NEEDED);
        }
    }
}

/// Checks all values against each other; nothing when a value without default is missing.
pub fn check_input(
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
    check_numbers(&mut list, input.traffic_threads, input.request_shards);
    list.at_least(
        "snapshot_interval",
        input.snapshot_interval,
        input.lease.read_interval,
        "the time between reads of the log",
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

fn check_addresses(list: &mut MistakeList<'_>, input: &AddressInput) -> Option<AddressSet> {
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
        list.push(&format!("{path}.bind"), SettingsProblem::NoPort);
    }
    let advertised = input.advertised.unwrap_or(bind);
    check_reachable(list, &format!("{path}.advertised"), advertised);
    Some(ListenAddress { bind, advertised })
}

fn check_reachable(list: &mut MistakeList<'_>, path: &str, address: SocketAddr) {
    let ip = address.ip();
    if ip.is_unspecified() || ip.is_multicast() || address.port() == 0 {
        list.push(path, SettingsProblem::NotReachable);
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
            let problem = SettingsProblem::DoubledAddress(other_path);
            list.push(&format!("{path}.bind"), problem);
        }
    }
}

fn check_platform(list: &mut MistakeList<'_>, input: &PlatformInput) -> Option<PlatformAddresses> {
    let log = check_service(list, "platform.log", input.log);
    let hosts = check_service(list, "platform.hosts", input.hosts);
    Some(PlatformAddresses {
        log: log?,
        hosts: hosts?,
    })
}

fn check_service(
    list: &mut MistakeList<'_>,
    path: &str,
    address: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let address = list.required(path, address)?;
    check_reachable(list, path, address);
    Some(address)
}

fn check_seeds(list: &mut MistakeList<'_>, seeds: &[Option<SocketAddr>]) -> Vec<SocketAddr> {
    seeds
        .iter()
        .enumerate()
        .filter_map(|(index, seed)| check_service(list, &format!("seeds[{index}]"), *seed))
        .collect()
}

fn check_lease(list: &mut MistakeList<'_>, lease: &LeaseTimes) {
    list.spans(
        "lease",
        &[
            ("order_life", lease.order_life),
            ("read_interval", lease.read_interval),
            ("probe_interval", lease.probe_interval),
            ("status_interval", lease.status_interval),
            ("hosts_interval", lease.hosts_interval),
        ],
    );
    list.at_least(
        "lease.lease",
        lease.lease,
        lease.read_interval + lease.read_interval,
        "two times lease.read_interval, so that one failed read does not end the lease",
    );
    list.at_least(
        "lease.probe_timeout",
        lease.probe_timeout,
        lease.probe_interval + lease.probe_interval,
        "two times lease.probe_interval, so that one lost probe expires nobody",
    );
}

fn check_store(list: &mut MistakeList<'_>, store: StoreLimits) {
    list.counts(
        "store",
        &[
            ("model_loads", store.model_loads.into()),
            ("adapter_loads", store.adapter_loads.into()),
        ],
    );
}

fn check_traffic(list: &mut MistakeList<'_>, traffic: &TrafficLimits) {
    list.counts(
        "traffic",
        &[
            ("body_bytes", traffic.body_bytes),
            ("connections", traffic.connections),
            ("waiting", traffic.waiting),
            ("per_replica", traffic.per_replica),
        ],
    );
    list.spans(
        "traffic",
        &[
            ("header_time", traffic.header_time),
            ("body_time", traffic.body_time),
            ("default_deadline", traffic.default_deadline),
            ("entry_ttl", traffic.entry_ttl),
        ],
    );
    list.at_least(
        "traffic.header_bytes",
        traffic.header_bytes,
        LEAST_HEADER_BYTES,
        "enough for the fields of an ordinary client",
    );
    list.at_least(
        "traffic.longest_deadline",
        traffic.longest_deadline,
        traffic.default_deadline,
        "the traffic.default_deadline",
    );
    list.at_least(
        "traffic.key_memory",
        traffic.key_memory,
        traffic.longest_deadline,
        "the traffic.longest_deadline, so that no key is forgotten while its call runs",
    );
    list.at_most(
        "traffic.retry_percent",
        traffic.retry_percent,
        MOST_PERCENT,
        "since at most every request may be retried",
    );
}

fn check_policy(list: &mut MistakeList<'_>, policy: &PolicyValues) {
    let weight = "since it is a share";
    list.at_least("policy.cold_weight", policy.cold_weight, 0.0, weight);
    list.at_most("policy.cold_weight", policy.cold_weight, 1.0, weight);
    list.at_least("policy.gap_decay", policy.gap_decay, 0.0, weight);
    list.at_most("policy.gap_decay", policy.gap_decay, 1.0, weight);
    let rate = "since it is a rate of exchange";
    list.at_least("policy.cold_exchange", policy.cold_exchange, 0.0, rate);
    list.at_most(
        "policy.cold_exchange",
        policy.cold_exchange,
        MOST_EXCHANGE,
        rate,
    );
    list.at_most(
        "policy.refuse_from_percent",
        policy.refuse_from_percent,
        MOST_PERCENT,
        "since a queue is full at 100",
    );
    list.spans("policy", &[("standby_after", policy.standby_after)]);
    list.counts("policy", &[("scale_out_waiting", policy.scale_out_waiting)]);
    list.at_least(
        "policy.keep_longest",
        policy.keep_longest,
        policy.keep_shortest,
        "the policy.keep_shortest",
    );
    list.at_least(
        "policy.load_disk",
        policy.load_disk,
        policy.load_memory,
        "the policy.load_memory, since memory is the cheapest tier",
    );
    list.at_least(
        "policy.load_remote",
        policy.load_remote,
        policy.load_disk,
        "the policy.load_disk, since the weight store is the dearest tier",
    );
}

fn check_keys(list: &mut MistakeList<'_>, keys: &PeerKeys) {
    let Some(previous) = &keys.previous else {
        return;
    };
    match &keys.current {
        None => list.push("keys.previous", SettingsProblem::PreviousOnly),
        Some(current) if current == previous => {
            list.push("keys.previous", SettingsProblem::SameKey);
        }
        Some(_) => {}
    }
}

fn check_numbers(list: &mut MistakeList<'_>, threads: u16, shards: u16) {
    list.at_least("traffic_threads", threads, 1, NEEDED);
    list.at_most(
        "traffic_threads",
        threads,
        MOST_THREADS,
        "since a host has few cores",
    );
    list.at_least("request_shards", shards, 1, NEEDED);
    list.at_most(
        "request_shards",
        shards,
        MOST_SHARDS,
        "since each is a stream of its own",
    );
}
