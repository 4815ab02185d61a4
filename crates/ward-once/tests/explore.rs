//! Explores every order of events for one key: two daemons, crashes, lost answers,
//! delayed records, and requests that are given up.
//!
//! The model repeats the steps of [`ward_once::OnceStore`] and uses the real ledger.
//! In each step a daemon may append `Begin`, give the request up, read its record
//! back, send the request, append an end record or crash, and the log stores the
//! records in flight in any order. In every state that can be reached, the request
//! was sent at most once.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use indexmap::IndexSet;
use ward_once::{EntryPhase, KeyLedger, LedgerDecision};
use ward_protocol::{
    Incarnation, LogOffset, RecordId, RequestEnvelope, RequestFingerprint, RequestRecord, TimeSpan,
    WallTime,
};

const DAEMONS: u8 = 2;
/// The first daemon begins the request twice, for example for a caller that retries it.
const ATTEMPTS: [AttemptId; 3] = [
    AttemptId {
        daemon: 0,
        number: 0,
    },
    AttemptId {
        daemon: 0,
        number: 1,
    },
    AttemptId {
        daemon: 1,
        number: 0,
    },
];

/// One attempt of a daemon to run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct AttemptId {
    daemon: u8,
    number: u8,
}

/// State of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum AttemptPhase {
    /// `Begin` not appended yet.
    Idle,
    /// `Begin` appended, not read back.
    Appended,
    /// Given up before its `Begin` was read back.
    GivenUp,
    /// `Begin` read back and accepted.
    Won,
    /// The request was sent to the backend server.
    Sent,
    /// Rejected, or its end record was appended.
    Ended,
}

