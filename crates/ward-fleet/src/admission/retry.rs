//! When a refused caller should come back.
//!
//! Load pattern: hundreds of callers are refused within the same second and come back once
//! each. A delay shorter than the backlog gets them refused again; the same delay for all
//! makes them arrive together.

use ward_protocol::TimeSpan;

use super::flow::WorkRate;
use crate::number::{secs_to_span, u64_to_f64};

/// Bounds of the delay before it is spread.
const MIN_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);
const MAX_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(2_500);
/// Maximum lengthening of a delay that spreads callers, as a part of it.
const SPREAD: f64 = 0.4;

/// Delay after which a caller may retry: when the engines will have taken what waits, in
/// tokens, lengthened by up to `SPREAD`. The longest delay if their rate is unknown.
/// `draw` is uniform from 0 to 1.
#[must_use]
pub fn retry_delay(waiting_tokens: u64, rate: Option<WorkRate>, draw: f64) -> TimeSpan {
    let wait = rate.map_or(MAX_RETRY_DELAY, |rate| rate.time_for(waiting_tokens));
    let millis = wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY).millis();
    let spread = 1.0 + SPREAD * draw.clamp(0.0, 1.0);
    secs_to_span(u64_to_f64(millis) * spread / 1_000.0)
}
