//! In which order waiting requests get an engine.
//!
//! Load pattern: more requests than places for seconds, of kinds whose answers
//! take very different times to begin; some requests are late already. The
//! request that must begin first to be on time goes first, whatever its kind, so
//! that no kind is starved by a more urgent one; the more urgent goes first among
//! requests that must begin at the same time, and among those that are late.
//! Requests that are late come after all that can still be on time.

use ward_protocol::{MonoTime, TimeSpan};

use crate::number::span;

/// Place of a waiting request; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    late: bool,
    /// Urgency of a late request; zero for others.
    late_priority: u32,
    due: MonoTime,
    priority: u32,
}

/// When a waiting request is of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTimes {
    /// Until when an answer is on time.
    pub target: MonoTime,
    /// Until when an answer is of use.
    pub deadline: MonoTime,
    /// Time that an engine needs for the first part of the answer.
    pub first_part: TimeSpan,
}

impl RequestTimes {
    /// Until when an engine must begin for the answer to be of use.
    #[must_use]
    pub fn latest_start(&self) -> MonoTime {
        self.deadline - self.first_part
    }
}

impl QueueRank {
    /// Whether the request can no longer meet its target.
    #[must_use]
    pub const fn is_late(&self) -> bool {
        self.late
    }

    /// The rank of a request; zero is the most urgent priority.
    #[must_use]
    pub fn new(priority: u32, times: &RequestTimes, now: MonoTime) -> Self {
        let late = now + times.first_part >= times.target;
        Self {
            late,
            late_priority: if late { priority } else { 0 },
            due: if late {
                times.deadline
            } else {
                times.target - times.first_part
            },
            priority,
        }
    }
}

/// Time for the first part of an answer while none was seen.
const UNKNOWN_FIRST_PART: TimeSpan = TimeSpan::from_millis(80);
/// Weight of the newest time in the averages.
const NEWEST_WEIGHT: f64 = 0.1;

/// How long the first part of an answer takes once a request has an engine, for
/// requests of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FirstPartTime {
    seen: Option<SeenTime>,
}

/// Averages in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
struct SeenTime {
    mean: f64,
    deviation: f64,
}

impl FirstPartTime {
    /// Notes the time of one request.
    pub fn record(&mut self, span: TimeSpan) {
        let millis = span.seconds() * 1_000.0;
        let mut seen = self.seen.unwrap_or(SeenTime {
            mean: millis,
            deviation: 0.0,
        });
        let difference = millis - seen.mean;
        seen.mean += NEWEST_WEIGHT * difference;
        seen.deviation += NEWEST_WEIGHT * (difference.abs() - seen.deviation);
        self.seen = Some(seen);
    }

    /// The time that most requests keep within.
    #[must_use]
    pub fn expected(&self) -> TimeSpan {
        let seen = self.seen.map(|seen| seen.mean + seen.deviation);
        seen.map_or(UNKNOWN_FIRST_PART, |millis| span(millis / 1_000.0))
    }
}
