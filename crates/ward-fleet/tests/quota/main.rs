//! Quotas of tenants over a fleet of daemons.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;
mod shares;
mod sum;
mod tolerance;

use fleet::{STEP, SimFleet, TENANT, WINDOW, at, ratio, requests_quota};
use googletest::prelude::*;
use ward_fleet::{
    CreditAnswer, CreditContext, CreditRequest, CreditStore, IssueContext, QuotaAmount,
    QuotaIssuer, RequestPriority, TenantKey, TenantQuota,
};
use ward_protocol::TimeSpan;

const OTHER: TenantKey = TenantKey(2);

/// What a quota and its slack allow in a window.
pub(crate) fn allowed(quota: TenantQuota, slack: u64) -> u64 {
    quota.rate.0 * WINDOW / 1_000_000 + quota.burst.0 + slack
}

/// Sends requests of a tenant at a steady rate for some time, each to the next of `daemons`
/// in a fixed but irregular order.
fn send_steadily(
    fleet: &mut SimFleet,
    tenant: TenantKey,
    per_second: u64,
    cost: u64,
    daemons: usize,
    millis: u64,
) {
    let end = fleet.now + millis;
    let mut number: u64 = 0;
    let start = fleet.now;
    while fleet.now < end {
        fleet.step();
        while number * 1_000 < (fleet.now - start) * per_second {
            let daemon = usize::try_from(number * 7_919 % 1_000_003).unwrap() % daemons;
            fleet.request(daemon, tenant, cost);
            number += 1;
        }
    }
}

pub(crate) fn idle(fleet: &mut SimFleet, millis: u64) {
    let end = fleet.now + millis;
    while fleet.now < end {
        fleet.step();
    }
}

/// Time in which buckets fill and links are made before the traffic begins.
const LEAD: u64 = 10_000;

/// Requests within the quota, whichever daemons get them.
fn expect_served(daemons: usize, used: usize, quota: TenantQuota, slack: u64, load: (u64, u64)) {
    let mut fleet = SimFleet::new(daemons, &[(TENANT, quota)], slack);
    idle(&mut fleet, LEAD);
    let (per_second, cost) = load;
    send_steadily(&mut fleet, TENANT, per_second, cost, used, 20_000);
    idle(&mut fleet, 500);
    let served = ratio(fleet.total(TENANT), fleet.asked);
    expect_that!(served, ge(0.95), "{daemons} daemons, {used} used");
}

#[gtest]
fn request_within_the_quota_is_admitted_at_any_daemon() {
    for (daemons, used) in [(9, 9), (9, 1), (86, 86), (86, 2), (370, 370), (370, 5)] {
        expect_served(daemons, used, requests_quota(50, 50), 20, (45, 1));
        expect_served(
            daemons,
            used,
            requests_quota(29_000, 29_000),
            110_000,
            (36, 720),
        );
    }
}

#[gtest]
fn request_beyond_the_quota_is_refused() {
    for daemons in [9, 86, 370] {
        let quota = requests_quota(29_000, 29_000);
        let mut fleet = SimFleet::new(daemons, &[(TENANT, quota)], 110_000);
        idle(&mut fleet, LEAD);
        send_steadily(&mut fleet, TENANT, 240, 720, daemons, 20_000);
        let most = fleet.most_in_window(TENANT, WINDOW, 0);
        expect_that!(most, le(allowed(quota, 110_000)), "{daemons} daemons");
        // The quota is used up, too: 20 s of the rate, and the burst.
        expect_that!(
            fleet.total(TENANT),
            ge(20 * 29_000 * 9 / 10),
            "{daemons} daemons"
        );
    }
}

