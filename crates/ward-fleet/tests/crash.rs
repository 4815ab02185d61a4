//! Requests that crash engines.

mod support;

use googletest::prelude::*;
use support::{at, info, name};
use ward_fleet::{
    AnsweredRequests, CrashDetector, CrashEffect, CrashLedger, CrashReport, EngineBirth,
    EngineIncarnation, EngineInfo, EngineTable, FleetRecord, UnfinishedRun,
};
use ward_protocol::{MonoTime, RequestFingerprint, TimeSpan, WallTime};

const BAD: RequestFingerprint = RequestFingerprint(1);
const HEARTBEAT: TimeSpan = TimeSpan::from_secs(1);

fn life(number: i64) -> EngineIncarnation {
    EngineIncarnation {
        engine: name(&format!("i-{number}")),
        birth: Some(EngineBirth(number)),
    }
}

fn mark(fingerprint: RequestFingerprint, number: i64) -> CrashReport {
    CrashReport {
        fingerprint,
        incarnation: life(number),
        age: TimeSpan::ZERO,
    }
}

fn engine(number: i64) -> EngineInfo {
    EngineInfo {
        birth: Some(EngineBirth(number)),
        ..info(&format!("i-{number}"), &[])
    }
}

fn table(numbers: impl IntoIterator<Item = i64>) -> EngineTable {
    let mut table = EngineTable::default();
    for number in numbers {
        table.insert(engine(number));
    }
    table
}

fn run(number: i64, ended: MonoTime) -> UnfinishedRun {
    UnfinishedRun {
        fingerprint: BAD,
        incarnation: life(number),
        ended_at: ended,
    }
}

#[gtest]
fn note_crash_on_a_second_engine_blocks() {
    let mut ledger = CrashLedger::default();
    expect_that!(
        ledger.record(&mark(BAD, 1), at(0)),
        eq(CrashEffect::Counted)
    );
    expect_that!(ledger.blocked_for(&BAD, at(0)), none());
    expect_that!(
        ledger.record(&mark(BAD, 2), at(4_000)),
        eq(CrashEffect::Blocked)
    );
    expect_that!(ledger.blocked_for(&BAD, at(4_000)), some(anything()));
    expect_that!(ledger.reports(at(4_000)).len(), eq(2));
}

#[gtest]
fn note_crash_told_twice_counts_once() {
    let mut ledger = CrashLedger::default();
    ledger.record(&mark(BAD, 1), at(0));
    expect_that!(
        ledger.record(&mark(BAD, 1), at(9_000)),
        eq(CrashEffect::Known)
    );
    expect_that!(ledger.blocked_for(&BAD, at(9_000)), none());
}

#[gtest]
fn note_crash_of_an_engine_with_many_requests_blocks_none() {
    let mut ledger = CrashLedger::default();
    for request in 0..60 {
        let mark = mark(RequestFingerprint(request), 1);
        expect_that!(ledger.record(&mark, at(0)), eq(CrashEffect::Counted));
    }
    for request in 0..60 {
        let fingerprint = RequestFingerprint(request);
        expect_that!(ledger.blocked_for(&fingerprint, at(0)), none());
    }
}

#[gtest]
fn note_crash_that_returns_after_minutes_still_blocks() {
    let mut ledger = CrashLedger::default();
    ledger.record(&mark(BAD, 1), at(0));
    let later = at(10 * 60_000);
    expect_that!(
        ledger.record(&mark(BAD, 2), later),
        eq(CrashEffect::Blocked)
    );
}

#[gtest]
fn note_crash_told_late_is_as_old_as_it_is() {
    let mut early = CrashLedger::default();
    early.record(&mark(BAD, 1), at(0));
    early.record(&mark(BAD, 2), at(0));
    let now = at(30 * 60_000);
    let mut late = CrashLedger::default();
    for mark in early.reports(now) {
        late.record(&mark, now);
    }
    expect_that!(
        late.blocked_for(&BAD, now),
        eq(early.blocked_for(&BAD, now))
    );
    let forgotten = at(2 * 60 * 60_000);
    expect_that!(late.blocked_for(&BAD, forgotten), none());
}

#[gtest]
fn note_many_requests_forgets_no_blocked_one() {
    let mut ledger = CrashLedger::default();
    ledger.record(&mark(BAD, 1), at(0));
    ledger.record(&mark(BAD, 2), at(0));
    for request in 100..10_000 {
        ledger.record(&mark(RequestFingerprint(request), 3), at(1));
    }
    expect_that!(ledger.blocked_for(&BAD, at(1)), some(anything()));
}

#[gtest]
fn clear_request_with_a_whole_answer_counts_anew() {
    let mut ledger = CrashLedger::default();
    ledger.record(&mark(BAD, 1), at(0));
    expect_true!(ledger.clear(&BAD));
    expect_that!(
        ledger.record(&mark(BAD, 2), at(1)),
        eq(CrashEffect::Counted)
    );
    expect_false!(ledger.clear(&RequestFingerprint(2)));
}

#[gtest]
fn answered_last_requests_are_known() {
    let mut answered = AnsweredRequests::default();
    answered.record(BAD);
    for request in 100..2_100 {
        answered.record(RequestFingerprint(request));
    }
    expect_true!(answered.contains(&BAD));
    for request in 2_100..9_000 {
        answered.record(RequestFingerprint(request));
    }
    expect_false!(answered.contains(&BAD));
    expect_true!(answered.contains(&RequestFingerprint(8_999)));
}

