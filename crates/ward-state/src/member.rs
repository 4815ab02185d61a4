//! Daemons that take part.

use serde::{Deserialize, Serialize};
use ward_protocol::{LogOffset, MemberInfo};

/// A member as the log made it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// What it said when it joined.
    pub info: MemberInfo,
    /// Offset of its `Join`.
    pub joined: LogOffset,
    /// Hash of its id, from which its ranks for duties come.
    pub(crate) hash: u64,
}
