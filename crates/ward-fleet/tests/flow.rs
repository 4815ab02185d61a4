//! Late requests under a load that lasts.

mod support;

use googletest::prelude::*;
use support::at;
use ward_fleet::flow::{LateDecision, RequestFlow};
use ward_protocol::TimeSpan;

const LEFT: TimeSpan = TimeSpan::from_secs(4);

/// Arrivals and places per second, for two seconds.
fn flow(arrivals: u64, grants: u64) -> RequestFlow {
    let mut flow = RequestFlow::default();
    for number in 0..2 * arrivals {
        flow.record_arrival(at(number * 1_000 / arrivals));
    }
    for number in 0..2 * grants {
        flow.record_grant(at(number * 1_000 / grants));
    }
    flow
}

#[gtest]
fn judge_late_more_arrive_than_places_come_free() {
    let verdict = flow(20, 10).decide_late(0, LEFT, at(2_000));
    expect_that!(
        verdict,
        eq(LateDecision::Refuse(TimeSpan::from_millis(2_500)))
    );
}

#[gtest]
fn judge_late_backlog_that_drains_is_worth_waiting_for() {
    expect_that!(
        flow(10, 20).decide_late(5, LEFT, at(2_000)),
        eq(LateDecision::Wait)
    );
}

#[gtest]
fn judge_late_long_backlog_is_not() {
    let verdict = flow(10, 12).decide_late(40, LEFT, at(2_000));
    expect_that!(verdict, matches_pattern!(LateDecision::Refuse(_)));
}

#[gtest]
fn judge_late_replay_serves_as_many_on_time_as_there_are_places() {
    // Ten places a second, twenty requests a second for ten seconds: whoever is
    // late leaves, so each place goes to a request that is on time.
    let mut flow = RequestFlow::default();
    let mut waiting: Vec<u64> = Vec::new();
    let (mut on_time, mut late, mut left) = (0, 0, 0);
    for now in (0..10_000).step_by(50) {
        waiting.push(now);
        flow.record_arrival(at(now));
        let judge = |arrived: &u64| {
            now < arrived + 500 || flow.decide_late(0, LEFT, at(now)) == LateDecision::Wait
        };
        left += waiting.iter().filter(|arrived| !judge(arrived)).count();
        waiting.retain(judge);
        if now % 100 == 0 {
            let Some(arrived) = (!waiting.is_empty()).then(|| waiting.remove(0)) else {
                continue;
            };
            flow.record_grant(at(now));
            if now < arrived + 500 {
                on_time += 1;
            } else {
                late += 1;
            }
        }
    }
    expect_that!(on_time, ge(90));
    expect_that!(late, le(10));
    expect_that!(left, ge(80));
}
