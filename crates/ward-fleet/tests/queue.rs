//! Order in which waiting requests get an engine.

mod support;

use googletest::prelude::*;
use support::at;
use ward_fleet::RequestPriority;
use ward_fleet::queue::{AnswerTime, FirstPartTime, QueueRank, RequestTimes};
use ward_protocol::TimeSpan;

fn route_priority(route: u32) -> RequestPriority {
    RequestPriority { tenant: 0, route }
}

fn times(target: u64, first_part: u64) -> RequestTimes {
    RequestTimes {
        target: at(target),
        deadline: at(5_000),
        first_part: TimeSpan::from_millis(first_part),
    }
}

#[gtest]
fn rank_of_the_request_that_must_begin_first_is_the_smallest() {
    let long = QueueRank::new(route_priority(2), &times(800, 500), at(0));
    let short = QueueRank::new(route_priority(0), &times(500, 50), at(0));
    expect_that!(long, lt(short));
}

#[gtest]
fn rank_of_the_more_urgent_is_smaller_at_the_same_time() {
    let urgent = QueueRank::new(route_priority(0), &times(500, 50), at(0));
    let other = QueueRank::new(route_priority(2), &times(500, 50), at(0));
    expect_that!(urgent, lt(other));
}

#[gtest]
fn rank_of_a_late_request_comes_after_all_that_are_on_time() {
    let late = QueueRank::new(route_priority(0), &times(500, 50), at(460));
    let on_time = QueueRank::new(route_priority(2), &times(4_000, 50), at(460));
    expect_true!(late.is_late());
    expect_false!(on_time.is_late());
    expect_that!(on_time, lt(late));
}

#[gtest]
fn rank_of_late_requests_follows_their_urgency() {
    let urgent = QueueRank::new(route_priority(0), &times(500, 50), at(900));
    let other = QueueRank::new(route_priority(2), &times(400, 50), at(900));
    expect_that!(urgent, lt(other));
}

/// Load pattern: an overloaded model gets short urgent requests and long, less
/// urgent ones, both with time to wait. Under strict priority the long ones
/// waited until they were late.
#[gtest]
fn rank_long_requests_of_an_overloaded_model_get_their_turn_in_time() {
    let long = times(800, 300);
    let turn = (0..800).find(|now| {
        let newest = times(now + 500, 40);
        QueueRank::new(route_priority(2), &long, at(*now))
            < QueueRank::new(route_priority(0), &newest, at(*now))
    });
    expect_that!(turn, some(le(500)));
}

#[gtest]
fn first_part_follows_measured_times() {
    let mut time = FirstPartTime::default();
    expect_that!(time.expected(), eq(TimeSpan::from_millis(80)));
    for _ in 0..50 {
        time.record(TimeSpan::from_millis(300));
    }
    let steady = time.expected().millis();
    expect_that!(steady, ge(295));
    expect_that!(steady, le(305));
    time.record(TimeSpan::from_millis(900));
    expect_that!(time.expected().millis(), gt(steady));
}

#[gtest]
fn answer_time_bound_lies_above_most_of_a_wide_distribution() {
    let mut time = AnswerTime::default();
    expect_that!(time.bound(), eq(TimeSpan::ZERO));
    time.record(TimeSpan::from_millis(2_000));
    expect_that!(time.bound(), eq(TimeSpan::from_millis(2_000)));
    // One answer of ten is long.
    for number in 0..200 {
        let millis = if number % 10 == 0 { 4_500 } else { 800 };
        time.record(TimeSpan::from_millis(millis));
    }
    expect_that!(time.bound(), gt(TimeSpan::from_millis(2_500)));
    expect_that!(time.bound(), lt(TimeSpan::from_millis(6_000)));
}

#[gtest]
fn rank_late_tenant_priority_goes_before_that_of_the_route() {
    let tenant = RequestPriority {
        tenant: 0,
        route: 2,
    };
    let other = RequestPriority {
        tenant: 1,
        route: 0,
    };
    let rank = |priority| QueueRank::new(priority, &times(500, 50), at(900));
    expect_that!(rank(tenant), lt(rank(other)));
}
