//! Rates of requests.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use ward_protocol::{IdError, TimeSpan};

use crate::number::{floor_to_u64, u64_to_f64};

const MILLIS_PER_UNIT: f64 = 1_000.0;

/// A rate of requests, in thousandths of a request per second; written as `2.8/s`.
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
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        u64_to_f64(self.0) / MILLIS_PER_UNIT
    }

    /// Requests within a time span.
    #[must_use]
    pub fn within(self, span: TimeSpan) -> f64 {
        self.per_second() * span.seconds()
    }
}

/// From requests per second, rounded down.
impl TryFrom<f64> for RequestRate {
    type Error = IdError;

    fn try_from(per_second: f64) -> Result<Self, IdError> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(IdError::Number("request rate"));
        }
        Ok(Self(floor_to_u64(per_second * MILLIS_PER_UNIT)))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.per_second())
    }
}

impl FromStr for RequestRate {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let digits = text.strip_suffix("/s").unwrap_or(text);
        let per_second: f64 = digits
            .trim()
            .parse()
            .map_err(|_| IdError::Number("request rate"))?;
        Self::try_from(per_second)
    }
}
