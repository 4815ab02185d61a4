//! A token bucket, as all bounds on requests over several daemons use it.

use ward_protocol::{MonoTime, TimeSpan};

/// Tokens that may be spent, filled at a rate up to a capacity. A new bucket is empty:
/// another daemon may have handed out the tokens of the same bound until just now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: Option<MonoTime>,
}

impl TokenBucket {
    /// An empty bucket that has been filling since a point in time.
    #[must_use]
    pub const fn since(start: MonoTime) -> Self {
        Self {
            tokens: 0.0,
            filled_at: Some(start),
        }
    }

    /// Adds the tokens since the last call; those beyond the capacity are lost.
    pub fn fill(&mut self, per_second: f64, capacity: f64, now: MonoTime) {
        let span = self.filled_at.map_or(TimeSpan::ZERO, |at| now.since(at));
        self.tokens = (self.tokens + per_second * span.seconds()).min(capacity);
        self.filled_at = Some(now);
    }

    /// Leaves out the time until `now`, which brings no tokens.
    pub fn skip_until(&mut self, now: MonoTime) {
        self.filled_at = self.filled_at.max(Some(now));
    }

    /// Tokens in the bucket.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Whether the bucket holds this many tokens.
    #[must_use]
    pub fn holds(&self, amount: f64) -> bool {
        self.tokens >= amount
    }

    /// Takes tokens out.
    pub fn take(&mut self, amount: f64) {
        self.tokens -= amount;
    }

    /// Puts tokens in.
    pub fn put(&mut self, amount: f64) {
        self.tokens += amount;
    }

    /// Removes the tokens beyond a capacity.
    pub fn clamp_to(&mut self, capacity: f64) {
        self.tokens = self.tokens.min(capacity);
    }
}
