//! Counts and spans as real numbers, and back.

use ward_protocol::TimeSpan;

/// A count as a real number; counts here stay far below 2^52.
#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
#[must_use]
pub const fn real(count: usize) -> f64 {
    count as f64
}

/// A number of tokens as a real number.
#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
#[must_use]
pub const fn real_u64(count: u64) -> f64 {
    count as f64
}

/// A real number as a count: rounded down, at least zero.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, which is meant"
)]
#[must_use]
pub const fn whole(value: f64) -> u64 {
    value as u64
}

/// Seconds as a span; zero when negative.
#[must_use]
pub const fn span(seconds: f64) -> TimeSpan {
    TimeSpan::from_millis(whole(seconds * 1_000.0))
}
