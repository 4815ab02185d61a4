//! Memory sizes and priority levels, and the error of parsing a quantity.

use std::fmt;
use std::iter::Sum;
use std::str::FromStr;

use quick_error::quick_error;
use serde_with::{DeserializeFromStr, SerializeDisplay};

quick_error! {
    /// A text that is not a valid quantity.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnitError {
        /// Not a memory size.
        Memory(text: String) {
            display("{text:?} is not a memory size; write a number with a unit, such as 512MiB or 24GiB")
        }
        /// Not a priority level.
        Priority(text: String) {
            display("{text:?} is not a priority; write a whole number from 0 (first) to 7 (last)")
        }
        /// Not a time span.
        Span(text: String) {
            display("{text:?} is not a time span; write a number with a unit, such as 250ms or 2m")
        }
        /// Not a time of day.
        Day(text: String) {
            display("{text:?} is not a time of day; write hours and minutes, such as 07:30")
        }
    }
}

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;
const UNITS: [(&str, u64); 4] = [("GiB", GIB), ("MiB", MIB), ("KiB", KIB), ("B", 1)];

/// A memory size in bytes.
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
pub struct MemorySize(u64);

impl MemorySize {
    /// No memory.
    pub const ZERO: Self = Self(0);

    /// A size in bytes.
    #[must_use]
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// A size in units of 2^20 bytes.
    #[must_use]
    pub const fn from_mib(mebibytes: u64) -> Self {
        Self(mebibytes * MIB)
    }

    /// A size in units of 2^30 bytes.
    #[must_use]
    pub const fn from_gib(gibibytes: u64) -> Self {
        Self(gibibytes * GIB)
    }

    /// The size in bytes.
    #[must_use]
    pub const fn bytes(self) -> u64 {
        self.0
    }

    /// The sum, capped at the largest size.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The difference, zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Sum for MemorySize {
    fn sum<I: Iterator<Item = Self>>(sizes: I) -> Self {
        sizes.fold(Self::ZERO, Self::saturating_add)
    }
}

impl fmt::Display for MemorySize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let exact = UNITS
            .iter()
            .find(|(_, bytes)| self.0 >= *bytes && self.0.is_multiple_of(*bytes));
        let (name, bytes) = exact.unwrap_or(&("B", 1));
        write!(formatter, "{}{name}", self.0 / bytes)
    }
}

impl FromStr for MemorySize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let fail = || UnitError::Memory(text.to_owned());
        let trimmed = text.trim();
        let (name, bytes) = UNITS
            .iter()
            .find(|(name, _)| trimmed.ends_with(name))
            .ok_or_else(fail)?;
        let digits = trimmed[..trimmed.len() - name.len()].trim_end();
        let count: u64 = digits.parse().map_err(|_| fail())?;
        count.checked_mul(*bytes).map(Self).ok_or_else(fail)
    }
}

/// Urgency of a request or load as in RFC 9218: 0 is served first, 7 last.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct PriorityLevel(u8);

impl PriorityLevel {
    /// The most urgent level.
    pub const FIRST: Self = Self(0);
    /// The least urgent level.
    pub const LAST: Self = Self(7);
    /// Number of levels.
    pub const COUNT: usize = 8;

    /// The level as a number, 0 to 7.
    #[must_use]
    pub const fn level(self) -> u8 {
        self.0
    }
}

impl Default for PriorityLevel {
    /// The default urgency of RFC 9218.
    fn default() -> Self {
        Self(3)
    }
}

impl TryFrom<u8> for PriorityLevel {
    type Error = UnitError;

    fn try_from(level: u8) -> Result<Self, UnitError> {
        if level > Self::LAST.0 {
            return Err(UnitError::Priority(level.to_string()));
        }
        Ok(Self(level))
    }
}

impl FromStr for PriorityLevel {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let level: u8 = text
            .trim()
            .parse()
            .map_err(|_| UnitError::Priority(text.to_owned()))?;
        Self::try_from(level)
    }
}

impl fmt::Display for PriorityLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
