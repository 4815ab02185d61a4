//! Engines kept awake, preloaded models, load schedules and the profile of the day.

use googletest::prelude::*;
use ward_policy::day::DayProfile;
use ward_policy::{
    GapHistory, IdleReplica, WarmSchedule, WarmSpan, keeps_engine_awake, rank_preloads,
};
use ward_protocol::{MonoTime, PolicyValues, TimeSpan};

const HOUR: u64 = 3_600;

const fn secs(seconds: u64) -> TimeSpan {
    TimeSpan::from_secs(seconds)
}

fn regular(gap: u64, count: u64) -> GapHistory {
    let mut history = GapHistory::default();
    for number in 0..count {
        history.observe(
            MonoTime::default() + secs(gap * number),
            PolicyValues::default().gap_decay,
        );
    }
    history
}

fn idle_replica(history: &GapHistory, age: u64) -> IdleReplica<'_> {
    IdleReplica {
        history,
        age: secs(age),
        load_time: secs(8),
    }
}

#[googletest::test]
fn hold_until_requests_grow_rare() {
    let values = PolicyValues::default();
    let history = regular(60, 100);
    expect_that!(
        keeps_engine_awake([idle_replica(&history, 50)], &values),
        eq(true)
    );
    expect_that!(
        keeps_engine_awake([idle_replica(&history, 20_000)], &values),
        eq(false)
    );
    expect_that!(keeps_engine_awake([], &values), eq(false));
}

#[googletest::test]
fn hold_sum_of_replicas() {
    let values = PolicyValues::default();
    let history = regular(700, 100);
    let rare = idle_replica(&history, 3_000);
    expect_that!(keeps_engine_awake([rare], &values), eq(false));
    expect_that!(keeps_engine_awake(vec![rare; 200], &values), eq(true));
}

#[googletest::test]
fn hold_weight_zero_never() {
    let values = PolicyValues {
        cold_weight: 0.0,
        ..PolicyValues::default()
    };
    let history = regular(10, 100);
    expect_that!(
        keeps_engine_awake([idle_replica(&history, 5)], &values),
        eq(false)
    );
}

#[googletest::test]
fn preload_due_model_first() {
    let values = PolicyValues::default();
    let history = regular(1_800, 60);
    let due = idle_replica(&history, 1_750);
    let early = idle_replica(&history, 300);
    let choices = rank_preloads(&[early, due], &values);
    expect_that!(choices.first().map(|choice| choice.index), some(eq(1)));
}

#[googletest::test]
fn day_profile_hours() {
    let mut profile = DayProfile::default();
    let time = |day: u64, hour: u64| MonoTime::default() + secs((day * 24 + hour) * HOUR);
    for day in 0..5 {
        for _ in 0..40 {
            profile.add(time(day, 18));
        }
    }
    expect_that!(profile.rate_factor(time(6, 18)), gt(5.0));
    expect_that!(profile.rate_factor(time(6, 3)), lt(0.5));
    expect_that!(
        DayProfile::default().rate_factor(time(0, 3)),
        near(1.0, 1e-9)
    );
}

#[googletest::test]
fn schedule_spans() {
    let span = |from, until| WarmSpan {
        from: secs(from),
        until: secs(until),
    };
    let schedule = WarmSchedule::new(vec![span(0, 60), span(1_700, 1_900)]);
    expect_that!(schedule.kept_until(secs(10), secs(8)), some(eq(secs(60))));
    expect_that!(schedule.kept_until(secs(60), secs(8)), none());
    // Unloading just before the next span would save less than the reload costs.
    expect_that!(
        schedule.kept_until(secs(1_695), secs(8)),
        some(eq(secs(1_900)))
    );
    expect_that!(schedule.next_start(secs(60)), some(eq(secs(1_700))));
}
