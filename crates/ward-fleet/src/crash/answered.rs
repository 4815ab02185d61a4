//! Requests that engines have answered whole of late.
//!
//! Load pattern: many callers send the same request, and all engines of its service
//! lose power while they run it. It was answered before, so it is not what ended
//! them.

use indexmap::IndexSet;
use ward_protocol::RequestFingerprint;

/// Requests after which a new generation begins; one older one is kept.
const GENERATION: usize = 2_048;

/// The last requests that were answered whole.
#[derive(Debug, Clone, Default)]
pub struct AnsweredRequests {
    newer: IndexSet<RequestFingerprint>,
    older: IndexSet<RequestFingerprint>,
}

impl AnsweredRequests {
    /// Notes that a request was answered whole.
    pub fn record(&mut self, fingerprint: RequestFingerprint) {
        if self.newer.len() >= GENERATION {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(fingerprint);
    }

    /// Whether a request was answered whole of late.
    #[must_use]
    pub fn contains(&self, fingerprint: &RequestFingerprint) -> bool {
        self.newer.contains(fingerprint) || self.older.contains(fingerprint)
    }
}
