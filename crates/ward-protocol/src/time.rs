//! Points in time and time spans.
//!
//! Code that makes decisions gets the current time as a value and reads no clock.
//! [`MonoTime`] is valid within one process and never goes back. [`WallTime`] can be
//! compared between hosts but is only as accurate as their clocks, so no safety
//! guarantee depends on it.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::unit::UnitError;

/// A time span, written as `250ms`, `2m` or `1h 30m`.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct TimeSpan(Duration);

impl TimeSpan {
    /// The empty span.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// A span in milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// A span in microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(Duration::from_micros(micros))
    }

    /// A span in seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(Duration::from_secs(seconds))
    }

    /// The span as the standard type.
    #[must_use]
    pub const fn duration(self) -> Duration {
        self.0
    }

    /// Whole milliseconds, rounded down.
    #[must_use]
    pub fn millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }

    /// Whole microseconds, rounded down.
    #[must_use]
    pub fn micros(self) -> u64 {
        u64::try_from(self.0.as_micros()).unwrap_or(u64::MAX)
    }

    /// The difference, zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The span in seconds with a fraction.
    #[must_use]
    pub fn seconds(self) -> f64 {
        self.0.as_secs_f64()
    }
}

impl From<Duration> for TimeSpan {
    fn from(duration: Duration) -> Self {
        Self(duration)
    }
}

impl Add for TimeSpan {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(formatter)
    }
}

impl FromStr for TimeSpan {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        humantime::parse_duration(text)
            .map(Self)
            .map_err(|_| UnitError::Span(text.to_owned()))
    }
}

/// A point on the monotonic clock of one process, in microseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// The time elapsed since `earlier`, zero if that is in fact later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> TimeSpan {
        TimeSpan::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeSpan> for MonoTime {
    type Output = Self;

    fn add(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_add(span.micros()))
    }
}

impl Sub<TimeSpan> for MonoTime {
    type Output = Self;

    fn sub(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_sub(span.micros()))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}us", self.0)
    }
}

/// A point on a host's wall clock, in milliseconds since 1970-01-01 UTC.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// The current time of this host.
    #[must_use]
    pub fn now() -> Self {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Self(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// The time elapsed since `earlier`, zero if that is in fact later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> TimeSpan {
        TimeSpan::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeSpan> for WallTime {
    type Output = Self;

    fn add(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_add(span.millis()))
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = UNIX_EPOCH + Duration::from_millis(self.0);
        humantime::format_rfc3339_millis(time).fmt(formatter)
    }
}

const MINUTES_PER_HOUR: u16 = 60;
const HOURS_PER_DAY: u16 = 24;

/// A time of day in minutes since midnight UTC, written `07:30`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct DayTime(u16);

impl DayTime {
    /// Minutes since midnight.
    #[must_use]
    pub const fn minutes(self) -> u16 {
        self.0
    }
}

impl FromStr for DayTime {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let fail = || UnitError::Day(text.to_owned());
        let (hours, minutes) = text.trim().split_once(':').ok_or_else(fail)?;
        let hours: u16 = hours.parse().map_err(|_| fail())?;
        let minutes: u16 = minutes.parse().map_err(|_| fail())?;
        if hours >= HOURS_PER_DAY || minutes >= MINUTES_PER_HOUR {
            return Err(fail());
        }
        Ok(Self(hours * MINUTES_PER_HOUR + minutes))
    }
}

impl fmt::Display for DayTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hours = self.0 / MINUTES_PER_HOUR;
        let minutes = self.0 % MINUTES_PER_HOUR;
        write!(formatter, "{hours:02}:{minutes:02}")
    }
}
