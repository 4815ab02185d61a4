//! Faults of the log service.

use serde::{Deserialize, Serialize};

/// Faults of the log; `POST /faults` replaces the complete set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Every append and read is cut without an answer and without effect.
    pub down: bool,
    /// Every append and read is refused with 503 and without effect.
    pub refuse: bool,
    /// Delay in milliseconds before each append or read takes effect.
    pub slow_ms: u64,
    /// Number of upcoming appends that take effect but get no answer.
    pub lose_answers: u32,
    /// Number of upcoming appends that take effect and whose answer is cut in half.
    pub truncate_answers: u32,
    /// Number of offsets at the end of each stream that reads don't see.
    pub stale_by: u64,
    /// Number of newest records kept per stream; older ones are deleted. All when absent.
    pub keep: Option<u64>,
    /// Appends per second over all streams, beyond which 429 is answered; unlimited when absent.
    pub appends_per_second: Option<u32>,
    /// Number of offsets skipped before each append.
    pub skip: u64,
}
