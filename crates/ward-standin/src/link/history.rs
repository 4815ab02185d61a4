//! What a link remembers for checks.

use serde::{Deserialize, Serialize};

/// What happened to a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkHistory {
    /// Connections accepted.
    pub connections: u64,
    /// Connections cut by the link.
    pub cut: u64,
    /// Bytes passed towards the server.
    pub request_bytes: u64,
    /// Bytes passed towards the client.
    pub answer_bytes: u64,
}
