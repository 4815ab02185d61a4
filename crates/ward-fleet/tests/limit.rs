//! Limits that engines name, and how they are kept.

mod support;

use googletest::prelude::*;
use indexmap::IndexMap;
use support::{at, id, info};
use ward_fleet::number::usize_to_f64;
use ward_fleet::placement::MemberKey;
use ward_fleet::{
    EngineBirth, EngineIncarnation, EngineInfo, LimitEvidence, LimitLedger, LimitSighting,
    PermitBatch, PermitGrant, PermitIssuer, PermitNeed, PermitStore, RequestRate, TurnShare,
};
use ward_protocol::{BackendId, TimeSpan, WallTime};

const LIMIT: RequestRate = RequestRate(2_800);
const LOWER_LIMIT: RequestRate = RequestRate(1_000);

fn incarnation(birth: i64) -> EngineIncarnation {
    EngineIncarnation {
        engine: id("e1"),
        birth: Some(EngineBirth(birth)),
    }
}

/// An answer of the first incarnation of an engine; times in milliseconds.
fn answer(rate: Option<RequestRate>, sent: u64, answered: u64) -> LimitEvidence {
    LimitEvidence {
        incarnation: incarnation(1),
        rate,
        sent_at: at(sent),
        answered_at: at(answered),
    }
}

fn engine(birth: i64) -> EngineInfo {
    EngineInfo {
        birth: Some(EngineBirth(birth)),
        ..info("e1", &["m1"])
    }
}

#[gtest]
fn record_answer_without_a_limit_ends_it() {
    let mut ledger = LimitLedger::default();
    expect_false!(ledger.record(&answer(None, 0, 10)));
    expect_true!(ledger.record(&answer(Some(LIMIT), 20, 30)));
    expect_that!(ledger.rate_of(&engine(1)), some(eq(LIMIT)));
    expect_false!(ledger.record(&answer(Some(LIMIT), 40, 50)));
    expect_true!(ledger.record(&answer(None, 60, 70)));
    expect_that!(ledger.rate_of(&engine(1)), none());
}

#[gtest]
fn record_answer_to_an_earlier_request_says_nothing() {
    let mut ledger = LimitLedger::default();
    ledger.record(&answer(Some(LIMIT), 20, 30));
    // Sent before the limit was known, and answered after it.
    expect_false!(ledger.record(&answer(None, 25, 90)));
    expect_that!(ledger.rate_of(&engine(1)), some(eq(LIMIT)));
}

#[gtest]
fn record_overtaking_answers_keep_the_lower_limit() {
    let mut ledger = LimitLedger::default();
    ledger.record(&answer(Some(LOWER_LIMIT), 20, 30));
    ledger.record(&answer(Some(LIMIT), 25, 40));
    expect_that!(ledger.rate_of(&engine(1)), some(eq(LOWER_LIMIT)));
    ledger.record(&answer(Some(LIMIT), 50, 60));
    expect_that!(ledger.rate_of(&engine(1)), some(eq(LIMIT)));
}

#[gtest]
fn record_restarted_engine_has_no_limit() {
    let mut ledger = LimitLedger::default();
    ledger.record(&answer(Some(LIMIT), 20, 30));
    expect_that!(ledger.rate_of(&engine(2)), none());
    let restarted = LimitEvidence {
        incarnation: incarnation(2),
        ..answer(Some(LOWER_LIMIT), 40, 50)
    };
    ledger.record(&restarted);
    // A late answer of the former incarnation.
    ledger.record(&answer(Some(LIMIT), 20, 60));
    expect_that!(ledger.rate_of(&engine(2)), some(eq(LOWER_LIMIT)));
}

#[gtest]
fn record_sighting_older_than_own_evidence_says_nothing() {
    let mut ledger = LimitLedger::default();
    ledger.record(&answer(Some(LIMIT), 900, 1_000));
    let mut sighting = LimitSighting {
        incarnation: incarnation(1),
        rate: None,
        age: TimeSpan::from_millis(500),
    };
    expect_false!(ledger.record_sighting(&sighting, at(1_400)));
    expect_that!(ledger.rate_of(&engine(1)), some(eq(LIMIT)));
    sighting.age = TimeSpan::from_millis(300);
    expect_true!(ledger.record_sighting(&sighting, at(1_400)));
    expect_that!(ledger.rate_of(&engine(1)), none());
}

#[gtest]
fn request_rate_text_round_trip() {
    expect_that!(LIMIT.to_string(), eq("2.8/s"));
    expect_that!("2.8/s".parse::<RequestRate>(), ok(eq(&LIMIT)));
    for text in ["", "few", "-1", "inf/s", "NaN"] {
        expect_that!(text.parse::<RequestRate>(), err(anything()), "{text}");
    }
}

/// A daemon's report of requests that wait for permits at an engine.
fn need(engine: &str, waiting: u32, received: u32) -> PermitNeed {
    PermitNeed {
        engine: id(engine),
        waiting,
        spare: false,
        received,
    }
}

fn spare_need(engine: &str) -> PermitNeed {
    PermitNeed {
        spare: true,
        ..need(engine, 0, 0)
    }
}

