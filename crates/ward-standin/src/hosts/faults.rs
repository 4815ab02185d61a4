//! Faults of the host list and the weight store.

use serde::{Deserialize, Serialize};

/// Faults of the host list and the weight store; `POST /faults` replaces the complete set.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostsFaults {
    /// Reads of the list are cut without an answer.
    pub down: bool,
    /// Age in milliseconds of the served version of the list.
    pub lag_ms: u64,
    /// Loads from the weight store are cut, including those in progress.
    pub store_down: bool,
    /// Factor by which loads from the weight store take longer; 1 is normal speed.
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
