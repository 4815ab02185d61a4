//! Faults of the host list and the weight store.

use serde::{Deserialize, Serialize};

/// Faults of the host list and the weight store; a posted set replaces the one before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostsFaults {
    /// Reads of the list are cut without an answer.
    pub down: bool,
    /// Milliseconds by which the served list lags.
    pub lag_ms: u64,
    /// Loads from the store are cut, begun ones included.
    pub store_down: bool,
    /// Factor by which loads take longer.
    pub store_slow: f64,
}

impl Default for HostsFaults {
    fn default() -> Self {
        Self {
            down: false,
            lag_ms: 0,
            store_down: false,
            store_slow: 1.0,
        }
    }
}