fn limits(rate: RequestRate) -> IndexMap<BackendId, RequestRate> {
    [(id("e1"), rate)].into_iter().collect()
}

/// Permits in batches, by daemon.
fn issued(batches: &[(MemberKey, PermitBatch)]) -> IndexMap<MemberKey, u32> {
    let mut counts = IndexMap::new();
    for (member, batch) in batches {
        let count: u32 = batch.grants.iter().map(|grant| grant.count).sum();
        *counts.entry(*member).or_default() += count;
    }
    counts
}

/// Issues permits each 10 ms for some time to daemons that always have a waiting request;
/// returns the permits of each.
fn issue_for(
    issuer: &mut PermitIssuer,
    members: u64,
    share: f64,
    millis: std::ops::Range<u64>,
) -> IndexMap<MemberKey, u32> {
    let mut received: IndexMap<MemberKey, u32> = IndexMap::new();
    for time in millis.step_by(10) {
        for member in (0..members).map(MemberKey) {
            let count = received.get(&member).copied().unwrap_or(0);
            issuer.record_needs(member, vec![need("e1", 1, count)], at(time), at(time));
        }
        let batches = issuer.issue(&limits(LIMIT), share, at(time));
        for (member, count) in issued(&batches) {
            *received.entry(member).or_default() += count;
        }
    }
    received
}

#[gtest]
fn issue_all_daemons_together_get_the_limit() {
    for members in [1, 9, 370] {
        let mut issuer = PermitIssuer::default();
        let received = issue_for(&mut issuer, members, 1.0, 0..10_000);
        let total: u32 = received.values().sum();
        // 2.8 a second for 10 s.
        expect_that!(total, all!(ge(27), le(28)), "{members} daemons");
        let most = received.values().max().copied().unwrap_or(0);
        let least = (total / u32::try_from(members).unwrap_or(1)).max(1);
        expect_that!(most, le(least + 1), "{members} daemons");
    }
}

#[gtest]
fn issue_after_a_pause_allows_no_more_than_the_bucket() {
    let mut issuer = PermitIssuer::default();
    issue_for(&mut issuer, 370, 1.0, 0..1_000);
    let received = issue_for(&mut issuer, 370, 1.0, 60_000..60_010);
    let total: u32 = received.values().sum();
    expect_that!(total, le(2));
}

#[gtest]
fn issue_leaves_out_the_share_of_daemons_out_of_touch() {
    let mut issuer = PermitIssuer::default();
    let received = issue_for(&mut issuer, 4, 0.5, 0..10_000);
    let total: u32 = received.values().sum();
    expect_that!(total, all!(ge(13), le(14)));
}

#[gtest]
fn issue_permits_on_their_way_count() {
    let mut issuer = PermitIssuer::default();
    issuer.record_needs(MemberKey(1), vec![need("e1", 1, 0)], at(0), at(0));
    let first = issuer.issue(&limits(LIMIT), 1.0, at(0));
    expect_that!(issued(&first)[&MemberKey(1)], eq(0));
    let batches = issuer.issue(&limits(LIMIT), 1.0, at(5_000));
    expect_that!(issued(&batches)[&MemberKey(1)], eq(1));
    // This report was sent before the permit arrived.
    issuer.record_needs(MemberKey(1), vec![need("e1", 1, 0)], at(5_000), at(5_001));
    let batches = issuer.issue(&limits(LIMIT), 1.0, at(5_001));
    expect_that!(issued(&batches)[&MemberKey(1)], eq(0));
}

#[gtest]
fn issue_waiting_requests_go_before_spare_permits() {
    let mut issuer = PermitIssuer::default();
    issuer.record_needs(MemberKey(1), vec![spare_need("e1")], at(0), at(0));
    issuer.record_needs(MemberKey(2), vec![need("e1", 2, 0)], at(0), at(0));
    issuer.issue(&limits(LIMIT), 1.0, at(0));
    let counts = issued(&issuer.issue(&limits(LIMIT), 1.0, at(5_000)));
    expect_that!(counts.get(&MemberKey(1)), none());
    expect_that!(counts[&MemberKey(2)], eq(2));
    let counts = issued(&issuer.issue(&limits(LIMIT), 1.0, at(6_000)));
    expect_that!(counts[&MemberKey(1)], eq(1));
}

#[gtest]
fn issue_limit_of_zero_leaves_rare_requests() {
    let mut issuer = PermitIssuer::default();
    let mut total = 0;
    for time in (0..20_000).step_by(100) {
        issuer.record_needs(MemberKey(1), vec![need("e1", 1, total)], at(time), at(time));
        let batches = issuer.issue(&limits(RequestRate(0)), 1.0, at(time));
        total += issued(&batches).values().sum::<u32>();
    }
    expect_that!(total, all!(ge(3), le(4)));
}

fn batch(count: u32, wait: u64, reported_at: u64, held_for: u64) -> PermitBatch {
    PermitBatch {
        grants: vec![PermitGrant {
            engine: id("e1"),
            count,
            wait: TimeSpan::from_millis(wait),
        }],
        reported_at: at(reported_at),
        held_for: TimeSpan::from_millis(held_for),
    }
}