#[gtest]
fn flood_of_one_tenant_takes_nothing_from_others() {
    let quota = requests_quota(29_000, 29_000);
    let mut fleet = SimFleet::new(86, &[(TENANT, quota), (OTHER, quota)], 110_000);
    idle(&mut fleet, LEAD);
    let end = fleet.now + 15_000;
    let mut asked = 0;
    while fleet.now < end {
        fleet.step();
        for number in 0..4 {
            fleet.request(
                usize::try_from(fleet.now / STEP + number * 13).unwrap() % 86,
                TENANT,
                720,
            );
        }
        if fleet.now.is_multiple_of(30) {
            fleet.request(
                usize::try_from(fleet.now / 30 * 31).unwrap() % 86,
                OTHER,
                720,
            );
            asked += 720;
        }
    }
    idle(&mut fleet, 200);
    expect_that!(ratio(fleet.total(OTHER), asked), ge(0.95));
}

#[gtest]
fn lost_coordinator_leaves_most_of_the_quota() {
    for daemons in [9, 86] {
        let quota = requests_quota(29_000, 29_000);
        let mut fleet = SimFleet::new(daemons, &[(TENANT, quota)], 110_000);
        idle(&mut fleet, LEAD);
        send_steadily(&mut fleet, TENANT, 22, 720, daemons, 5_000);
        fleet.lose_coordinator(5_000);
        let (asked, served) = (fleet.asked, fleet.total(TENANT));
        send_steadily(&mut fleet, TENANT, 22, 720, daemons, 6_000);
        let share = ratio(fleet.total(TENANT) - served, fleet.asked - asked);
        expect_that!(share, ge(0.8), "{daemons} daemons");
    }
}

#[gtest]
fn lowered_quota_binds_within_a_window() {
    let quota = requests_quota(29_000, 29_000);
    let lowered = requests_quota(3_000, 3_000);
    let mut fleet = SimFleet::new(86, &[(TENANT, quota)], 20_000);
    idle(&mut fleet, LEAD);
    send_steadily(&mut fleet, TENANT, 60, 720, 86, 5_000);
    fleet.set_quota(TENANT, lowered);
    let lowered_at = fleet.now;
    send_steadily(&mut fleet, TENANT, 60, 720, 86, 20_000);
    let most = fleet.most_in_window(TENANT, WINDOW, lowered_at);
    expect_that!(most, le(allowed(lowered, 20_000)));
}

#[gtest]
fn lowered_quota_takes_credit_that_daemons_hold() {
    let mut fleet = SimFleet::new(9, &[(TENANT, requests_quota(1_000, 1_000))], 0);
    idle(&mut fleet, LEAD);
    send_steadily(&mut fleet, TENANT, 500, 1, 9, 2_000);
    let lowered = requests_quota(1, 1);
    fleet.set_quota(TENANT, lowered);
    let lowered_at = fleet.now + STEP;
    send_steadily(&mut fleet, TENANT, 500, 1, 9, 3_000);
    let most = fleet.most_in_window(TENANT, WINDOW, lowered_at);
    expect_that!(most, le(allowed(lowered, 0)));
}

#[gtest]
fn new_coordinator_begins_with_empty_buckets() {
    let mut fleet = SimFleet::new(9, &[(TENANT, requests_quota(1, 1_000))], 0);
    idle(&mut fleet, LEAD);
    fleet.lose_coordinator(STEP);
    send_steadily(&mut fleet, TENANT, 500, 1, 9, 2_000);
    expect_that!(fleet.total(TENANT), le(15));
}

#[gtest]
fn raised_quota_brings_no_full_bucket() {
    let mut fleet = SimFleet::new(9, &[(TENANT, requests_quota(1, 1))], 0);
    idle(&mut fleet, LEAD);
    fleet.set_quota(TENANT, requests_quota(10, 1_000));
    let raised_at = fleet.now;
    send_steadily(&mut fleet, TENANT, 500, 1, 9, 2_000);
    expect_that!(fleet.most_in_window(TENANT, WINDOW, raised_at), le(25));
}

