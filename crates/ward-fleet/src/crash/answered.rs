//! Requests and prompt parts that were answered completely a short time ago.
//!
//! Load pattern: many callers send the same request, and all engines of its
//! service lose power while they run it. Since the request was answered before,
//! it did not cause their end. A part of a prompt may have turned bad since it was
//! answered, so for parts the time counts: only an answer that began after the end
//! of an engine shows that the part did not cause it. Such an answer may be complete
//! before other daemons report the end.

use indexmap::{IndexMap, IndexSet};
use ward_protocol::{MonoTime, PartId, RequestFingerprint};

/// Requests or parts per generation. When a generation is full, the one before it is
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

/// The latest parts of prompts that were answered completely.
#[derive(Debug, Clone, Default)]
pub struct AnsweredParts {
    newer: IndexMap<PartId, MonoTime>,
    older: IndexMap<PartId, MonoTime>,
}

impl AnsweredParts {
    /// Records that a complete answer on a part began at a time.
    pub fn record(&mut self, part: &PartId, began_at: MonoTime) {
        if let Some(known) = self.newer.get_mut(part) {
            *known = began_at.max(*known);
            return;
        }
        if self.newer.len() >= GENERATION_SIZE {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part.clone(), began_at);
    }

    /// When the latest complete answer on a part began; `None` if the part is not
    /// among the latest that were answered.
    #[must_use]
    pub fn answered_at(&self, part: &PartId) -> Option<MonoTime> {
        self.newer.get(part).max(self.older.get(part)).copied()
    }
}
