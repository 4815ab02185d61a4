//! Faults of an engine.

use serde::{Deserialize, Serialize};
use ward_protocol::ReplicaKey;

const DOWNTIME_MS: u64 = 200;
const DIE_AFTER_MS: u64 = 5;

/// Faults of an engine; `POST /faults` replaces the complete set.
///
/// A counter is decremented each time its fault is injected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Text that crashes the engine when a request's body contains it.
    pub crash_marker: Option<String>,
    /// Milliseconds from a crash until the engine listens again, without replicas.
    pub downtime_ms: u64,
    /// Milliseconds from the acceptance of an order until it is executed; 0 for at once.
    pub order_delay_ms: u64,
    /// Milliseconds after which each order is executed a second time; never when absent.
    pub order_repeat_ms: Option<u64>,
    /// Number of upcoming orders that are executed but get no answer.
    pub lose_order_answers: u32,
    /// Replicas whose loads fail.
    pub failing_loads: Vec<ReplicaKey>,
    /// Replica during whose next load the engine crashes, once.
    pub die_in_load: Option<ReplicaKey>,
    /// Milliseconds from the start of that load (`die_in_load`) to the crash.
    pub die_after_ms: u64,
    /// Requests, orders, and reads of status and cache events wait until this is off.
    ///
    /// Until then they get no answer and have no effect.
    pub hang: bool,
    /// Number of upcoming answers, streams excluded, that are cut in half.
    pub truncate_answers: u32,
    /// Number of upcoming answers that carry another request's id.
    pub wrong_ids: u32,
    /// Number of upcoming answers, streams excluded, that are not completions.
    pub broken_answers: u32,
    /// Number of upcoming streams that are cut.
    pub cut_streams: u32,
    /// Number of tokens after which `cut_streams` cuts a stream.
    pub cut_after: u64,
    /// Number of upcoming status reports that are cut in half.
    pub truncate_status: u32,
    /// Number of upcoming status reports that are a JSON text instead of a status.
    pub broken_status: u32,
    /// Number of upcoming status reports that name another backend server.
    pub wrong_status: u32,
    /// Age in milliseconds of the request counts in status reports; `status_lag` when absent.
    pub status_lag_ms: Option<u64>,
    /// Delay in milliseconds of cache events.
    pub cache_lag_ms: u64,
    /// One in this many cache events is left out; 0 leaves out none.
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
