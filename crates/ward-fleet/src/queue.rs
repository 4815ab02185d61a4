//! In which order waiting requests get an engine.
//!
//! Load pattern: more requests than places, some of which are late already.
//! Urgent routes go first; within a route's urgency the request that is about
//! to miss its target goes first, and those that have missed it come after all
//! that can still meet theirs.

use ward_protocol::{MonoTime, TimeSpan};

/// Place of a waiting request; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    priority: u32,
    late: bool,
    due: MonoTime,
}

/// Time that an engine needs for the first part of an answer.
const FIRST_PART: TimeSpan = TimeSpan::from_millis(80);

impl QueueRank {
    /// Whether the request can no longer meet its target.
    #[must_use]
    pub const fn is_late(&self) -> bool {
        self.late
    }

    /// The rank of a request that is on time until `target` and must be
    /// answered by `deadline`.
    #[must_use]
    pub fn new(priority: u32, target: MonoTime, deadline: MonoTime, now: MonoTime) -> Self {
        let late = now + FIRST_PART >= target;
        Self {
            priority,
            late,
            due: if late { deadline } else { target },
        }
    }
}
