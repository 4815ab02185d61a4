//! How often the coordinator broadcasts the number of requests at each engine
//! (the engine's load) to all daemons.
//!
//! Load pattern: as hosts and engines are added, each broadcast gets longer and
//! goes to more daemons, all over the link of one host. The interval grows, up
//! to a maximum, so that broadcasts use only a small part of that link. The
//! loads are then older, which matters less when many engines hold each model.

use ward_protocol::TimeSpan;

use crate::settings::LinkRate;

/// Minimum time between two broadcasts.
const MIN_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Maximum time between two broadcasts; daemons regard the coordinator as lost
/// after some time without messages.
const MAX_INTERVAL: TimeSpan = TimeSpan::from_millis(600);
/// Percentage of the link that broadcasts may use; more once the interval is at
/// its maximum.
const MAX_PERCENT_OF_LINK: u64 = 3;

/// Time until the next broadcast, after one of `bytes` to each of `daemons`.
#[must_use]
pub fn load_broadcast_interval(bytes: usize, daemons: usize, link: LinkRate) -> TimeSpan {
    let bits = 8 * bytes as u64 * daemons as u64;
    // Kilobits per second are bits per millisecond.
    let rate = (link.0 * MAX_PERCENT_OF_LINK / 100).max(1);
    TimeSpan::from_millis(bits / rate).clamp(MIN_INTERVAL, MAX_INTERVAL)
}
