//! Emulated days: the answers that callers get while engines are replaced or demand shifts.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_bench::emulator::{
    DayOutcome, DayPlan, EmulatedDay, SiteConfig, day_svg, day_table, draw_requests,
    perfect_outcome, run_day,
};
use ward_protocol::TimeSpan;

const SEEDS: std::ops::Range<u64> = 1..5;
/// Share of the worth that a day with a replacement of all engines must earn: the users' target.
const MIN_WORTH: f64 = 0.6;
/// At most one request in this many may end without any answer.
const REQUESTS_PER_LOST: usize = 50;

fn run_with_bound(day: EmulatedDay, config: &SiteConfig, seed: u64) -> (DayOutcome, DayOutcome) {
    let plan = DayPlan::new(day, config);
    let requests = draw_requests(config, &plan, seed);
    let outcome = run_day(config, &plan, &requests).unwrap();
    (outcome, perfect_outcome(config, &plan, &requests))
}

/// A site whose weight store serves one load at a time, slowly.
fn slow_store() -> SiteConfig {
    SiteConfig {
        engines: 30,
        models: 90,
        full_speed_loads: 1,
        store_load: TimeSpan::from_millis(13_200),
        ..SiteConfig::default()
    }
}

#[gtest]
fn run_day_replacement_of_all_engines_meets_target() {
    for config in [SiteConfig::default(), slow_store()] {
        for seed in SEEDS {
            let (outcome, _) = run_with_bound(EmulatedDay::Release, &config, seed);
            expect_that!(outcome.worth_ratio(), ge(MIN_WORTH), "seed {seed}");
        }
    }
}

#[gtest]
fn run_day_answers_or_refuses_nearly_all_requests() {
    for config in [SiteConfig::default(), slow_store()] {
        for day in EmulatedDay::ALL {
            for seed in SEEDS {
                let (outcome, _) = run_with_bound(day, &config, seed);
                let requests = outcome.busy.requests + outcome.rare.requests;
                let lost = outcome.busy.lost + outcome.rare.lost;
                expect_that!(lost * REQUESTS_PER_LOST, le(requests), "{day}, seed {seed}");
            }
        }
    }
}

#[gtest]
fn perfect_outcome_is_an_upper_bound() {
    for day in EmulatedDay::ALL {
        for seed in SEEDS {
            let (outcome, bound) = run_with_bound(day, &SiteConfig::default(), seed);
            expect_that!(
                outcome.worth_ratio(),
                le(bound.worth_ratio()),
                "{day}, seed {seed}"
            );
        }
    }
}

#[gtest]
fn run_day_same_seed_is_deterministic() {
    let config = SiteConfig::default();
    let first = run_with_bound(EmulatedDay::Twice, &config, 7);
    expect_that!(run_with_bound(EmulatedDay::Twice, &config, 7), eq(&first));
    expect_that!(
        run_with_bound(EmulatedDay::Twice, &config, 8),
        not(eq(&first))
    );
}

#[gtest]
fn parse_day_unknown_name_lists_known_days() {
    let error = "tuesday".parse::<EmulatedDay>().unwrap_err();
    expect_that!(error.to_string(), contains_substring("release"));
    for day in EmulatedDay::ALL {
        expect_that!(day.to_string().parse::<EmulatedDay>(), ok(eq(&day)));
    }
}

#[gtest]
fn day_report_names_both_kinds_and_draws_both_curves() {
    let (outcome, bound) = run_with_bound(EmulatedDay::Release, &SiteConfig::default(), 1);
    let table = day_table(EmulatedDay::Release, &outcome, &bound);
    expect_that!(table, contains_substring("| busy |"));
    expect_that!(table, contains_substring("| rare |"));
    let svg = day_svg(EmulatedDay::Release, &outcome, &bound);
    expect_that!(svg.matches("<polyline").count(), eq(2));
}
