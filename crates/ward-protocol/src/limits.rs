//! Limits, times and policy values that can be set in the settings.

use serde::{Deserialize, Serialize};

use crate::time::TimeSpan;
use crate::unit::PriorityLevel;

/// Limits on concurrent loads from the weight store; all daemons use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreLimits {
    /// Maximum number of concurrent model loads.
    pub model_loads: u16,
    /// Maximum number of concurrent adapter loads.
    pub adapter_loads: u16,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            model_loads: 4,
            adapter_loads: 30,
        }
    }
}

/// Times that bound how long a daemon owns engines, and the intervals and timeouts of
/// its polls and probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseTimes {
    /// Lease: how long a daemon may act as owner after the start of its last read that
    /// reached the end of the log.
    pub lease: TimeSpan,
    /// Maximum time from sending an order until it takes effect.
    pub order_life: TimeSpan,
    /// Time between reads of the control stream.
    pub read_interval: TimeSpan,
    /// Time between probes of a peer.
    pub probe_interval: TimeSpan,
    /// Time without a probe or a reply from a member after which the member is expired.
    pub probe_timeout: TimeSpan,
    /// Time between polls of an engine's status.
    pub status_interval: TimeSpan,
    /// Time between polls of the host list.
    pub hosts_interval: TimeSpan,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            lease: TimeSpan::from_millis(3_000),
            order_life: TimeSpan::from_millis(2_000),
            read_interval: TimeSpan::from_millis(200),
            probe_interval: TimeSpan::from_millis(300),
            probe_timeout: TimeSpan::from_millis(1_500),
            status_interval: TimeSpan::from_millis(500),
            hosts_interval: TimeSpan::from_millis(500),
        }
    }
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TrafficLimits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: u32,
    /// Maximum size of a request's header in bytes.
    pub header_bytes: u32,
    /// Timeout for receiving a request's header.
    pub header_time: TimeSpan,
    /// Timeout for receiving a request's body.
    pub body_time: TimeSpan,
    /// Maximum number of connections from callers.
    pub connections: u32,
    /// Maximum number of requests waiting for replicas.
    pub waiting: u32,
    /// Maximum number of concurrent requests from one daemon to one replica.
    pub per_replica: u32,
    /// Time limit of a request that names none.
    pub default_deadline: TimeSpan,
    /// Maximum time limit that a request may name.
    pub longest_deadline: TimeSpan,
    /// How long callers may cache the list of daemons' addresses.
    pub entry_ttl: TimeSpan,
    /// Retries allowed per 100 requests.
    pub retry_percent: u32,
    /// How long an idempotency key and the answer to its request are kept.
    #[serde(rename = "key_memory")]
    pub key_retention: TimeSpan,
    /// Maximum size in bytes of an answer that is kept for an idempotency key.
    pub kept_answer_bytes: u32,
    /// How long a request that crashed two backend servers is refused.
    pub suspect_time: TimeSpan,
    /// Extra time in a planned stop: added to `entry_ttl` before new requests are
    /// refused, and then given once more to open connections.
    pub stop_slack: TimeSpan,
}

impl Default for TrafficLimits {
    fn default() -> Self {
        Self {
            body_bytes: 8 << 20,
            header_bytes: 32 << 10,
            header_time: TimeSpan::from_secs(5),
            body_time: TimeSpan::from_secs(30),
            connections: 4_096,
            waiting: 1_024,
            per_replica: 32,
            default_deadline: TimeSpan::from_secs(60),
            longest_deadline: TimeSpan::from_secs(3_600),
            entry_ttl: TimeSpan::from_secs(10),
            retry_percent: 10,
            key_retention: TimeSpan::from_secs(24 * 3_600),
            kept_answer_bytes: 64 << 10,
            suspect_time: TimeSpan::from_secs(600),
            stop_slack: TimeSpan::from_secs(2),
        }
    }
}

/// Values of the placement and keep-alive policy.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicyValues {
    /// Weight of cold-start time against idle time: 0 counts only idle time, 1 only cold starts.
    pub cold_weight: f64,
    /// Minimum time that an idle replica is kept.
    pub keep_shortest: TimeSpan,
    /// Maximum time that an idle replica is kept.
    pub keep_longest: TimeSpan,
    /// Time without reservations after which an engine is put into standby.
    pub standby_after: TimeSpan,
    /// Number of waiting requests per ready replica above which another replica is
    /// loaded.
    pub scale_out_waiting: u32,
    /// Expected load time from the host's memory.
    pub load_memory: TimeSpan,
    /// Expected load time from the host's disk.
    pub load_disk: TimeSpan,
    /// Expected load time from the weight store.
    pub load_remote: TimeSpan,
    /// Expected load time of an adapter.
    pub load_adapter: TimeSpan,
    /// Exchange rate: seconds of idle accelerator that cost as much as one second of cold
    /// start when `cold_weight` is one half.
    pub cold_exchange: f64,
    /// Factor from 0 to 1 by which the weight of earlier gaps between a model's requests
    /// is multiplied at each new gap.
    pub gap_decay: f64,
    /// Weight of the fallback (ski-rental) rule, as a number of observed gaps between a
    /// model's requests.
    pub known_gaps: u32,
    /// How long before its expected use a preloaded replica should be ready.
    pub ahead_slack: TimeSpan,
    /// Time that an engine takes to return from standby.
    pub standby_back: TimeSpan,
    /// Most urgent priority level whose requests may postpone their load and wait for a
    /// replica that becomes available without it.
    pub slack_from: PriorityLevel,
    /// Maximum time for which a request may postpone its load.
    pub slack_longest: TimeSpan,
    /// Queue occupancy in percent above which requests of the last priority level are
    /// refused.
    pub refuse_from_percent: u32,
}

impl Default for PolicyValues {
    fn default() -> Self {
        Self {
            cold_weight: 0.5,
            keep_shortest: TimeSpan::from_secs(30),
            keep_longest: TimeSpan::from_secs(1_800),
            standby_after: TimeSpan::from_secs(300),
            scale_out_waiting: 8,
            load_memory: TimeSpan::from_secs(2),
            load_disk: TimeSpan::from_secs(8),
            load_remote: TimeSpan::from_secs(30),
            load_adapter: TimeSpan::from_millis(10),
            cold_exchange: 10.0,
            gap_decay: 0.97,
            known_gaps: 6,
            ahead_slack: TimeSpan::from_secs(2),
            standby_back: TimeSpan::from_secs(20),
            slack_from: PriorityLevel::LAST,
            slack_longest: TimeSpan::from_secs(600),
            refuse_from_percent: 50,
        }
    }
}
