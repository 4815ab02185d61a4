//! What is enforced of a quota, given the tolerance of the deployment.

use googletest::prelude::*;
use proptest::prelude::*;
use ward_fleet::{QuotaAmount, QuotaRate, QuotaTolerance, QuotaUnit, TenantQuota};
use ward_protocol::TimeSpan;

const WINDOW: TimeSpan = TimeSpan::from_secs(8);

fn quota(per_second: u64, burst: u64) -> TenantQuota {
    TenantQuota {
        rate: QuotaRate(per_second * 1_000),
        burst: QuotaAmount(burst),
        unit: QuotaUnit::Requests,
    }
}

fn tolerance(excess: f64, slack: u64) -> QuotaTolerance {
    QuotaTolerance {
        window: WINDOW,
        excess,
        slack: QuotaAmount(slack),
    }
}

#[gtest]
fn enforced_without_tolerance_is_the_quota() {
    let quota = quota(1_000, 500);
    expect_that!(tolerance(0.0, 0).enforced(quota), eq(quota));
}

#[gtest]
fn enforced_busy_tenant_was_refused_within_its_quota() {
    // What the quota allows in each window: the rate and the burst, over and over.
    let entitled = 1_000.0 + 1_000.0 / WINDOW.seconds();
    let enforced = tolerance(0.1, 800).enforced(quota(1_000, 1_000));
    expect_that!(enforced.rate.per_second(), ge(entitled));
}

proptest! {
    #[test]
    fn enforced_use_in_a_window_stays_within_quota_and_tolerance(
        per_second in 1_u64..1_000_000,
        burst in 0_u64..1_000_000,
        excess in 0.0..0.5,
        slack in 0_u64..500_000,
    ) {
        let quota = quota(per_second, burst);
        let tolerance = tolerance(excess, slack);
        let enforced = tolerance.enforced(quota);
        let held = enforced.capacity(tolerance.slack);
        let used = enforced.rate.within(WINDOW) + held;
        let limit = quota.rate.within(WINDOW) + quota.burst.to_f64();
        // What daemons without a coordinator save up takes a quarter of the slack.
        let allowed = limit * (1.0 + excess) + tolerance.slack.to_f64() * 0.75;
        prop_assert!(used <= allowed + 1.0, "{used} of {allowed}");
        prop_assert!(used >= limit - 1.0, "{used} of {limit}");
        prop_assert!(held >= quota.burst.to_f64() * 0.5);
    }
}
