//! Quotas of tenants: rates and amounts of requests or of tokens.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use ward_protocol::{IdError, TimeSpan, number_id};

use crate::number::{floor_to_u64, u64_to_f64};

const MILLIS_PER_UNIT: f64 = 1_000.0;

number_id!(
    /// An amount of what a quota limits: requests or tokens.
    QuotaAmount, "quota amount"
);

impl QuotaAmount {
    /// The amount as a floating-point number.
    #[must_use]
    pub const fn to_f64(self) -> f64 {
        u64_to_f64(self.0)
    }
}

/// A rate of what a quota limits, in thousandths per second; written as `2.8/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QuotaRate(pub u64);

impl QuotaRate {
    /// Units per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        u64_to_f64(self.0) / MILLIS_PER_UNIT
    }

    /// Units within a time span.
    #[must_use]
    pub fn within(self, span: TimeSpan) -> f64 {
        self.per_second() * span.seconds()
    }
}

/// From units per second, rounded down.
impl TryFrom<f64> for QuotaRate {
    type Error = IdError;

    fn try_from(per_second: f64) -> Result<Self, IdError> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(IdError::Number("quota rate"));
        }
        Ok(Self(floor_to_u64(per_second * MILLIS_PER_UNIT)))
    }
}

impl fmt::Display for QuotaRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.per_second())
    }
}

impl FromStr for QuotaRate {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let digits = text.strip_suffix("/s").unwrap_or(text);
        let per_second: f64 = digits
            .trim()
            .parse()
            .map_err(|_| IdError::Number("quota rate"))?;
        Self::try_from(per_second)
    }
}

/// The tokens that a request names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum number of tokens of the answer.
    pub output: u64,
}

impl TokenCount {
    /// Tokens of prompt and answer together.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its tokens.
    Tokens {
        /// Tokens of a request that names none.
        unnamed: QuotaAmount,
    },
}

impl QuotaUnit {
    /// What a request with these tokens counts.
    #[must_use]
    pub const fn cost(self, tokens: Option<TokenCount>) -> QuotaAmount {
        match (self, tokens) {
            (Self::Requests, _) => QuotaAmount(1),
            (Self::Tokens { .. }, Some(tokens)) => QuotaAmount(tokens.total()),
            (Self::Tokens { unnamed }, None) => unnamed,
        }
    }
}

/// Limit on the requests of a tenant, over all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantQuota {
    /// Rate that may be used all the time.
    pub rate: QuotaRate,
    /// Amount that may be used at once, in addition to the rate.
    pub burst: QuotaAmount,
    /// What is counted.
    pub unit: QuotaUnit,
}

impl TenantQuota {
    /// Amount that all daemons together may hold in hand, with `slack` as the bound on
    /// what a tenant may use beyond its quota. The other half of the slack covers what
    /// daemons that follow no coordinator save up.
    #[must_use]
    pub const fn capacity(&self, slack: QuotaAmount) -> f64 {
        self.burst.to_f64() + slack.to_f64() / 2.0
    }
}
