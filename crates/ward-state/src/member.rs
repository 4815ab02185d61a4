//! Daemons that are members of the deployment.

use serde::{Deserialize, Serialize};
use ward_protocol::{LogOffset, MemberInfo};

/// A daemon that has joined and has neither left nor expired.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// Incarnation, availability zone and addresses from its `Join` record.
    pub info: MemberInfo,
    /// Offset of its `Join` record.
    pub joined: LogOffset,
    /// Hash of the daemon's id, from which its ranks for engines, models and duties are
    /// computed.
    pub(crate) hash: u64,
}
