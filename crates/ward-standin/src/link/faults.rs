//! Faults of a link.

use serde::{Deserialize, Serialize};

/// Faults of a link; a posted set replaces the one before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Connections are cut, new ones at once.
    pub down: bool,
    /// Bytes towards the server are held until this is off.
    pub hold_requests: bool,
    /// Bytes towards the client are held until this is off.
    pub hold_answers: bool,
    /// Milliseconds by which bytes come later, each way.
    pub delay_ms: u64,
}
