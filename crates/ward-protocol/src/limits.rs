//! Limits and times that settings choose.

use serde::{Deserialize, Serialize};

use crate::time::TimeSpan;
use crate::unit::PriorityLevel;

/// Limits on loads from the weight store, equal on all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreLimits {
    /// Model loads in flight at a time.
    pub model_loads: u16,
    /// Adapter loads in flight at a time.
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

/// Times that bound ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseTimes {
    /// Longest time since the start of the last read to the log's end.
    pub lease: TimeSpan,
    /// Longest time between sending an order and its taking effect.
    pub order_life: TimeSpan,
    /// Time between reads of the control stream.
    pub read_interval: TimeSpan,
    /// Time between probes of a peer.
    pub probe_interval: TimeSpan,
    /// Time without a sign of life before a member is expired.
    pub probe_timeout: TimeSpan,
    /// Time between reads of an engine's status.
    pub status_interval: TimeSpan,
    /// Time between reads of the host list.
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
    /// Longest request body in bytes.
    pub body_bytes: u32,
    /// Most bytes of a request's header.
    pub header_bytes: u32,
    /// Time allowed for a request's header.
    pub header_time: TimeSpan,
    /// Time allowed for a request's body.
    pub body_time: TimeSpan,
    /// Most connections from callers.
    pub connections: u32,
    /// Most requests waiting for a replica.
    pub waiting: u32,
    /// Most requests at a time on one replica from one daemon.
    pub per_replica: u32,
    /// Time limit of a request that names none.
    pub default_deadline: TimeSpan,
    /// Longest time limit that a request may name.
    pub longest_deadline: TimeSpan,
    /// How long callers may keep the address list.
    pub entry_ttl: TimeSpan,
    /// Retries allowed per 100 requests.
    pub retry_percent: u32,
    /// How long the answer to a key is kept.
    #[serde(rename = "key_memory")]
    pub key_retention: TimeSpan,
    /// Largest answer kept under a key, in bytes.
    pub kept_answer_bytes: u32,
    /// How long a request that crashed two backend servers is refused.
    pub suspect_time: TimeSpan,
    /// Time given to open connections after a planned stop has drained.
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
    /// Shortest time that an idle replica is kept.
    pub keep_shortest: TimeSpan,
    /// Longest time that an idle replica is kept.
    pub keep_longest: TimeSpan,
    /// Time without reservations after which an engine goes to standby.
    pub standby_after: TimeSpan,
    /// Waiting requests per ready replica that justify one more.
    pub scale_out_waiting: u32,
    /// Expected load time from the host's memory.
    pub load_memory: TimeSpan,
    /// Expected load time from the host's disk.
    pub load_disk: TimeSpan,
    /// Expected load time from the weight store.
    pub load_remote: TimeSpan,
    /// Expected load time of an adapter.
    pub load_adapter: TimeSpan,
    /// Idle accelerator seconds that one second of cold start is worth at a weight of one half.
    pub cold_exchange: f64,
    /// Part of a past gap's weight that is left after the next gap, 0 to 1.
    pub gap_decay: f64,
    /// Gaps of a model that weigh as much as the fallback rule.
    pub known_gaps: u32,
    /// Time before its expected need at which a replica made ready ahead should answer.
    pub ahead_slack: TimeSpan,
    /// Time that an engine takes to come back from standby.
    pub standby_back: TimeSpan,
    /// First priority level whose requests may wait for a replica that is up anyway.
    pub slack_from: PriorityLevel,
    /// Longest such wait.
    pub slack_longest: TimeSpan,
    /// Fill of a queue in percent past which the last priority level is refused.
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
