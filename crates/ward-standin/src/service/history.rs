//! History of a plain service, for checks by tests.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::{RequestId, WallTime};

/// One call that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallEntry {
    /// Time at which the call was received.
    pub at: WallTime,
    /// Method and path with query.
    pub call: String,
    /// Value of `x-request-id`; absent if missing or invalid.
    pub request: Option<RequestId>,
    /// Value of `idempotency-key`, if there was one.
    pub key: Option<String>,
    /// Size of the body in bytes.
    pub bytes: u64,
    /// Whether the complete answer was passed to the connection; false if a fault prevented it.
    pub answered: bool,
}

/// History of a plain service, answered to `GET /history`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceHistory {
    /// Calls in the order in which they took effect.
    pub calls: Vec<CallEntry>,
    /// Number of times that calls took effect, by idempotency key.
    pub runs_by_key: IndexMap<String, u32>,
    /// Number of times that calls took effect, by request id.
    pub runs_by_request: IndexMap<RequestId, u32>,
}
