//! Quotas of tenants: rates and amounts of requests or of tokens.

use ward_protocol::number_id;

use crate::number::u64_to_f64;
use crate::rate::rate_type;

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

rate_type!(
    /// A rate of what a quota limits, in thousandths per second; written as `2.8/s`.
    QuotaRate, "quota rate"
);

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
