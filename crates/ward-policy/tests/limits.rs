//! Decisions on standby, scale-out, overload, postponed loads and planned readiness.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_policy::{
    ReadyTerms, ScaleView, SlackView, StandbyChoice, StandbyView, WaitingRequest, admits_priority,
    max_load_delay, request_to_refuse, should_scale_out, standby_choice, time_until_order,
};
use ward_protocol::{EngineRole, PolicyValues, PriorityLevel, TimeSpan};

const fn secs(seconds: u64) -> TimeSpan {
    TimeSpan::from_secs(seconds)
}

fn level(number: u8) -> PriorityLevel {
    PriorityLevel::try_from(number).unwrap()
}

#[googletest::test]
fn standby_enter_and_wake() {
    let values = PolicyValues::default();
    let view = |role, empty, need| StandbyView {
        role,
        empty_for: empty,
        needed_in: need,
        load_time: secs(30),
    };
    let choice = |view| standby_choice(&view, &values);
    let serving = EngineRole::Serving;
    expect_that!(
        choice(view(serving, Some(secs(300)), None)),
        eq(StandbyChoice::EnterStandby)
    );
    expect_that!(
        choice(view(serving, Some(secs(299)), None)),
        eq(StandbyChoice::Stay)
    );
    expect_that!(choice(view(serving, None, None)), eq(StandbyChoice::Stay));
    expect_that!(
        choice(view(serving, Some(secs(900)), Some(secs(60)))),
        eq(StandbyChoice::Stay)
    );
    let standby = EngineRole::Standby;
    expect_that!(
        choice(view(standby, None, Some(secs(53)))),
        eq(StandbyChoice::Stay)
    );
    expect_that!(
        choice(view(standby, None, Some(secs(52)))),
        eq(StandbyChoice::Wake)
    );
}

#[googletest::test]
fn scale_out_limits() {
    let values = PolicyValues::default();
    let view = ScaleView {
        ready: 1,
        loading: 0,
        max_replicas: 2,
        waiting: 20,
        service_time: secs(3),
        load_time: secs(30),
    };
    expect_that!(should_scale_out(&view, &values), eq(true));
    expect_that!(
        should_scale_out(&ScaleView { loading: 1, ..view }, &values),
        eq(false)
    );
    expect_that!(
        should_scale_out(&ScaleView { waiting: 8, ..view }, &values),
        eq(false)
    );
    let quick = ScaleView {
        service_time: secs(1),
        ..view
    };
    expect_that!(should_scale_out(&quick, &values), eq(false));
    let none = ScaleView {
        ready: 0,
        waiting: 1,
        ..view
    };
    expect_that!(should_scale_out(&none, &values), eq(true));
    expect_that!(
        should_scale_out(
            &ScaleView {
                max_replicas: 0,
                ..none
            },
            &values
        ),
        eq(false)
    );
}

#[googletest::test]
fn overload_last_refused_first() {
    let values = PolicyValues::default();
    let admitted = |waiting| {
        (0..8)
            .filter(|number| admits_priority(level(*number), waiting, 100, &values))
            .count()
    };
    expect_that!(admitted(49), eq(8));
    expect_that!(admitted(50), eq(7));
    expect_that!(admitted(99), eq(1));
    expect_that!(admitted(100), eq(0));
}

#[googletest::test]
fn overload_victim() {
    let waiting = |priority, left, start| WaitingRequest {
        priority: level(priority),
        time_left: secs(left),
        start_in: secs(start),
    };
    let queue = [waiting(1, 10, 5), waiting(5, 10, 5), waiting(5, 90, 5)];
    expect_that!(request_to_refuse(&queue, level(3)), some(eq(2)));
    expect_that!(request_to_refuse(&queue, level(5)), none());
    let too_late = [waiting(0, 4, 5), waiting(7, 10, 5)];
    expect_that!(request_to_refuse(&too_late, level(3)), some(eq(0)));
}

#[googletest::test]
fn slack_bounds() {
    let values = PolicyValues::default();
    let view = SlackView {
        priority: PriorityLevel::LAST,
        waited: secs(0),
        time_left: secs(3_600),
        load_time: secs(30),
        service_time: secs(60),
    };
    expect_that!(max_load_delay(&view, &values), some(eq(secs(600))));
    let short = SlackView {
        time_left: secs(140),
        ..view
    };
    expect_that!(max_load_delay(&short, &values), some(eq(secs(20))));
    let waited_long = SlackView {
        waited: secs(600),
        ..view
    };
    expect_that!(max_load_delay(&waited_long, &values), none());
    let urgent = SlackView {
        priority: level(3),
        ..view
    };
    expect_that!(max_load_delay(&urgent, &values), none());
}

#[googletest::test]
fn time_until_order_lead() {
    let values = PolicyValues::default();
    let terms = |from: &str, day| ReadyTerms {
        from: Some(from.parse().unwrap()),
        time_of_day: secs(day),
        load_time: secs(58),
    };
    expect_that!(
        time_until_order(&terms("07:30", 0), &values),
        eq(secs(7 * 3_600 + 29 * 60))
    );
    expect_that!(
        time_until_order(&terms("07:30", 27_000), &values),
        eq(secs(0))
    );
    expect_that!(
        time_until_order(&terms("00:00", 86_340), &values),
        eq(secs(0))
    );
}
