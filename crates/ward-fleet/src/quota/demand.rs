//! Estimate of the credit that a daemon needs for the next requests of a tenant.

use ward_protocol::{MonoTime, TimeSpan};

/// Time over which the rate of requests is averaged.
const AVERAGING_TIME: TimeSpan = TimeSpan::from_secs(2);
/// Time whose expected requests a daemon holds credit for. Covers several reports, and
/// the start of the loss of a coordinator.
const HORIZON: TimeSpan = TimeSpan::from_millis(1_500);
/// Time after its last request for which a tenant is expected to send another.
const INTEREST: TimeSpan = TimeSpan::from_secs(6);
/// Weight of the latest request in the typical cost.
const TYPICAL_WEIGHT: f64 = 0.1;

/// What the requests of one tenant at one daemon have cost of late.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct TenantDemand {
    /// Cost of the requests, each weighted less with its age.
    recent: f64,
    typical: f64,
    last_at: Option<MonoTime>,
}

impl TenantDemand {
    /// Records a request.
    pub(super) fn record(&mut self, cost: f64, now: MonoTime) {
        self.recent = self.recent_at(now) + cost;
        self.typical = match self.last_at {
            None => cost,
            Some(_) => self.typical + TYPICAL_WEIGHT * (cost - self.typical),
        };
        self.last_at = Some(now);
    }

    fn recent_at(&self, now: MonoTime) -> f64 {
        let age = self.last_at.map_or(TimeSpan::ZERO, |at| now.since(at));
        self.recent * (-age.seconds() / AVERAGING_TIME.seconds()).exp()
    }

    /// Credit to hold: for the expected requests, and for at least one.
    pub(super) fn wanted(&self, now: MonoTime) -> f64 {
        if self.last_at.is_none_or(|at| now.since(at) > INTEREST) {
            return 0.0;
        }
        let expected = self.recent_at(now) * HORIZON.seconds() / AVERAGING_TIME.seconds();
        expected.max(self.typical)
    }
}
