//! Order in which waiting requests get an engine.
//!
//! Load pattern: for some seconds there are more requests than slots, the time
//! to first output differs much between kinds of requests, and some requests
//! are already late. The request that must start first to be on time goes
//! first, whatever its kind, so that no kind is starved by a more urgent one.
//! Priority decides between requests that must start at the same time, and
//! between late requests. Late requests come after all that can still be on
//! time. When not all can be on time, `admission` defers some of them behind the others.
//!
//! How long answers of each kind take decides, too, which requests a daemon still takes
//! while it shuts down.

use ward_protocol::{MonoTime, TimeSpan};

use crate::number::secs_to_span;
use crate::tenant::RequestPriority;

/// Rank of a waiting request in the queue; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    late: bool,
    /// Whether the request gives way to those that can be on time; `false` for a late one.
    deferred: bool,
    /// Priority of a late request; the most urgent one for others.
    late_priority: RequestPriority,
    /// Deadline of a late request; for others, the latest start to be on time.
    sort_time: MonoTime,
    priority: RequestPriority,
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

    /// Latest time at which an engine can start for the answer to be on time.
    #[must_use]
    pub fn latest_start_on_time(&self) -> MonoTime {
        self.target - self.first_part
    }

    /// Whether the answer can no longer be on time.
    #[must_use]
    pub fn is_late(&self, now: MonoTime) -> bool {
        now + self.first_part >= self.target
    }
}

impl QueueRank {
    /// Whether the request can no longer meet its target.
    #[must_use]
    pub const fn is_late(&self) -> bool {
        self.late
    }

    /// The rank behind all that can be on time, but before what is late.
    #[must_use]
    pub const fn deferred(self) -> Self {
        Self {
            deferred: !self.late,
            ..self
        }
    }

    /// Ranks a request.
    #[must_use]
    pub fn new(priority: RequestPriority, times: &RequestTimes, now: MonoTime) -> Self {
        let late = times.is_late(now);
        Self {
            late,
            deferred: false,
            late_priority: if late {
                priority
            } else {
                RequestPriority::default()
            },
            sort_time: if late {
                times.deadline
            } else {
                times.latest_start_on_time()
            },
            priority,
        }
    }
}

/// Estimate of the time to the first part of an answer before the first sample.
const DEFAULT_FIRST_PART: TimeSpan = TimeSpan::from_millis(80);
/// Mean deviations above the mean that few answers exceed, as in the retransmission
/// timeout of TCP.
const TAIL_DEVIATIONS: f64 = 4.0;
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

impl AverageTime {
    /// The averages with one more sample.
    fn with_sample(averages: Option<Self>, span: TimeSpan) -> Self {
        let millis = span.seconds() * 1_000.0;
        let mut averages = averages.unwrap_or(Self {
            mean: millis,
            deviation: 0.0,
        });
        let difference = millis - averages.mean;
        averages.mean += NEWEST_WEIGHT * difference;
        averages.deviation += NEWEST_WEIGHT * (difference.abs() - averages.deviation);
        averages
    }

    /// The mean plus a multiple of the mean deviation.
    fn bound(&self, deviations: f64) -> TimeSpan {
        secs_to_span((self.mean + deviations * self.deviation) / 1_000.0)
    }
}

impl FirstPartTime {
    /// Adds the measured time of one request.
    pub fn record(&mut self, span: TimeSpan) {
        self.averages = Some(AverageTime::with_sample(self.averages, span));
    }

    /// Expected time: mean plus mean deviation, which most requests stay below;
    /// a default before the first sample.
    #[must_use]
    pub fn expected(&self) -> TimeSpan {
        let averages = self.averages;
        averages.map_or(DEFAULT_FIRST_PART, |averages| averages.bound(1.0))
    }
}

/// Estimates how long whole answers take from the arrival of their requests, for requests
/// of one kind.
///
/// Load pattern: a daemon shuts down while requests arrive. One that is unlikely to end
/// before the process does had better go to another daemon at once.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnswerTime {
    averages: Option<AverageTime>,
}

impl AnswerTime {
    /// Adds the measured time of one answer.
    pub fn record(&mut self, span: TimeSpan) {
        self.averages = Some(AverageTime::with_sample(self.averages, span));
    }

    /// Time that few answers exceed; zero before the first sample.
    #[must_use]
    pub fn bound(&self) -> TimeSpan {
        let averages = self.averages;
        averages.map_or(TimeSpan::ZERO, |averages| averages.bound(TAIL_DEVIATIONS))
    }
}
