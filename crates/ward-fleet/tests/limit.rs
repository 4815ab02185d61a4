//! Limits that engines name, and how they are kept.

mod support;

use googletest::prelude::*;
use support::{at, id, info};
use ward_fleet::{
    EngineBirth, EngineIncarnation, EngineInfo, LimitEvidence, LimitLedger, LimitSighting,
    RequestRate,
};
use ward_protocol::TimeSpan;

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
