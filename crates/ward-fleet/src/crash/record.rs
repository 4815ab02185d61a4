//! Blocked requests as they are kept in the store.

use serde::{Deserialize, Serialize};
use ward_protocol::{TimeSpan, WallTime};

use super::CrashMark;

/// The crashes of blocked requests, as of when they were written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockRecord {
    /// When, by the clock of the host that wrote it.
    pub written: WallTime,
    /// The crashes.
    pub marks: Vec<CrashMark>,
}

impl BlockRecord {
    /// The crashes with their ages as of now. A clock that was set moves these
    /// ages only.
    #[must_use]
    pub fn into_marks(self, now: WallTime) -> Vec<CrashMark> {
        let elapsed = now.since(self.written);
        let older = |mark: CrashMark| {
            let age = TimeSpan::from_millis(mark.age.millis().saturating_add(elapsed.millis()));
            CrashMark { age, ..mark }
        };
        self.marks.into_iter().map(older).collect()
    }
}