/// A rule that the model omits, to show that the exploration detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RuleGap {
    Nothing,
    /// A request is sent only after its `Begin` is read back.
    ReadBack,
    /// A request that was sent is not aborted as given up.
    OrphanCheck,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Record {
    attempt: AttemptId,
    kind: RecordKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum RecordKind {
    Begin,
    Done,
    Abort,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelState {
    attempts: Vec<AttemptPhase>,
    crashed: Vec<bool>,
    in_flight: Vec<Record>,
    log: Vec<Record>,
    sent: u8,
}

impl ModelState {
    fn new() -> Self {
        Self {
            attempts: vec![AttemptPhase::Idle; ATTEMPTS.len()],
            crashed: vec![false; usize::from(DAEMONS)],
            in_flight: Vec::new(),
            log: Vec::new(),
            sent: 0,
        }
    }

    /// Returns the states after every event that may come next.
    fn successors(&self, gap: RuleGap) -> Vec<Self> {
        let mut states = Vec::new();
        for index in 0..self.in_flight.len() {
            let mut state = self.clone();
            let record = state.in_flight.remove(index);
            state.log.push(record);
            states.push(state);
        }
        for daemon in 0..DAEMONS {
            if self.crashed[usize::from(daemon)] {
                continue;
            }
            let mut state = self.clone();
            state.crashed[usize::from(daemon)] = true;
            states.push(state);
        }
        for (index, attempt) in ATTEMPTS.iter().enumerate() {
            if !self.crashed[usize::from(attempt.daemon)] {
                states.extend(self.steps(index, gap));
            }
        }
        states
    }

    fn steps(&self, index: usize, gap: RuleGap) -> Vec<Self> {
        let attempt = ATTEMPTS[index];
        let append = |kind| Record { attempt, kind };
        let to = |phase, record: Option<RecordKind>| {
            let mut state = self.clone();
            state.attempts[index] = phase;
            state.in_flight.extend(record.map(append));
            // The log may store them in any order, so states that differ only in the order
            // of the records in flight are equal.
            state.in_flight.sort_unstable();
            state
        };
        let decision = self.read_back(attempt);
        match self.attempts[index] {
            AttemptPhase::Idle => vec![to(AttemptPhase::Appended, Some(RecordKind::Begin))],
            AttemptPhase::Appended => {
                let mut states = vec![to(AttemptPhase::GivenUp, None)];
                match decision {
                    Some(LedgerDecision::Accepted) => states.push(to(AttemptPhase::Won, None)),
                    Some(LedgerDecision::Rejected) => states.push(to(AttemptPhase::Ended, None)),
                    None if gap == RuleGap::ReadBack => states.push(to(AttemptPhase::Won, None)),
                    None => {}
                }
                states
            }
            AttemptPhase::GivenUp => match decision {
                Some(LedgerDecision::Accepted) => {
                    vec![to(AttemptPhase::Ended, Some(RecordKind::Abort))]
                }
                Some(LedgerDecision::Rejected) | None => Vec::new(),
            },
            AttemptPhase::Won => {
                let mut sent = to(AttemptPhase::Sent, None);
                sent.sent += 1;
                let mut states = vec![sent, to(AttemptPhase::Ended, Some(RecordKind::Abort))];
                if gap == RuleGap::OrphanCheck {
                    let mut both = to(AttemptPhase::Sent, Some(RecordKind::Abort));
                    both.sent += 1;
                    states.push(both);
                }
                states
            }
            AttemptPhase::Sent => vec![to(AttemptPhase::Ended, Some(RecordKind::Done))],
            AttemptPhase::Ended => Vec::new(),
        }
    }

    /// The ledger's decision on an attempt's `Begin`; `None` if the log doesn't hold it.
    fn read_back(&self, attempt: AttemptId) -> Option<LedgerDecision> {
        let mut ledger = KeyLedger::new(TimeSpan::from_secs(3_600));
        let mut found = None;
        for (record, offset) in self.log.iter().zip(1..) {
            let decision = ledger.apply(LogOffset(offset), &envelope(*record));
            if record.attempt == attempt && record.kind == RecordKind::Begin {
                found = Some(decision);
            }
        }
        found
    }

    /// Whether a further `Begin` would be accepted.
    fn is_key_free(&self) -> bool {
        let mut ledger = KeyLedger::new(TimeSpan::from_secs(3_600));
        for (record, offset) in self.log.iter().zip(1..) {
            ledger.apply(LogOffset(offset), &envelope(*record));
        }
        let key = "deposit-1".parse().unwrap();
        let entry = ledger.entry(&key);
        entry.is_none_or(|entry| entry.phase == EntryPhase::Aborted)
    }
}

fn envelope(record: Record) -> RequestEnvelope {
    let begin =
        RecordId(u128::from(record.attempt.daemon) * 10 + u128::from(record.attempt.number) + 1);
    let (id, body) = match record.kind {
        RecordKind::Begin => {
            let fingerprint = RequestFingerprint(1);
            (begin, RequestRecord::Begin { fingerprint })
        }
        RecordKind::Abort => (RecordId(begin.0 + 100), RequestRecord::Abort),
        RecordKind::Done => {
            let done = RequestRecord::Done {
                status: 200,
                content_type: String::new(),
                body: None,
            };
            (RecordId(begin.0 + 200), done)
        }
    };
    RequestEnvelope {
        format: 1,
        id,
        daemon: format!("entry-{}", record.attempt.daemon).parse().unwrap(),
        incarnation: Incarnation(1),
        proposed_at: WallTime(0),
        key: "deposit-1".parse().unwrap(),
        begin,
        body,
    }
}

/// Numbers of states that an exploration found.
#[derive(Debug, Default)]
struct Findings {
    states: usize,
    sent_twice: usize,
    /// States in which the request was sent, yet the key is free for another `Begin`.
    sent_with_free_key: usize,
}

fn explore(gap: RuleGap) -> Findings {
    let mut findings = Findings::default();
    let mut seen = IndexSet::new();
    let mut open = vec![ModelState::new()];
    while let Some(state) = open.pop() {
        if !seen.insert(state.clone()) {
            continue;
        }
        findings.states += 1;
        findings.sent_twice += usize::from(state.sent > 1);
        let begun = !state.log.is_empty();
        findings.sent_with_free_key += usize::from(begun && state.sent > 0 && state.is_key_free());
        open.extend(state.successors(gap));
    }
    findings
}

#[googletest::test]
fn explore_sent_at_most_once() {
    let findings = explore(RuleGap::Nothing);
    expect_that!(findings.states, gt(1_000));
    expect_that!(findings.sent_twice, eq(0));
    expect_that!(findings.sent_with_free_key, eq(0));
}

#[googletest::test]
fn explore_detects_omitted_read_back() {
    expect_that!(explore(RuleGap::ReadBack).sent_twice, gt(0));
}

#[googletest::test]
fn explore_detects_abort_after_sending() {
    expect_that!(explore(RuleGap::OrphanCheck).sent_with_free_key, gt(0));
}
