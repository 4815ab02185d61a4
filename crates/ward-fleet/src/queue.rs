//! Order in which waiting requests get an engine.
//!
//! Load pattern: for some seconds there are more requests than slots, the time
//! to first output differs much between kinds of requests, and some requests
//! are already late. The request that must start first to be on time goes
//! first, whatever its kind, so that no kind is starved by a more urgent one.
//! Priority decides between requests that must start at the same time, and
//! between late requests. Late requests come after all that can still be on
//! time.

use ward_protocol::{MonoTime, TimeSpan};

use crate::number::secs_to_span;

/// Rank of a waiting request in the queue; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    late: bool,
    /// Priority of a late request; zero for others.
    late_priority: u32,
    /// Deadline of a late request; for others, the latest start to be on time.
    sort_time: MonoTime,
    priority: u32,
}

/// Times that determine the rank of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTimes {
    /// Time by which the answer must begin to be on time.
    pub target: MonoTime,
    /// Time after which the answer is of no use.
    pub deadline: MonoTime,
    /// Time that an engine needs for the first part of the answer.
    pub first_part: TimeSpan,
}

impl RequestTimes {
    /// Latest time at which an engine can start for the answer to be of use.
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

    /// Ranks a request; zero is the most urgent priority.
    #[must_use]
    pub fn new(priority: u32, times: &RequestTimes, now: MonoTime) -> Self {
        let late = now + times.first_part >= times.target;
        Self {
            late,
            late_priority: if late { priority } else { 0 },
            sort_time: if late {
                times.deadline
            } else {
                times.target - times.first_part
            },
            priority,
        }
    }
}

/// Estimate of the time to the first part of an answer before the first sample.
const DEFAULT_FIRST_PART: TimeSpan = TimeSpan::from_millis(80);
/// Weight of the latest sample in the moving averages.
const NEWEST_WEIGHT: f64 = 0.1;

/// Estimates how long the first part of an answer takes once a request has an
/// engine, for requests of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FirstPartTime {
    averages: Option<AverageTime>,
}

/// Moving averages in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
struct AverageTime {
    mean: f64,
    deviation: f64,
}

impl FirstPartTime {
    /// Adds the measured time of one request.
    pub fn record(&mut self, span: TimeSpan) {
        let millis = span.seconds() * 1_000.0;
        let mut averages = self.averages.unwrap_or(AverageTime {
            mean: millis,
            deviation: 0.0,
        });
        let difference = millis - averages.mean;
        averages.mean += NEWEST_WEIGHT * difference;
        averages.deviation += NEWEST_WEIGHT * (difference.abs() - averages.deviation);
        self.averages = Some(averages);
    }

    /// Expected time: mean plus mean deviation, which most requests stay below;
    /// a default before the first sample.
    #[must_use]
    pub fn expected(&self) -> TimeSpan {
        let averages = self
            .averages
            .map(|averages| averages.mean + averages.deviation);
        averages.map_or(DEFAULT_FIRST_PART, |millis| secs_to_span(millis / 1_000.0))
    }
}
