//! Faults that are injected on the Saturday of a replayed week.

use serde::{Deserialize, Serialize};
use ward_protocol::{MonoTime, TimeSpan};

const HOUR: u64 = 3_600;
const SATURDAY: u64 = 5 * 24 * HOUR;
const SLOW_FROM: MonoTime = MonoTime((SATURDAY + 6 * HOUR) * 1_000_000);
const SLOW_DURATION: TimeSpan = TimeSpan::from_secs(12 * HOUR);
const SLOW_FACTOR: u32 = 4;
const DOWN_FROM: MonoTime = MonoTime((SATURDAY + 9 * HOUR) * 1_000_000);
const DOWN_DURATION: TimeSpan = TimeSpan::from_secs(600);

/// Kind of trouble: the fault that is injected into a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplayTrouble {
    /// No fault.
    None,
    /// The weight store takes four times as long from 06:00 to 18:00.
    StoreSlow,
    /// The log is down from 09:00 to 09:10: no reservation can be made.
    LogDown,
}

impl ReplayTrouble {
    /// All kinds of trouble, the fault-free replay first.
    pub const ALL: [Self; 3] = [Self::None, Self::StoreSlow, Self::LogDown];

    /// Whether the log is down, so that no reservation can be made.
    #[must_use]
    pub fn is_log_down(self, now: MonoTime) -> bool {
        self == Self::LogDown && (DOWN_FROM..DOWN_FROM + DOWN_DURATION).contains(&now)
    }

    /// End of the downtime of [`Self::LogDown`], when reservations can be made again.
    #[must_use]
    pub fn log_back_at(self) -> MonoTime {
        DOWN_FROM + DOWN_DURATION
    }

    /// Factor by which loads from the weight store take longer.
    #[must_use]
    pub fn store_slowdown(self, now: MonoTime) -> u32 {
        let slow = (SLOW_FROM..SLOW_FROM + SLOW_DURATION).contains(&now);
        if self == Self::StoreSlow && slow {
            SLOW_FACTOR
        } else {
            1
        }
    }

    /// Name in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::StoreSlow => "store slow",
            Self::LogDown => "log down",
        }
    }
}
