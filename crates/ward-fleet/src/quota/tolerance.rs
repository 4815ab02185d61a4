//! What daemons enforce of a quota, given what the deployment tolerates.
//!
//! Load pattern: a tenant sends more than its rate for many seconds. Its use is judged by
//! windows, and in each it may use its rate and its burst, so a tenant that is always busy
//! is entitled to more than the rate. A bucket that fills at the rate alone refuses requests
//! that are within the quota.

use ward_protocol::TimeSpan;

use crate::number::floor_to_u64;
use crate::tenant::{QuotaAmount, QuotaRate, TenantQuota};

/// Fraction of the tolerance that is used. The rest covers daemons that lost sight of each
/// other.
const USED_TOLERANCE: f64 = 0.75;
/// Minimum fraction of the burst that the bucket of an enforced quota holds.
const MIN_BURST_FRACTION: f64 = 0.5;

/// How the use of quotas is judged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTolerance {
    /// Window over which the use of a quota is counted.
    pub window: TimeSpan,
    /// Fraction of a quota by which a tenant may exceed it in a window.
    pub excess: f64,
    /// Amount by which a tenant may exceed it in addition.
    pub slack: QuotaAmount,
}

impl QuotaTolerance {
    /// The quota to enforce: in any window its rate, its burst and the slack that daemons
    /// may hold stay within the quota and the used part of the tolerance, and it allows
    /// the quota's rate and burst in every window.
    #[must_use]
    pub fn enforced(&self, quota: TenantQuota) -> TenantQuota {
        let seconds = self.window.seconds();
        if seconds <= 0.0 {
            return quota;
        }
        let burst = quota.burst.to_f64();
        let limit = quota.rate.within(self.window) + burst;
        let slack = self.slack.to_f64();
        let usable = limit + USED_TOLERANCE * (self.excess * limit + slack);
        let held_slack = quota.capacity(self.slack) - burst;
        // Daemons may hold the slack, too, so together they still hold the burst.
        let held_burst = (burst - held_slack).max(MIN_BURST_FRACTION * burst);
        let per_second = (usable - held_burst - held_slack) / seconds;
        let rate = floor_to_u64(per_second * 1_000.0);
        TenantQuota {
            rate: quota.rate.max(QuotaRate(rate)),
            burst: QuotaAmount(floor_to_u64(held_burst)),
            unit: quota.unit,
        }
    }
}
