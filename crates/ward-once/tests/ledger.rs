//! The rules for the idempotency keys of one shard.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use proptest::prelude::*;
use ward_once::{EntryPhase, KeyLedger, LedgerDecision};
use ward_protocol::{
    Incarnation, LogOffset, RecordId, RequestEnvelope, RequestFingerprint, RequestRecord, TimeSpan,
    WallTime,
};

const HOUR: u64 = 3_600_000;
const KEY_RETENTION: TimeSpan = TimeSpan::from_secs(3_600);

fn envelope(
    id: u128,
    daemon: u8,
    proposed_at: u64,
    begin: u128,
    body: RequestRecord,
) -> RequestEnvelope {
    RequestEnvelope {
        format: 1,
        id: RecordId(id),
        daemon: format!("entry-{daemon}").parse().unwrap(),
        incarnation: Incarnation(1),
        proposed_at: WallTime(proposed_at),
        key: "deposit-7".parse().unwrap(),
        begin: RecordId(begin),
        body,
    }
}

fn begin(id: u128, daemon: u8, proposed_at: u64) -> RequestEnvelope {
    let fingerprint = RequestFingerprint(1);
    envelope(
        id,
        daemon,
        proposed_at,
        id,
        RequestRecord::Begin { fingerprint },
    )
}

fn done() -> RequestRecord {
    RequestRecord::Done {
        status: 200,
        content_type: "application/json".to_owned(),
        body: None,
    }
}

fn apply_all(records: &[RequestEnvelope]) -> (KeyLedger, Vec<LedgerDecision>) {
    let mut ledger = KeyLedger::new(KEY_RETENTION);
    let decisions = records
        .iter()
        .zip(1..)
        .map(|(record, offset)| ledger.apply(LogOffset(offset), record))
        .collect();
    (ledger, decisions)
}

use LedgerDecision::{Accepted, Rejected};

#[googletest::test]
fn begin_first_wins() {
    let (ledger, decisions) = apply_all(&[begin(1, 1, 0), begin(2, 2, 0)]);
    expect_that!(decisions, elements_are![eq(&Accepted), eq(&Rejected)]);
    let key = "deposit-7".parse().unwrap();
    expect_that!(ledger.entry(&key).unwrap().begin, eq(RecordId(1)));
}

#[googletest::test]
fn end_of_other_begin() {
    let (ledger, decisions) = apply_all(&[
        begin(1, 1, 0),
        begin(2, 1, 0),
        envelope(3, 1, 0, 2, RequestRecord::Abort),
    ]);
    expect_that!(decisions[2], eq(Rejected));
    let key = "deposit-7".parse().unwrap();
    expect_that!(ledger.entry(&key).unwrap().phase, eq(EntryPhase::Running));
}

#[googletest::test]
fn end_of_other_daemon() {
    let (_, decisions) = apply_all(&[begin(1, 1, 0), envelope(3, 2, 0, 1, done())]);
    expect_that!(decisions[1], eq(Rejected));
}

#[googletest::test]
fn doubt_then_done() {
    let (ledger, decisions) = apply_all(&[
        begin(1, 1, 0),
        envelope(2, 1, 0, 1, RequestRecord::Doubt),
        envelope(3, 1, 0, 1, done()),
    ]);
    expect_that!(decisions, each(eq(&Accepted)));
    let key = "deposit-7".parse().unwrap();
    let phase = ledger.entry(&key).unwrap().phase;
    expect_that!(phase, eq(EntryPhase::Done(LogOffset(3))));
}

#[googletest::test]
fn abort_frees_key() {
    let abort = envelope(2, 1, 0, 1, RequestRecord::Abort);
    let (_, decisions) = apply_all(&[begin(1, 1, 0), abort, begin(1, 1, 0), begin(3, 2, 0)]);
    // A copy of the aborted `Begin` is rejected, a new `Begin` is accepted.
    expect_that!(decisions[2], eq(Rejected));
    expect_that!(decisions[3], eq(Accepted));
}

#[googletest::test]
fn one_fast_clock_forgets_nothing() {
    let (_, decisions) = apply_all(&[begin(1, 1, 0), begin(2, 2, 5 * HOUR), begin(3, 2, 6 * HOUR)]);
    expect_that!(decisions[1], eq(Rejected));
    expect_that!(decisions[2], eq(Rejected));
}

#[googletest::test]
fn two_advanced_clocks_expire_key() {
    let other = begin(2, 2, 2 * HOUR);
    let (_, decisions) = apply_all(&[begin(1, 1, 0), other, begin(3, 1, 2 * HOUR)]);
    expect_that!(decisions[2], eq(Accepted));
}

fn any_record() -> impl Strategy<Value = RequestEnvelope> {
    (0_u128..6, 0_u8..3, 0_u128..6, 0_u8..4).prop_map(|(id, daemon, begun, kind)| match kind {
        0 => begin(id, daemon, 0),
        1 => envelope(100 + id, daemon, 0, begun, done()),
        2 => envelope(100 + id, daemon, 0, begun, RequestRecord::Abort),
        _ => envelope(100 + id, daemon, 0, begun, RequestRecord::Doubt),
    })
}

proptest! {
    // Between two accepted `Begin` records there is always the `Abort` of the first.
    #[test]
    fn begin_needs_abort(records in proptest::collection::vec(any_record(), 0..40)) {
        let (_, decisions) = apply_all(&records);
        let mut open: Option<RecordId> = None;
        for (record, decision) in records.iter().zip(decisions) {
            if decision == Rejected {
                continue;
            }
            match record.body {
                RequestRecord::Begin { .. } => {
                    prop_assert_eq!(open, None);
                    open = Some(record.id);
                }
                RequestRecord::Abort => {
                    prop_assert_eq!(open, Some(record.begin));
                    open = None;
                }
                RequestRecord::Done { .. } | RequestRecord::Doubt => {
                    prop_assert_eq!(open, Some(record.begin));
                }
            }
        }
    }

    #[test]
    fn replay_changes_nothing(records in proptest::collection::vec(any_record(), 1..20), from in 0_usize..20) {
        let (ledger, _) = apply_all(&records);
        let (mut replayed, _) = apply_all(&records);
        let from = from.min(records.len() - 1);
        for (index, record) in records.iter().enumerate().skip(from) {
            let decision = replayed.apply(LogOffset(index as u64 + 1), record);
            prop_assert_eq!(decision, Rejected);
        }
        let key = "deposit-7".parse().unwrap();
        prop_assert_eq!(ledger.entry(&key), replayed.entry(&key));
    }
}
