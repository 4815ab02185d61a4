//! Faults of a plain service.

use serde::{Deserialize, Serialize};

const DOWNTIME_MS: u64 = 200;

/// Faults of a plain service; `POST /faults` replaces the complete set.
///
/// A counter is decremented each time its fault is injected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Every call is cut without an answer and without effect.
    pub down: bool,
    /// Delay in milliseconds between a call's effect and its answer.
    pub slow_ms: u64,
    /// Number of upcoming calls that take effect and whose answer is cut in half.
    pub truncate_answers: u32,
    /// Number of upcoming calls that take effect and are cut without an answer.
    pub lose_answers: u32,
    /// Number of upcoming calls that take effect and crash the service before the answer.
    pub crash_after_effect: u32,
    /// Number of upcoming calls that crash the service before they take effect.
    pub crash_before_effect: u32,
    /// Number of upcoming calls that take effect and are answered with 500.
    pub fail_answers: u32,
    /// Number of upcoming answers that carry another request's id.
    pub wrong_ids: u32,
    /// Milliseconds from a crash until the service listens again.
    pub downtime_ms: u64,
}

impl Default for ServiceFaults {
    fn default() -> Self {
        Self {
            down: false,
            slow_ms: 0,
            truncate_answers: 0,
            lose_answers: 0,
            crash_after_effect: 0,
            crash_before_effect: 0,
            fail_answers: 0,
            wrong_ids: 0,
            downtime_ms: DOWNTIME_MS,
        }
    }
}
