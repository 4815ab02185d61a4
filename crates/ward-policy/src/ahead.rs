//! When replicas must be ordered to be ready at the time of day that the plan names.

use ward_protocol::{DayTime, PolicyValues, TimeSpan};

const DAY_SECONDS: u64 = 24 * 3_600;
const MINUTE_SECONDS: u64 = 60;

/// When a row of the plan needs ready replicas, and the current time of day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyTerms {
    /// Time of day from which the row's replicas are kept ready; `None` means the whole day.
    pub from: Option<DayTime>,
    /// Current time of day, as time since midnight UTC.
    pub time_of_day: TimeSpan,
    /// Time from ordering a replica until it can answer requests.
    pub load_time: TimeSpan,
}

/// Time until the row's replicas must be ordered; zero from then until midnight. Zero at all
/// times if the row names no time of day, or one so soon after midnight that the order is due
/// before it.
#[must_use]
pub fn time_until_order(terms: &ReadyTerms, values: &PolicyValues) -> TimeSpan {
    let Some(from) = terms.from else {
        return TimeSpan::ZERO;
    };
    let start = TimeSpan::from_secs(u64::from(from.minutes()) * MINUTE_SECONDS);
    let lead = (terms.load_time + values.ahead_slack).micros();
    let order_at = start.micros().saturating_sub(lead);
    let midnight = TimeSpan::from_secs(DAY_SECONDS).micros();
    // The part of the lead before midnight. If there is any, `order_at` is zero, and the
    // replicas are ordered at any time of day.
    let overlap = lead.saturating_sub(start.micros());
    let order_now =
        terms.time_of_day.micros() >= order_at || terms.time_of_day.micros() + overlap >= midnight;
    if order_now {
        return TimeSpan::ZERO;
    }
    TimeSpan::from_micros(order_at - terms.time_of_day.micros())
}
