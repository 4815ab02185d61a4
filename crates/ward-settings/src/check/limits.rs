//! Checks of limits, times and policy values.

use ward_protocol::{LeaseTimes, PolicyValues, StoreLimits, TrafficLimits};

use super::list::MistakeList;

const MAX_EXCHANGE_RATE: f64 = 1e6;
const MAX_PERCENT: u32 = 100;
const MIN_HEADER_BYTES: u32 = 1 << 10;

/// Checks the lease and the intervals that it depends on.
pub(super) fn check_lease(list: &mut MistakeList<'_>, lease: &LeaseTimes) {
    list.nonzero_spans(
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
        "two times lease.probe_interval, so that one lost probe does not expire a member",
    );
}

/// Checks the limits on concurrent loads from the weight store.
pub(super) fn check_store(list: &mut MistakeList<'_>, store: StoreLimits) {
    list.nonzero_counts(
        "store",
        &[
            ("model_loads", store.model_loads.into()),
            ("adapter_loads", store.adapter_loads.into()),
        ],
    );
}

/// Checks the limits on callers' requests.
pub(super) fn check_traffic(list: &mut MistakeList<'_>, traffic: &TrafficLimits) {
    list.nonzero_counts(
        "traffic",
        &[
            ("body_bytes", traffic.body_bytes),
            ("connections", traffic.connections),
            ("waiting", traffic.waiting),
            ("per_replica", traffic.per_replica),
        ],
    );
    list.nonzero_spans(
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
        MIN_HEADER_BYTES,
        "enough for the header fields of an ordinary client",
    );
    list.at_least(
        "traffic.longest_deadline",
        traffic.longest_deadline,
        traffic.default_deadline,
        "the traffic.default_deadline",
    );
    list.at_least(
        "traffic.key_memory",
        traffic.key_retention,
        traffic.longest_deadline,
        "the traffic.longest_deadline, so that no key expires while its request runs",
    );
    list.at_most(
        "traffic.retry_percent",
        traffic.retry_percent,
        MAX_PERCENT,
        "since at most every request may be retried",
    );
}

/// Checks the parameters of the policy.
pub(super) fn check_policy(list: &mut MistakeList<'_>, policy: &PolicyValues) {
    let share_reason = "since it is a fraction";
    list.at_least("policy.cold_weight", policy.cold_weight, 0.0, share_reason);
    list.at_most("policy.cold_weight", policy.cold_weight, 1.0, share_reason);
    list.at_least("policy.gap_decay", policy.gap_decay, 0.0, share_reason);
    list.at_most("policy.gap_decay", policy.gap_decay, 1.0, share_reason);
    let rate_reason = "since it is an exchange rate";
    list.at_least(
        "policy.cold_exchange",
        policy.cold_exchange,
        0.0,
        rate_reason,
    );
    list.at_most(
        "policy.cold_exchange",
        policy.cold_exchange,
        MAX_EXCHANGE_RATE,
        rate_reason,
    );
    list.at_most(
        "policy.refuse_from_percent",
        policy.refuse_from_percent,
        MAX_PERCENT,
        "since a queue is full at 100",
    );
    list.nonzero_spans("policy", &[("standby_after", policy.standby_after)]);
    list.nonzero_counts("policy", &[("scale_out_waiting", policy.scale_out_waiting)]);
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
        "the policy.load_memory, since memory is the fastest tier",
    );
    list.at_least(
        "policy.load_remote",
        policy.load_remote,
        policy.load_disk,
        "the policy.load_disk, since the weight store is the slowest tier",
    );
}
