//! History of a link, for checks by tests.

use serde::{Deserialize, Serialize};

/// Counters of a link, answered to `GET /history`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkHistory {
    /// Connections accepted.
    pub connections: u64,
    /// Connections cut because of the fault `down`.
    pub cut: u64,
    /// Bytes forwarded to the server.
    pub request_bytes: u64,
    /// Bytes forwarded to the client.
    pub answer_bytes: u64,
}
