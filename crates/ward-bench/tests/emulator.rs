//! Days in virtual time: what callers get while engines are replaced.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_bench::emulator::{
    DayOutcome, DayPlan, EmulatedDay, SiteConfig, day_svg, day_table, draw_requests,
    perfect_outcome, run_day,
};
use ward_protocol::TimeSpan;

const SEEDS: std::ops::Range<u64> = 1..5;
/// What a replacement of all engines must leave, as the users' target says.
const LEAST_WORTH: f64 = 0.6;
/// Requests, one in so many, that may end without any answer.
const LOST_PART: usize = 50;

fn play(day: EmulatedDay, config: &SiteConfig, seed: u64) -> (DayOutcome, DayOutcome) {
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
fn run_day_replacement_of_all_engines_leaves_what_the_target_says() {
    for config in [SiteConfig::default(), slow_store()] {
        for seed in SEEDS {
            let (outcome, _) = play(EmulatedDay::Release, &config, seed);
            expect_that!(outcome.worth_ratio(), ge(LEAST_WORTH), "seed {seed}");
        }
    }
}

#[gtest]
fn run_day_no_day_leaves_callers_without_an_answer() {
    for config in [SiteConfig::default(), slow_store()] {
        for day in EmulatedDay::ALL {
            for seed in SEEDS {
                let (outcome, _) = play(day, &config, seed);
                let asked = outcome.busy.requests + outcome.rare.requests;
                let lost = outcome.busy.lost + outcome.rare.lost;
                expect_that!(lost * LOST_PART, le(asked), "{day}, seed {seed}");
            }
        }
    }
}

#[gtest]
fn perfect_outcome_is_never_below_what_was_reached() {
    for day in EmulatedDay::ALL {
        for seed in SEEDS {
            let (outcome, bound) = play(day, &SiteConfig::default(), seed);
            expect_that!(
                outcome.worth_ratio(),
                le(bound.worth_ratio()),
                "{day}, seed {seed}"
            );
        }
    }
}

#[gtest]
fn run_day_same_seed_repeats() {
    let config = SiteConfig::default();
    let first = play(EmulatedDay::Twice, &config, 7);
    expect_that!(play(EmulatedDay::Twice, &config, 7), eq(&first));
    expect_that!(play(EmulatedDay::Twice, &config, 8), not(eq(&first)));
}

#[gtest]
fn parse_day_unknown_name_is_refused_with_the_known_ones() {
    let error = "tuesday".parse::<EmulatedDay>().unwrap_err();
    expect_that!(error.to_string(), contains_substring("release"));
    for day in EmulatedDay::ALL {
        expect_that!(day.to_string().parse::<EmulatedDay>(), ok(eq(&day)));
    }
}

#[gtest]
fn day_report_names_both_kinds_and_draws_both_curves() {
    let (outcome, bound) = play(EmulatedDay::Release, &SiteConfig::default(), 1);
    let table = day_table(EmulatedDay::Release, &outcome, &bound);
    expect_that!(table, contains_substring("| busy |"));
    expect_that!(table, contains_substring("| rare |"));
    let svg = day_svg(EmulatedDay::Release, &outcome, &bound);
    expect_that!(svg.matches("<polyline").count(), eq(2));
}
