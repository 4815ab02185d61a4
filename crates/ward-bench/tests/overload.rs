//! One overloaded queue: who is served on time, late or not at all.

use googletest::prelude::*;
use ward_bench::emulator::overload::{
    DemandMix, OverloadKind, OverloadOrder, OverloadOutcome, draw_calls, run_overload,
};
use ward_protocol::TimeSpan;

const SEEDS: std::ops::Range<u64> = 1..2;
const LENGTH: TimeSpan = TimeSpan::from_secs(10);
/// Urgent kinds need less than the engines can do even at twice their load.
const MIX: DemandMix = DemandMix {
    urgent: 0.3,
    long: 0.03,
};

fn outcome(load: f64, order: OverloadOrder, seed: u64) -> OverloadOutcome {
    run_overload(&draw_calls(MIX, load, LENGTH, seed), order)
}

#[gtest]
fn run_overload_enough_room_is_the_same_in_both_orders() {
    for seed in SEEDS {
        let former = outcome(0.8, OverloadOrder::LatestStart, seed);
        expect_that!(outcome(0.8, OverloadOrder::Deferring, seed), eq(&former));
    }
}

/// By latest start alone, less than half of the urgent requests were served on time.
#[gtest]
fn run_overload_at_twice_the_capacity_urgent_requests_are_on_time() {
    for seed in SEEDS {
        let calm = outcome(0.8, OverloadOrder::Deferring, seed).of(OverloadKind::Urgent);
        let overloaded = outcome(2.0, OverloadOrder::Deferring, seed).of(OverloadKind::Urgent);
        expect_that!(
            overloaded.on_time_part(),
            ge(0.95 * calm.on_time_part()),
            "seed {seed}"
        );
    }
}

#[gtest]
fn run_overload_starves_no_kind() {
    for seed in SEEDS {
        for load in [1.5, 2.0, 3.0] {
            let outcome = outcome(load, OverloadOrder::Deferring, seed);
            for kind in OverloadKind::ALL {
                let served = outcome.of(kind).served_part();
                let all = outcome.served_part();
                expect_that!(served, ge(all / 4.0), "{kind:?} at {load}, seed {seed}");
            }
        }
    }
}

#[gtest]
fn run_overload_serves_large_requests_half_as_often_as_others() {
    for seed in SEEDS {
        for kind in [OverloadKind::Urgent, OverloadKind::Patient] {
            let outcome = outcome(2.0, OverloadOrder::Deferring, seed);
            let largest = outcome.largest.get(&kind).copied().unwrap_or_default();
            let served = outcome.of(kind).served_part();
            expect_that!(
                largest.served_part(),
                ge(served / 2.0),
                "{kind:?}, seed {seed}"
            );
        }
    }
}
