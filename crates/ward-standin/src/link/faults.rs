//! Faults of a link.

use serde::{Deserialize, Serialize};

/// Faults of a link; `POST /faults` replaces the complete set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Connections are cut; new ones are closed as soon as they are accepted.
    pub down: bool,
    /// Bytes towards the server are held until this is off.
    pub hold_requests: bool,
    /// Bytes towards the client are held until this is off.
    pub hold_answers: bool,
    /// Delay in milliseconds of all bytes, in each direction.
    pub delay_ms: u64,
}
