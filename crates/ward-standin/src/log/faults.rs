//! Faults of the log.

use serde::{Deserialize, Serialize};

/// Faults of the log; a posted set replaces the one before.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Every connection is cut without an answer and without effect.
    pub down: bool,
    /// Every call is refused with 503 and without effect.
    pub refuse: bool,
    /// Milliseconds before each call takes effect.
    pub slow_ms: u64,
    /// How many of the next appends take effect but get no answer.
    pub lose_answers: u32,
    /// How many of the next appends get an answer cut in half, after their effect.
    pub truncate_answers: u32,
    /// Records at the end of each stream that reads do not see.
    pub stale_by: u64,
    /// Records kept per stream; all when absent.
    pub keep: Option<u64>,
    /// Appends per second, beyond which 429 is answered; unlimited when absent.
    pub appends_per_second: Option<u32>,
    /// Offsets left out before each append.
    pub skip: u64,
}
