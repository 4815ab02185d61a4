//! Decisions about late requests during sustained overload.

mod support;

use googletest::prelude::*;
use support::at;
use ward_fleet::flow::{LateDecision, RequestFlow};
use ward_protocol::TimeSpan;

const REMAINING: TimeSpan = TimeSpan::from_secs(4);

/// Two seconds with the given arrivals and granted slots per second.
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
fn decide_late_more_arrivals_than_free_slots_refuses() {
    let decision = flow(20, 10).decide_late(0, REMAINING, at(2_000));
    expect_that!(
        decision,
        eq(LateDecision::Refuse(TimeSpan::from_millis(2_500)))
    );
}

#[gtest]
fn decide_late_draining_backlog_waits() {
    expect_that!(
        flow(10, 20).decide_late(5, REMAINING, at(2_000)),
        eq(LateDecision::Wait)
    );
}

#[gtest]
fn decide_late_long_backlog_refuses() {
    let decision = flow(10, 12).decide_late(40, REMAINING, at(2_000));
    expect_that!(decision, matches_pattern!(LateDecision::Refuse(_)));
}

#[gtest]
fn decide_late_replay_gives_slots_to_requests_on_time() {
    // Ten slots and twenty requests per second for ten seconds. Late requests
    // are refused, so each slot goes to a request that is on time.
    let mut flow = RequestFlow::default();
    let mut waiting: Vec<u64> = Vec::new();
    let (mut on_time, mut late, mut refused) = (0, 0, 0);
    for now in (0..10_000).step_by(50) {
        waiting.push(now);
        flow.record_arrival(at(now));
        let keeps_waiting = |arrived: &u64| {
            now < arrived + 500 || flow.decide_late(0, REMAINING, at(now)) == LateDecision::Wait
        };
        refused += waiting
            .iter()
            .filter(|arrived| !keeps_waiting(arrived))
            .count();
        waiting.retain(keeps_waiting);
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
    expect_that!(refused, ge(80));
}
