//! Which waiting requests give way when engines cannot serve all of them on time.

#![allow(clippy::unwrap_used)]

mod support;

use googletest::prelude::*;
use support::at;
use ward_fleet::admission::{
    QueuedRequest, RequestWork, ServedShares, ShareClass, SizeBand, WorkFlow, WorkRate,
    plan_deferrals, retry_delay,
};
use ward_fleet::queue::RequestTimes;
use ward_fleet::{QueueRank, RequestPriority};
use ward_protocol::TimeSpan;

type Request = QueuedRequest<u32, &'static str>;

fn request(kind: &'static str, urgency: u32, target: u64, tokens: u64) -> Request {
    QueuedRequest {
        urgency,
        times: RequestTimes {
            target: at(target),
            deadline: at(10_000),
            first_part: TimeSpan::ZERO,
        },
        work: RequestWork::from_tokens(tokens, 0, 0),
        class: ShareClass {
            kind,
            band: SizeBand::Usual,
        },
    }
}

/// Engines with which the plan counts on a token in a millisecond.
fn rate() -> WorkRate {
    let work = RequestWork::from_tokens(2_000, 0, 0);
    WorkRate::new(work, TimeSpan::from_millis(1_300)).unwrap()
}

fn deferrals(requests: &[Request]) -> Vec<bool> {
    plan_deferrals(requests, &ServedShares::default(), rate(), at(0))
}

#[gtest]
fn plan_deferrals_enough_time_defers_none() {
    let requests = [
        request("patient", 2, 4_000, 300),
        request("urgent", 0, 400, 100),
        request("patient", 2, 150, 100),
    ];
    expect_that!(deferrals(&requests), each(eq(&false)));
}

/// Under the order by latest start, requests with little time left came first however little
/// urgent they were, and made the urgent ones late.
#[gtest]
fn plan_deferrals_too_little_time_defers_least_urgent() {
    let requests = [
        request("patient", 2, 300, 300),
        request("urgent", 0, 400, 300),
        request("urgent", 0, 450, 300),
    ];
    expect_that!(
        deferrals(&requests),
        elements_are![eq(&true), eq(&false), eq(&false)]
    );
}

#[gtest]
fn plan_deferrals_same_urgency_defers_most_work() {
    let requests = [
        request("urgent", 0, 300, 900),
        request("urgent", 0, 400, 100),
        request("urgent", 0, 450, 100),
    ];
    expect_that!(
        deferrals(&requests),
        elements_are![eq(&true), eq(&false), eq(&false)]
    );
}

#[gtest]
fn plan_deferrals_short_class_keeps_one_place() {
    let mut shares = ServedShares::default();
    for number in 0..40 {
        let patient = request("patient", 2, 300, 300);
        shares.record(&patient.class, number % 10 == 0, at(0));
        shares.record(&request("urgent", 0, 400, 300).class, true, at(0));
    }
    let requests = [
        request("patient", 2, 300, 300),
        request("patient", 2, 310, 300),
        request("urgent", 0, 400, 300),
        request("urgent", 0, 700, 300),
    ];
    let deferred = plan_deferrals(&requests, &shares, rate(), at(0));
    expect_that!(
        deferred,
        elements_are![eq(&false), eq(&true), eq(&false), eq(&false)]
    );
}

#[gtest]
fn deferred_rank_lies_between_on_time_and_late() {
    let rank = |target| {
        QueueRank::new(
            RequestPriority::default(),
            &request("urgent", 0, target, 1).times,
            at(100),
        )
    };
    expect_that!(rank(500), lt(rank(200).deferred()));
    expect_that!(rank(500).deferred(), lt(rank(50)));
    expect_that!(rank(50).deferred(), eq(rank(50)));
}

#[gtest]
fn is_short_large_requests_are_compared_with_their_kind() {
    let mut shares = ServedShares::default();
    let usual = shares.classify("urgent", RequestWork::from_tokens(100, 0, 0));
    let large = shares.classify("urgent", RequestWork::from_tokens(1_000, 0, 0));
    expect_that!(usual.band, eq(SizeBand::Usual));
    expect_that!(large.band, eq(SizeBand::Large));
    for number in 0..10 {
        shares.record(&usual, true, at(0));
        shares.record(&large, number < 6, at(0));
    }
    expect_true!(shares.is_short(&large));
    expect_false!(shares.is_short(&usual));
}

/// What was asked for before the queue formed is not what the engines can do.
#[gtest]
fn work_flow_rate_counts_from_the_beginning_of_the_queue() {
    let work = RequestWork::from_tokens(100, 0, 0);
    let mut flow = WorkFlow::default();
    for number in 0..10 {
        flow.record_grant(work, at(number * 200));
    }
    expect_that!(flow.rate(at(2_000)), none());
    flow.record_waiting(at(2_000));
    for number in 1..=4 {
        flow.record_grant(work, at(2_000 + number * 100));
    }
    let rate = flow.rate(at(2_400)).unwrap();
    expect_that!(rate.time_for(1_000), eq(TimeSpan::from_secs(1)));
    flow.record_empty();
    expect_that!(flow.rate(at(2_400)), none());
}

#[gtest]
fn retry_delay_follows_backlog_and_is_spread() {
    let delay = |tokens, draw| retry_delay(tokens, Some(rate()), draw).millis();
    expect_that!(delay(1_000, 0.0), eq(650));
    expect_that!(delay(2_000, 0.0), eq(1_300));
    expect_that!(delay(2_000, 0.5), gt(1_300));
    expect_that!(delay(0, 0.0), ge(500));
    expect_that!(delay(1_000_000, 1.0), le(3_500));
    expect_that!(retry_delay(0, None, 0.0).millis(), eq(2_500));
}

#[gtest]
fn request_work_leaves_out_what_the_engine_keeps() {
    let whole = RequestWork::from_tokens(1_000, 0, 10);
    let cached = RequestWork::from_tokens(1_000, 800, 10);
    expect_that!(whole.tokens() - cached.tokens(), eq(800));
    expect_that!(RequestWork::from_tokens(0, 5, 0).tokens(), gt(0));
}
