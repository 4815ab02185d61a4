//! Events that the request path reports to the control thread.

use std::sync::Arc;

use ward_protocol::{BackendId, RequestFingerprint, WakeHint, WallTime};

/// Event that the request path reports to the control thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TrafficNotice {
    /// Requests wait for a replica and none is being loaded; sent when the first request
    /// waits, and then periodically.
    Wanted {
        /// Key of the replica, with the number and urgency of the waiting requests.
        hint: WakeHint,
    },
    /// Requests got a slot on a replica.
    Used {
        /// Key of the replica, with the number of requests since the last notice.
        hint: WakeHint,
    },
    /// A backend server was lost while it ran a request.
    Crashed {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Backend server that was lost.
        backend: BackendId,
        /// Time after which the crash no longer counts against the request.
        until: WallTime,
    },
}

/// Receives notices; must not block, since requests wait for it.
pub type NoticeSink = Arc<dyn Fn(TrafficNotice) + Send + Sync>;
