//! What outlives all daemons, as the coordinator keeps it in the store.

use serde::{Deserialize, Serialize};
use ward_protocol::{TimeSpan, WallTime};

use crate::crash::{BlockRevision, CrashReport};

/// What a daemon that starts anew must know before it hears from others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// When it was written, by the clock of the host that wrote it.
    pub written: WallTime,
    /// Daemons that share the budgets of repeats.
    pub daemons: usize,
    /// The crashes of blocked requests.
    pub crashes: Vec<CrashReport>,
}

impl FleetRecord {
    /// The crashes with their ages as of now. A clock that was set moves these
    /// ages only.
    #[must_use]
    pub fn into_crashes(self, now: WallTime) -> Vec<CrashReport> {
        let elapsed = now.since(self.written);
        let older = |mark: CrashReport| {
            let age = TimeSpan::from_millis(mark.age.millis().saturating_add(elapsed.millis()));
            CrashReport { age, ..mark }
        };
        self.crashes.into_iter().map(older).collect()
    }
}

/// What of a fleet the store has; tells whether a record must be written anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredFleet {
    /// Daemons that share the budgets of repeats.
    pub daemons: usize,
    /// Changes to which requests are blocked.
    pub blocks: BlockRevision,
}
