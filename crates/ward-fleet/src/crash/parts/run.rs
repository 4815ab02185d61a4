//! Ends of engines, with the runs that may have caused them.

use indexmap::IndexMap;
use ward_protocol::{MonoTime, PartId, RequestFingerprint};

/// A run that ended with its engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SuspectRun {
    pub(super) fingerprint: RequestFingerprint,
    /// Parts of its prompt that have not been cleared, in order.
    pub(super) parts: Vec<PartId>,
    /// When the engine began to answer; when the run ended if it never did.
    pub(super) began_at: MonoTime,
    pub(super) ended_at: MonoTime,
}

impl SuspectRun {
    pub(super) fn has(&self, part: &PartId) -> bool {
        self.parts.contains(part)
    }
}

/// The end of an engine incarnation, with the suspect runs that it ended; there may be
/// none left.
#[derive(Debug, Clone)]
pub(super) struct EngineCrash {
    pub(super) ended_at: MonoTime,
    pub(super) runs: Vec<SuspectRun>,
}

impl EngineCrash {
    pub(super) fn has(&self, part: &PartId) -> bool {
        self.runs.iter().any(|run| run.has(part))
    }

    pub(super) fn has_any(&self, parts: &IndexMap<PartId, MonoTime>) -> bool {
        parts.keys().any(|part| self.has(part))
    }

    /// Runs with a part, if there are any.
    pub(super) fn runs_with<'a>(
        &'a self,
        part: &'a PartId,
    ) -> impl Iterator<Item = &'a SuspectRun> {
        self.runs.iter().filter(move |run| run.has(part))
    }
}
