//! Requests that crash engines.

mod support;

use googletest::prelude::*;
use support::at;
use ward_fleet::CrashLedger;
use ward_protocol::RequestFingerprint;

#[gtest]
fn note_second_crash_blocks() {
    let mut ledger = CrashLedger::default();
    let bad = RequestFingerprint(1);
    expect_false!(ledger.note(bad, at(0)));
    expect_false!(ledger.is_blocked(&bad));
    expect_true!(ledger.note(bad, at(4_000)));
    expect_true!(ledger.is_blocked(&bad));
    expect_that!(ledger.blocked(), elements_are![eq(&bad)]);
}

#[gtest]
fn note_crash_of_an_engine_with_many_requests_blocks_none() {
    let mut ledger = CrashLedger::default();
    for request in 0..60 {
        expect_false!(ledger.note(RequestFingerprint(request), at(0)));
    }
    expect_that!(ledger.blocked(), is_empty());
}

#[gtest]
fn block_word_of_another_daemon_counts() {
    let mut ledger = CrashLedger::default();
    ledger.block(RequestFingerprint(3), at(0));
    expect_true!(ledger.is_blocked(&RequestFingerprint(3)));
}
