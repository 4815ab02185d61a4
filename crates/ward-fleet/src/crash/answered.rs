//! Requests that were answered completely a short time ago.
//!
//! Load pattern: many callers send the same request, and all engines of its
//! service lose power while they run it. Since the request was answered before,
//! it did not cause their end.

use indexmap::IndexSet;
use ward_protocol::RequestFingerprint;

/// Requests per generation. When a generation is full, the one before it is
/// dropped.
const GENERATION_SIZE: usize = 2_048;

/// The latest requests that were answered completely.
#[derive(Debug, Clone, Default)]
pub struct AnsweredRequests {
    newer: IndexSet<RequestFingerprint>,
    older: IndexSet<RequestFingerprint>,
}

impl AnsweredRequests {
    /// Records that a request was answered completely.
    pub fn record(&mut self, fingerprint: RequestFingerprint) {
        if self.newer.len() >= GENERATION_SIZE {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(fingerprint);
    }

    /// Whether a request is among the latest that were answered completely.
    #[must_use]
    pub fn contains(&self, fingerprint: &RequestFingerprint) -> bool {
        self.newer.contains(fingerprint) || self.older.contains(fingerprint)
    }
}