#[gtest]
fn refunded_requests_may_be_sent_again() {
    let mut fleet = SimFleet::new(9, &[(TENANT, requests_quota(1, 20))], 0);
    idle(&mut fleet, 40_000);
    // Each is refused by engines, and sent anew.
    let mut admitted = 0;
    for _ in 0..200 {
        fleet.step();
        if fleet.request(0, TENANT, 1) == CreditAnswer::Granted {
            admitted += 1;
            fleet.refund_last(0);
        }
    }
    expect_that!(admitted, ge(190));
    let refunded_at = fleet.now;
    send_steadily(&mut fleet, TENANT, 100, 1, 9, 5_000);
    expect_that!(fleet.most_in_window(TENANT, WINDOW, refunded_at), le(28));
}

#[gtest]
fn unused_credit_serves_other_daemons() {
    let quota = requests_quota(10, 100);
    let mut fleet = SimFleet::new(9, &[(TENANT, quota)], 0);
    idle(&mut fleet, 20_000);
    send_steadily(&mut fleet, TENANT, 50, 1, 1, 1_000);
    // The callers move to another daemon, and send all that is left of the burst.
    idle(&mut fleet, 12_000);
    let before = fleet.total(TENANT);
    for _ in 0..15 {
        for _ in 0..6 {
            fleet.request(5, TENANT, 1);
        }
        idle(&mut fleet, 50);
    }
    expect_that!(fleet.total(TENANT) - before, ge(85));
}

#[gtest]
fn messages_stay_small_at_many_daemons() {
    let tenants: Vec<_> = (1..=16).map(TenantKey).collect();
    let quotas: Vec<_> = tenants
        .iter()
        .map(|tenant| (*tenant, requests_quota(60_000, 60_000)))
        .collect();
    let mut fleet = SimFleet::new(370, &quotas, 110_000);
    idle(&mut fleet, LEAD);
    let (start, before) = (fleet.now, fleet.bytes);
    let mut number: usize = 0;
    while fleet.now < start + 10_000 {
        fleet.step();
        // 500 requests per second over all tenants and daemons.
        for _ in 0..5 {
            let tenant = tenants[number % 16];
            fleet.request(number * 7_919 % 370, tenant, 720);
            number += 1;
        }
    }
    let per_second = (fleet.bytes - before) / 10 / 370;
    expect_that!(per_second, lt(300));
}

fn context(daemons: u64, millis: u64) -> CreditContext {
    CreditContext {
        share: ratio(1, daemons),
        slack: QuotaAmount(0),
        window: TimeSpan::from_millis(WINDOW),
        now: at(millis),
    }
}

fn ask(store: &mut CreditStore, context: &CreditContext) -> CreditAnswer {
    let quota = requests_quota(10, 100);
    let request = CreditRequest {
        cost: QuotaAmount(1),
        priority: RequestPriority::default(),
    };
    let patience = TimeSpan::from_millis(100);
    store.request(TENANT, quota, request, patience, context)
}

/// A daemon that holds credit for 60 requests.
fn supplied_daemon() -> (CreditStore, QuotaIssuer) {
    let mut issuer = QuotaIssuer::default();
    let quotas = [(TENANT, requests_quota(10, 100))].into_iter().collect();
    let start = IssueContext {
        daemons: 1,
        slack: QuotaAmount(0),
        now: at(0),
    };
    issuer.adopt(&quotas, &start);
    issuer.issue(&start);
    let mut store = CreditStore::new(at(0));
    let now = context(10, 0);
    store.begin_link(&now);
    store.record_contact(&now);
    let later = context(10, 900);
    store.record_contact(&later);
    for _ in 0..60 {
        ask(&mut store, &later);
    }
    (store, issuer)
}

