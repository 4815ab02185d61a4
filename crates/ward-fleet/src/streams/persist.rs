//! How often daemons write the origins of their streams to the store.
//!
//! Load pattern: all daemons end at the same moment, and callers take up the streams that
//! broke off. Only those written before can go on, so the first bytes of a stream wait for
//! the next write. A daemon writes often; but all daemons together leave most of the
//! store's write calls to others.

use ward_protocol::TimeSpan;

use crate::limit::RequestRate;
use crate::number::{secs_to_span, usize_to_f64};

/// Fraction of the store's write calls that all daemons together use for streams.
const WRITE_FRACTION: f64 = 0.1;
/// Minimum time between two writes by one daemon; each repeats all its streams.
const MIN_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// Maximum time between two writes by one daemon, however few the store takes.
const MAX_INTERVAL: TimeSpan = TimeSpan::from_secs(30);

/// Time between two writes by one of `daemons` daemons, of which the store takes `writes`
/// from all together.
#[must_use]
pub fn persist_interval(daemons: usize, writes: RequestRate) -> TimeSpan {
    let per_second = WRITE_FRACTION * writes.per_second();
    if per_second <= 0.0 {
        return MAX_INTERVAL;
    }
    let interval = secs_to_span(usize_to_f64(daemons) / per_second);
    interval.clamp(MIN_INTERVAL, MAX_INTERVAL)
}
