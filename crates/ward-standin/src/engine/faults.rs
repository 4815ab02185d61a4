//! Faults of an engine.

use serde::{Deserialize, Serialize};
use ward_protocol::ReplicaKey;

const DOWNTIME_MS: u64 = 200;
const DIE_AFTER_MS: u64 = 5;

/// Faults of an engine; a posted set replaces the one before.
///
/// Counters go down by one for each time that the fault happens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Text in a request's body that crashes the engine.
    pub crash_marker: Option<String>,
    /// Milliseconds from a crash until the engine listens again, empty.
    pub downtime_ms: u64,
    /// Milliseconds by which an order takes effect after it was taken.
    pub order_delay_ms: u64,
    /// Milliseconds after which each order takes effect a second time; never when absent.
    pub order_repeat_ms: Option<u64>,
    /// Orders that take effect but get no answer.
    pub lose_order_answers: u32,
    /// Replicas whose loads fail.
    pub failing_loads: Vec<ReplicaKey>,
    /// Replica in the middle of whose load the engine crashes, once.
    pub die_in_load: Option<ReplicaKey>,
    /// Milliseconds from the start of that load to the crash.
    pub die_after_ms: u64,
    /// Requests, orders and status reads get no answer and have no effect.
    pub hang: bool,
    /// Answers to requests that are cut in half.
    pub truncate_answers: u32,
    /// Answers to requests that carry another request's id.
    pub wrong_ids: u32,
    /// Answers to requests that are not JSON.
    pub broken_answers: u32,
    /// Streams that are cut.
    pub cut_streams: u32,
    /// Tokens after which they are cut.
    pub cut_after: u64,
    /// Status reports that are cut in half.
    pub truncate_status: u32,
    /// Status reports that are not JSON.
    pub broken_status: u32,
    /// Status reports that name another backend server.
    pub wrong_status: u32,
    /// Milliseconds by which load figures lag; the settings' lag when absent.
    pub status_lag_ms: Option<u64>,
    /// Milliseconds by which cache events come late.
    pub cache_lag_ms: u64,
    /// One in this many cache events is left out; none when zero.
    pub cache_gap: u64,
    /// The engine's host is being reclaimed; loads are refused.
    pub leaving: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            crash_marker: None,
            downtime_ms: DOWNTIME_MS,
            order_delay_ms: 0,
            order_repeat_ms: None,
            lose_order_answers: 0,
            failing_loads: Vec::new(),
            die_in_load: None,
            die_after_ms: DIE_AFTER_MS,
            hang: false,
            truncate_answers: 0,
            wrong_ids: 0,
            broken_answers: 0,
            cut_streams: 0,
            cut_after: 0,
            truncate_status: 0,
            broken_status: 0,
            wrong_status: 0,
            status_lag_ms: None,
            cache_lag_ms: 0,
            cache_gap: 0,
            leaving: false,
        }
    }
}
