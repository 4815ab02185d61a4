//! How often the coordinator broadcasts the number of requests at each engine
//! (the engine's load) to all daemons, how often daemons without a coordinator read the
//! engines from the store, how a reader catches up, and how often the coordinator plans.
//!
//! Load pattern: as hosts and engines are added, each broadcast gets longer and
//! goes to more daemons, all over the link of one host. The interval grows, up
//! to a maximum, so that broadcasts use only a small part of that link. The
//! loads are then older, which matters less when many engines hold each model.
//!
//! Load pattern of the reads: hundreds of daemons start at once, and the first page of a long
//! list of engines takes the store longer for all of them than they wait for it. What the
//! store has begun to send comes too late all the same, so that the coordinator, whose
//! views would end the reads, can't read either. So failed reads back off, and long lists
//! are read seldom.
//!
//! Load pattern of catching up: thousands of engines write a heartbeat each second, or
//! another writer's entries are long, so that an answer holds only some of what has come
//! since the last read. A reader that is slower than the writers gets further behind with
//! each read of the changes, until the newest entries alone are less to read.
//!
//! Load pattern of planning: a plan goes over all engines, of which there may be thousands, on
//! a host with a part of a core, while the same thread forwards requests.

use std::time::Duration;

use ward_protocol::TimeSpan;

use crate::number::secs_to_span;
use crate::settings::LinkRate;

/// Minimum time between two broadcasts.
const MIN_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Maximum time between two broadcasts; daemons regard the coordinator as lost
/// after some time without messages.
const MAX_INTERVAL: TimeSpan = TimeSpan::from_millis(600);
/// Percentage of the link that broadcasts may use; more once the interval is at
/// its maximum.
const MAX_PERCENT_OF_LINK: u64 = 3;

/// Time until the next broadcast, after one of `bytes` to each of `daemons`.
#[must_use]
pub fn load_broadcast_interval(bytes: usize, daemons: usize, link: LinkRate) -> TimeSpan {
    let bits = 8 * bytes as u64 * daemons as u64;
    // Kilobits per second are bits per millisecond.
    let rate = (link.0 * MAX_PERCENT_OF_LINK / 100).max(1);
    TimeSpan::from_millis(bits / rate).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Time between reads of the engines on a daemon without a current view.
const STANDALONE_READ_INTERVAL: TimeSpan = TimeSpan::from_millis(800);
/// Maximum number of times that this interval doubles while reads fail.
const MAX_DOUBLINGS: u32 = 3;
/// Minimum of the same interval if the list of engines has several pages; each daemon waits
/// up to twice as long.
const MIN_LONG_LIST_INTERVAL: TimeSpan = TimeSpan::from_secs(8);

/// Time until the next read of the engines on a daemon without a current view, after so many
/// failed reads in succession; `draw` is a random number in [0, 1).
#[must_use]
pub fn standalone_read_interval(failed_reads: u32, has_long_list: bool, draw: f64) -> TimeSpan {
    if has_long_list {
        return secs_to_span(MIN_LONG_LIST_INTERVAL.seconds() * (1.0 + draw));
    }
    let doublings = failed_reads.min(MAX_DOUBLINGS);
    TimeSpan::from_millis(STANDALONE_READ_INTERVAL.millis() << doublings)
}

/// What a reader of the engines reads next if records were left out of its last read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CatchUp {
    /// The changes that follow.
    Changes,
    /// The newest entries of all engines.
    Newest,
}

/// Chooses what is less to read: the records that were `left_out`, or one for each engine.
#[must_use]
pub const fn catch_up(left_out: u64, engines: usize) -> CatchUp {
    if left_out > engines as u64 {
        CatchUp::Newest
    } else {
        CatchUp::Changes
    }
}

/// Minimum delay of a plan.
const MIN_PLAN_DELAY: Duration = Duration::from_millis(3);
/// Minimum time until a plan that nothing requests.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum of both. Each plan publishes a view, without which daemons regard the coordinator as
/// lost; a plan may seem to take long because the host was frozen.
const MAX_PLAN_PAUSE: Duration = Duration::from_millis(200);
/// A plan that nothing requests follows after this many times the duration of the last one.
const REGULAR_PLAN_FACTOR: u32 = 9;

/// Pauses between two plans.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanPause {
    /// Time after which a plan follows that nothing requests.
    pub regular: Duration,
    /// Delay of each plan, in which requests are collected.
    pub requested: Duration,
}

/// The pauses after a plan that took the time `spent`. Within the maximum of the pauses, plans
/// take up to half of the thread while they are requested all the time, and a tenth otherwise.
#[must_use]
pub fn plan_pause(spent: Duration) -> PlanPause {
    let regular = spent.saturating_mul(REGULAR_PLAN_FACTOR);
    PlanPause {
        regular: regular.clamp(MIN_PLAN_INTERVAL, MAX_PLAN_PAUSE),
        requested: spent.clamp(MIN_PLAN_DELAY, MAX_PLAN_PAUSE),
    }
}
