//! What a plain service remembers for checks.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::{RequestId, WallTime};

/// One call that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallEntry {
    /// When.
    pub at: WallTime,
    /// Method and path with query.
    pub call: String,
    /// Its request id, if it named one.
    pub request: Option<RequestId>,
    /// Its idempotency key, if it named one.
    pub key: Option<String>,
    /// Bytes of its body.
    pub bytes: u64,
    /// Whether its whole answer was handed to the connection.
    pub answered: bool,
}

/// What happened to a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceHistory {
    /// Calls in the order in which they took effect.
    pub calls: Vec<CallEntry>,
    /// Runs by idempotency key.
    pub runs_by_key: IndexMap<String, u32>,
    /// Runs by request id.
    pub runs_by_request: IndexMap<RequestId, u32>,
}