#[gtest]
fn review_engine_whose_entry_is_gone_has_ended() {
    let mut watch = CrashDetector::default();
    watch.add_run(run(1, at(0)), false, &table([1, 2]));
    expect_that!(
        watch.take_ended(&table([1, 2]), HEARTBEAT, at(2_000)),
        is_empty()
    );
    let ended = watch.take_ended(&table([2]), HEARTBEAT, at(4_000));
    expect_that!(ended.len(), eq(1));
    expect_that!(
        watch.take_ended(&table([2]), HEARTBEAT, at(4_500)),
        is_empty(),
        "counted once"
    );
}

#[gtest]
fn review_engine_back_under_its_id_has_ended() {
    let mut watch = CrashDetector::default();
    watch.add_run(run(1, at(0)), false, &table([1]));
    let mut reborn = engine(1);
    reborn.birth = Some(EngineBirth(77));
    let mut after = EngineTable::default();
    after.insert(reborn);
    expect_that!(watch.take_ended(&after, HEARTBEAT, at(500)).len(), eq(1));
}

#[gtest]
fn review_engine_that_only_lost_an_answer_is_forgotten() {
    let mut watch = CrashDetector::default();
    watch.add_run(run(1, at(0)), true, &table([1]));
    expect_that!(
        watch.take_ended(&table([1]), HEARTBEAT, at(6_000)),
        is_empty()
    );
    // What ends it later is another matter.
    expect_that!(
        watch.take_ended(&table([]), HEARTBEAT, at(7_000)),
        is_empty()
    );
}

#[gtest]
fn review_engine_that_leaves_as_planned_has_not_crashed() {
    let mut leaving = engine(1);
    leaving.draining = true;
    let mut before = EngineTable::default();
    before.insert(leaving);
    let mut watch = CrashDetector::default();
    expect_false!(watch.add_run(run(1, at(0)), true, &before));
    expect_that!(
        watch.take_ended(&table([]), HEARTBEAT, at(1_000)),
        is_empty()
    );
    // One that never says so is dropped by the store, and goes on for a while.
    expect_false!(watch.add_run(run(2, at(0)), true, &table([])));
    expect_that!(
        watch.take_ended(&table([]), HEARTBEAT, at(1_000)),
        is_empty()
    );
}

#[gtest]
fn note_run_that_broke_off_asks_for_one_probe_at_a_time() {
    let engines = table([1, 2]);
    let mut watch = CrashDetector::default();
    expect_false!(
        watch.add_run(run(1, at(0)), false, &engines),
        "it was only left"
    );
    expect_true!(watch.add_run(run(1, at(0)), true, &engines));
    expect_false!(watch.add_run(run(1, at(0)), true, &engines));
    expect_true!(watch.add_run(run(2, at(0)), true, &engines));
    expect_that!(watch.record_probe(&life(1), false), is_empty());
    expect_true!(watch.add_run(run(1, at(900)), true, &engines));
    expect_that!(watch.record_probe(&life(1), true).len(), eq(4));
    expect_that!(watch.record_probe(&life(1), true), is_empty());
}

#[gtest]
fn marks_beyond_what_was_told_are_told_once() {
    let mut ledger = CrashLedger::default();
    ledger.record(&mark(BAD, 1), at(0));
    ledger.record(&mark(BAD, 2), at(0));
    ledger.record(&mark(RequestFingerprint(2), 1), at(0));
    let beyond = ledger.reports_missing_from(&[mark(BAD, 1)], at(10));
    let lives: Vec<_> = beyond.iter().map(|mark| &mark.incarnation).collect();
    expect_that!(lives, elements_are![eq(&&life(2)), eq(&&life(1))]);
    let all = ledger.reports(at(10));
    expect_that!(ledger.reports_missing_from(&all, at(10)), is_empty());
}

#[gtest]
fn marks_of_daemons_that_each_saw_one_crash_block_together() {
    // A new coordinator knows nothing; each daemon tells what it holds.
    let mut coordinator = CrashLedger::default();
    let daemons = [1, 2].map(|number| {
        let mut ledger = CrashLedger::default();
        ledger.record(&mark(BAD, number), at(0));
        ledger
    });
    for daemon in &daemons {
        let told = coordinator.reports(at(5));
        for mark in daemon.reports_missing_from(&told, at(5)) {
            coordinator.record(&mark, at(5));
        }
    }
    expect_that!(coordinator.blocked_for(&BAD, at(5)), some(anything()));
}

#[gtest]
fn blocked_marks_survive_a_record_with_their_age() {
    let mut ledger = CrashLedger::default();
    ledger.record(&mark(BAD, 1), at(0));
    ledger.record(&mark(BAD, 2), at(0));
    ledger.record(&mark(RequestFingerprint(2), 1), at(0));
    let record = FleetRecord {
        written: WallTime(1_000_000),
        daemons: 9,
        crashes: ledger.blocked_reports(at(60_000)),
    };
    let now = at(2_000);
    let mut restarted = CrashLedger::default();
    for mark in record.into_crashes(WallTime(1_000_000 + 120_000)) {
        restarted.record(&mark, now);
    }
    let left = restarted.blocked_for(&BAD, now);
    let alone = ledger.blocked_for(&BAD, at(180_000));
    expect_that!(left, eq(alone));
    expect_that!(restarted.reports(now).len(), eq(2));
}

#[gtest]
fn blocks_change_with_each_block_and_clear() {
    let mut ledger = CrashLedger::default();
    let first = ledger.blocks();
    ledger.record(&mark(BAD, 1), at(0));
    expect_that!(ledger.blocks(), eq(first));
    ledger.record(&mark(BAD, 2), at(0));
    let second = ledger.blocks();
    expect_that!(second, not(eq(first)));
    ledger.clear(&BAD);
    expect_that!(ledger.blocks(), not(eq(second)));
}
