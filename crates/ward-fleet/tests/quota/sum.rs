//! What a fleet admits in sum, whatever happens to it.

use proptest::prelude::*;

use crate::fleet::{SimFleet, TENANT, WINDOW, requests_quota};
use crate::{allowed, idle};

/// What happens to the fleet in a property test.
#[derive(Debug, Clone)]
enum Trouble {
    Cut(usize, u64),
    CutMany(usize, u64),
    Freeze(usize, u64),
    Restart(usize),
    LoseCoordinator(u64),
    Flood(u64),
}

fn trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        (0..370_usize, 500..9_000_u64).prop_map(|(daemon, time)| Trouble::Cut(daemon, time)),
        (2..10_usize, 500..9_000_u64).prop_map(|(part, time)| Trouble::CutMany(part, time)),
        (0..370_usize, 500..6_000_u64).prop_map(|(daemon, time)| Trouble::Freeze(daemon, time)),
        (0..370_usize).prop_map(Trouble::Restart),
        (100..6_000_u64).prop_map(Trouble::LoseCoordinator),
        (1..30_u64).prop_map(Trouble::Flood),
    ]
}

fn make_trouble(fleet: &mut SimFleet, daemons: usize, trouble: &Trouble) -> Option<u64> {
    match trouble {
        Trouble::Cut(daemon, time) => fleet.cut(daemon % daemons, *time),
        Trouble::CutMany(part, time) => {
            for daemon in (0..daemons).step_by(*part) {
                fleet.cut(daemon, *time);
            }
        }
        Trouble::Freeze(daemon, time) => fleet.freeze(daemon % daemons, *time),
        Trouble::Restart(daemon) => fleet.restart(daemon % daemons),
        Trouble::LoseCoordinator(time) => fleet.lose_coordinator(*time),
        Trouble::Flood(per_step) => return Some(*per_step),
    }
    None
}

fn expect_sum_kept(
    daemons: usize,
    troubles: &[(u64, Trouble)],
) -> std::result::Result<(), TestCaseError> {
    for (quota, slack, cost) in [
        (requests_quota(60, 60), 40, 1),
        (requests_quota(29_000, 29_000), 110_000, 720),
    ] {
        let mut fleet = SimFleet::new(daemons, &[(TENANT, quota)], slack);
        idle(&mut fleet, 4_000);
        let mut number: usize = 0;
        let mut per_step = 2;
        for (pause, trouble) in troubles {
            let end = fleet.now + pause;
            per_step = make_trouble(&mut fleet, daemons, trouble).unwrap_or(per_step);
            while fleet.now < end {
                fleet.step();
                for _ in 0..per_step {
                    fleet.request(number * 7_919 % daemons, TENANT, cost);
                    number += 1;
                }
            }
        }
        let most = fleet.most_in_window(TENANT, WINDOW, 0);
        prop_assert!(
            most <= allowed(quota, slack),
            "{most} of {}",
            allowed(quota, slack)
        );
    }
    Ok(())
}

fn troubles() -> impl Strategy<Value = Vec<(u64, Trouble)>> {
    prop::collection::vec((100..4_000_u64, trouble()), 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sum_over_9_daemons_stays_within_the_quota(troubles in troubles()) {
        expect_sum_kept(9, &troubles)?;
    }

    #[test]
    fn sum_over_86_daemons_stays_within_the_quota(troubles in troubles()) {
        expect_sum_kept(86, &troubles)?;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 6, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sum_over_370_daemons_stays_within_the_quota(troubles in troubles()) {
        expect_sum_kept(370, &troubles)?;
    }
}