#[gtest]
fn frozen_daemon_keeps_its_share_only() {
    let mut fleet = SimFleet::new(86, &[(TENANT, requests_quota(100, 1_000))], 0);
    idle(&mut fleet, 20_000);
    send_steadily(&mut fleet, TENANT, 200, 1, 1, 1_000);
    fleet.freeze(0, 1_600);
    idle(&mut fleet, 1_590);
    let before = fleet.total(TENANT);
    fleet.step();
    for _ in 0..100 {
        fleet.request(0, TENANT, 1);
    }
    // An 86th of the burst.
    expect_that!(fleet.total(TENANT) - before, le(14));
}

#[gtest]
fn restarted_daemon_begins_without_credit() {
    let mut store = CreditStore::new(at(0));
    expect_that!(
        ask(&mut store, &context(10, 10)),
        pat!(CreditAnswer::Refused(_))
    );
    // An equal share of the rate, and no burst.
    expect_that!(
        ask(&mut store, &context(10, 1_010)),
        eq(CreditAnswer::Granted)
    );
    expect_that!(
        ask(&mut store, &context(10, 1_020)),
        pat!(CreditAnswer::Refused(_))
    );
}

#[gtest]
fn request_without_a_coordinator_was_refused_though_its_share_came_in_time() {
    let mut store = CreditStore::new(at(0));
    let quota = requests_quota(10, 100);
    let request = CreditRequest {
        cost: QuotaAmount(1),
        priority: RequestPriority::default(),
    };
    // The share is one request a second.
    let patience = TimeSpan::from_millis(1_200);
    let now = context(10, 10);
    let answer = store.request(TENANT, quota, request, patience, &now);
    let CreditAnswer::Waits(ticket) = answer else {
        panic!("{answer:?}");
    };
    let next = store.next_share(TENANT, &now).unwrap();
    expect_that!(next, all![gt(TimeSpan::ZERO), lt(patience)]);
    // The share of the time until then is that of the first request.
    let second = store.request(TENANT, quota, request, patience, &now);
    expect_that!(second, pat!(CreditAnswer::Refused(_)));
    let early = context(10, 500);
    let answer = store.request_again(TENANT, ticket, patience, &early);
    expect_that!(answer, eq(CreditAnswer::Waits(ticket)));
    let due = context(10, 1_011);
    let answer = store.request_again(TENANT, ticket, patience, &due);
    expect_that!(answer, eq(CreditAnswer::Granted));
}

#[gtest]
fn request_beyond_what_a_share_can_hold_blocked_those_behind_it() {
    let mut store = CreditStore::new(at(0));
    // Of the burst, a tenth of a request; of the rate, ten a second.
    let quota = requests_quota(100, 1);
    let patience = TimeSpan::from_millis(1_200);
    let mut request = |cost| {
        let request = CreditRequest {
            cost: QuotaAmount(cost),
            priority: RequestPriority::default(),
        };
        store.request(TENANT, quota, request, patience, &context(10, 10))
    };
    expect_that!(request(5), pat!(CreditAnswer::Refused(_)));
}

#[gtest]
fn refusal_names_a_wait_that_comes_true() {
    let mut store = CreditStore::new(at(0));
    let CreditAnswer::Refused(wait) = ask(&mut store, &context(10, 10)) else {
        panic!("admitted without credit");
    };
    let later = context(10, 10 + wait.millis() + 1);
    expect_that!(ask(&mut store, &later), eq(CreditAnswer::Granted));
}

#[gtest]
fn late_grant_brings_no_credit() {
    let (mut store, mut issuer) = supplied_daemon();
    let needs = store.needs(&context(10, 1_000));
    issuer.record_needs(
        ward_fleet::placement::MemberKey(1),
        needs,
        at(1_000),
        at(1_000),
    );
    let issued = issuer.issue(&IssueContext {
        daemons: 1,
        slack: QuotaAmount(0),
        now: at(1_000),
    });
    let (_, batch) = &issued[0];
    expect_that!(batch.grants[0].amount.0, gt(5));
    // Held back on the link, as one behind a freeze.
    store.receive(batch, &context(10, 4_000));
    let held = store.status(TENANT, at(4_000)).held;
    expect_that!(held, le(10.0));
}
