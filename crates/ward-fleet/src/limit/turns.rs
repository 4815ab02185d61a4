//! Turns at a limited engine, for daemons that follow no coordinator.
//!
//! Daemons that can't reach each other can't share a limit by demand, and tokens that
//! each saves up by itself could all be spent at the same moment. So time is divided into
//! turns, which belong to the daemons one after another; a daemon sends only in its own
//! turns, and a turn that passes unused is lost. Together the daemons stay within the
//! limit. Wall clocks that differ shift the turns of a daemon, and never add to them.

use ward_protocol::{TimeSpan, WallTime};

use super::MIN_RATE;
use super::rate::RequestRate;
use crate::number::floor_to_u64;

/// Minimum length of a turn; longer than the interval in which waiting requests are looked
/// at again.
const MIN_TURN: TimeSpan = TimeSpan::from_millis(600);

/// The place of a daemon among all that share limits, at a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnShare {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of this daemon, from 0.
    pub rank: usize,
    /// Current time by the wall clock of the host.
    pub now: WallTime,
}

/// A turn of this daemon at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// Number of the turn since the epoch of the wall clock.
    pub number: u64,
    /// Number of requests that may be sent in it.
    pub requests: u32,
}

/// Length and size of the turns at an engine.
#[derive(Debug, Clone, Copy)]
struct TurnPlan {
    millis: u64,
    requests: u32,
}

impl TurnPlan {
    /// The shortest turns in which a whole number of requests is allowed.
    fn new(rate: RequestRate) -> Self {
        let rate = rate.max(MIN_RATE);
        let requests = floor_to_u64(rate.within(MIN_TURN).ceil()).max(1);
        Self {
            millis: (requests * 1_000_000).div_ceil(rate.0),
            requests: u32::try_from(requests).unwrap_or(u32::MAX),
        }
    }
}

impl TurnShare {
    /// The current turn at an engine with a limit, if it is this daemon's.
    #[must_use]
    pub fn own_turn(&self, rate: RequestRate) -> Option<Turn> {
        let plan = TurnPlan::new(rate);
        let number = self.now.0 / plan.millis;
        let is_own = number % self.daemon_count() == self.rank as u64;
        is_own.then_some(Turn {
            number,
            requests: plan.requests,
        })
    }

    /// Time until this daemon may send a request with `ahead` others before it to an
    /// engine, in its next turns.
    #[must_use]
    pub fn wait_for(&self, rate: RequestRate, ahead: usize) -> TimeSpan {
        let plan = TurnPlan::new(rate);
        let daemons = self.daemon_count();
        let number = self.now.0 / plan.millis;
        let turns_until_own = (self.rank as u64 + daemons - number % daemons) % daemons;
        let own_turns_before = ahead as u64 / u64::from(plan.requests);
        let turns = turns_until_own + own_turns_before * daemons;
        if turns == 0 {
            return TimeSpan::ZERO;
        }
        TimeSpan::from_millis((number + turns) * plan.millis - self.now.0)
    }

    fn daemon_count(&self) -> u64 {
        self.daemons.max(self.rank + 1) as u64
    }
}