#[gtest]
fn allows_one_request_for_each_permit() {
    let mut store = PermitStore::default();
    expect_false!(store.allows(&id("e1"), None, at(100)));
    store.receive(&batch(2, 0, 50, 10), at(100));
    for _ in 0..2 {
        expect_true!(store.allows(&id("e1"), None, at(100)));
        store.spend(&id("e1"), None, at(100));
    }
    expect_false!(store.allows(&id("e1"), None, at(100)));
}

#[gtest]
fn allows_no_permit_that_a_frozen_daemon_received_late() {
    let mut store = PermitStore::default();
    // The report was sent 5 s before the daemon reads the answer to it.
    store.receive(&batch(1, 0, 1_000, 10), at(6_000));
    expect_false!(store.allows(&id("e1"), None, at(6_000)));
}

#[gtest]
fn expected_wait_depends_on_the_place_in_the_queue() {
    let mut store = PermitStore::default();
    store.set_waiting(&[(id("e1"), 3)].into_iter().collect());
    store.receive(&batch(0, 8_000, 0, 0), at(100));
    let wait = |ahead| store.expected_wait(&id("e1"), ahead, at(100));
    expect_that!(wait(0), some(eq(TimeSpan::from_secs(2))));
    expect_that!(wait(3), some(eq(TimeSpan::from_secs(8))));
    expect_that!(wait(9), some(eq(TimeSpan::from_secs(8))));
}

#[gtest]
fn expected_wait_grows_shorter_without_a_new_estimate() {
    let mut store = PermitStore::default();
    expect_that!(store.expected_wait(&id("e1"), 0, at(100)), none());
    store.receive(&batch(0, 8_000, 0, 0), at(100));
    let wait = |millis| store.expected_wait(&id("e1"), 0, at(millis));
    expect_that!(wait(3_100), some(eq(TimeSpan::from_secs(5))));
    expect_that!(wait(9_000), some(eq(TimeSpan::ZERO)));
}

/// Requests that daemons without a coordinator send in their turns, each as soon as it may,
/// with clocks that differ by up to 2 s; as times in milliseconds.
fn sent_in_turns(daemons: usize, rate: RequestRate, seconds: u64) -> Vec<u64> {
    let mut stores = vec![PermitStore::default(); daemons];
    let mut sent = Vec::new();
    for millis in 0..seconds * 1_000 {
        for (rank, store) in stores.iter_mut().enumerate() {
            let offset = if rank % 3 == 0 { 2_000 } else { 0 };
            let share = TurnShare {
                daemons,
                rank,
                now: WallTime(1_700_000_000_000 + millis + offset),
            };
            let turn = share.own_turn(rate);
            while store.allows(&id("e1"), turn, at(millis)) {
                store.spend(&id("e1"), turn, at(millis));
                sent.push(millis);
            }
        }
    }
    sent
}

#[gtest]
fn own_turn_all_daemons_together_keep_the_limit() {
    for (daemons, rate) in [(9, 1_000), (9, 40_000), (370, 2_800), (370, 0)] {
        let rate = RequestRate(rate);
        let sent = sent_in_turns(daemons, rate, 20);
        let in_window = |start: &u64| {
            let window = *start..*start + 4_000;
            sent.iter().filter(|time| window.contains(*time)).count()
        };
        let most = sent.iter().map(in_window).max().unwrap_or(0);
        let allowed = 1.5 * rate.within(TimeSpan::from_secs(4)) + 5.0;
        expect_that!(
            usize_to_f64(most),
            le(allowed),
            "{daemons} daemons at {rate}"
        );
        let least = 0.7 * rate.within(TimeSpan::from_secs(20)) - 1.0;
        expect_that!(
            usize_to_f64(sent.len()),
            ge(least),
            "{daemons} daemons at {rate}"
        );
    }
}

#[gtest]
fn wait_for_ends_in_an_own_turn() {
    for (rank, ahead) in (0..9).flat_map(|rank| [0, 1, 2, 20].map(|ahead| (rank, ahead))) {
        let share = TurnShare {
            daemons: 9,
            rank,
            now: WallTime(1_700_000_000_000),
        };
        let later = TurnShare {
            now: share.now + share.wait_for(LIMIT, ahead),
            ..share
        };
        expect_that!(later.own_turn(LIMIT), some(anything()), "{rank} {ahead}");
    }
}

#[gtest]
fn unknown_to_lists_what_the_sender_does_not_know() {
    let mut ledger = LimitLedger::default();
    ledger.record(&answer(Some(LIMIT), 20, 30));
    let own = ledger.sightings(at(100));
    expect_that!(ledger.unknown_to(&own, true), is_empty());
    expect_that!(ledger.unknown_to(&[], true), elements_are![eq(&id("e1"))]);
    expect_that!(ledger.unknown_to(&[], false), is_empty());
    let ended = LimitSighting {
        rate: None,
        ..own[0].clone()
    };
    expect_that!(
        ledger.unknown_to(&[ended], false),
        elements_are![eq(&id("e1"))]
    );
}
