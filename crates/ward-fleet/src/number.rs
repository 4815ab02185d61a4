//! Conversions between counts, time spans and floating-point numbers.

use ward_protocol::TimeSpan;

/// Converts a count; exact, since counts here stay far below 2^52.
#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
#[must_use]
pub const fn usize_to_f64(count: usize) -> f64 {
    count as f64
}

/// Converts a large number, such as one of tokens, bytes or kilobits per
/// second; exact, since these stay far below 2^52.
#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
#[must_use]
pub const fn u64_to_f64(count: u64) -> f64 {
    count as f64
}

/// Converts to a count: rounds down, and negative values become zero.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates as intended"
)]
#[must_use]
pub const fn floor_to_u64(value: f64) -> u64 {
    value as u64
}

/// Converts seconds to a time span; negative values become zero.
#[must_use]
pub const fn secs_to_span(seconds: f64) -> TimeSpan {
    TimeSpan::from_millis(floor_to_u64(seconds * 1_000.0))
}
