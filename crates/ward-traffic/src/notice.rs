//! What traffic tells the control thread.

use std::sync::Arc;

use ward_protocol::{BackendId, RequestFingerprint, WakeHint, WallTime};

/// Something that the control thread should know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TrafficNotice {
    /// Requests wait for a replica; repeated as long as they do.
    Wanted {
        /// What they wait for.
        hint: WakeHint,
    },
    /// Requests began on a replica.
    Used {
        /// The replica's key and how many began since the last notice.
        hint: WakeHint,
    },
    /// A backend server was lost while it ran a request.
    Crashed {
        /// The request.
        fingerprint: RequestFingerprint,
        /// The backend server.
        backend: BackendId,
        /// Until when the crash counts.
        until: WallTime,
    },
}

/// Takes notices; must not block.
pub type NoticeSink = Arc<dyn Fn(TrafficNotice) + Send + Sync>;
