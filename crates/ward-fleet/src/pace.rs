//! How often all daemons are told how busy engines are.
//!
//! Load pattern: as hosts and engines are added, each telling gets longer and
//! goes to more daemons, all over the link of one host. The pause grows so that
//! the tellings use no more than a small part of that link; the counts are older
//! then, which matters less with many engines for each model.

use ward_protocol::TimeSpan;

use crate::settings::LinkRate;

/// Shortest pause.
const LEAST_PAUSE: TimeSpan = TimeSpan::from_millis(200);
/// Longest pause; daemons take the coordinator for lost after some silence.
const LONGEST_PAUSE: TimeSpan = TimeSpan::from_millis(600);
/// Part of the link that the tellings may use, in percent.
const LINK_PERCENT: u64 = 3;

/// The pause after a telling of so many bytes to so many daemons.
#[must_use]
pub fn load_broadcast_interval(bytes: usize, daemons: usize, link: LinkRate) -> TimeSpan {
    let bits = 8 * bytes as u64 * daemons as u64;
    // Kilobits per second are bits per millisecond.
    let rate = (link.0 * LINK_PERCENT / 100).max(1);
    TimeSpan::from_millis(bits / rate).clamp(LEAST_PAUSE, LONGEST_PAUSE)
}
