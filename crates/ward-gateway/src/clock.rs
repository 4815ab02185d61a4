//! The clock for leases, deadlines and ages.

use rustix::time::{ClockId, clock_gettime};
use ward_protocol::MonoTime;

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1_000;

/// Time since the host booted, including time in suspension: a lease must not
/// outlast a suspension, which the monotonic clock does not count.
pub(crate) fn now() -> MonoTime {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec * MICROS_PER_SECOND + time.tv_nsec / NANOS_PER_MICRO;
    MonoTime(u64::try_from(micros).unwrap_or(0))
}
