//! Every order of events for one key: two daemons, crashes, lost answers,
//! records that arrive late, and requests that are given up.
//!
//! The model is what [`ward_once::OnceStore`] does, step by step, over the real
//! rules. A daemon may append `Begin`, be given up by its caller, read back,
//! send, append an end record or crash; the log stores what is on its way in
//! any order. At the end of every path the request was sent at most once.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use indexmap::IndexSet;
use ward_once::{EntryPhase, KeyLedger, LedgerDecision};
use ward_protocol::{
    Incarnation, LogOffset, RecordId, RequestEnvelope, RequestFingerprint, RequestRecord, TimeSpan,
    WallTime,
};

const DAEMONS: u8 = 2;
/// The first daemon tries twice, say for a caller that asks again.
const TRIES: [TryName; 3] = [
    TryName {
        daemon: 0,
        number: 0,
    },
    TryName {
        daemon: 0,
        number: 1,
    },
    TryName {
        daemon: 1,
        number: 0,
    },
];

/// One try of one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct TryName {
    daemon: u8,
    number: u8,
}

/// Where one try of one daemon stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum TryPhase {
    /// Not begun.
    Idle,
    /// `Begin` appended, not read back.
    Asked,
    /// Given up before it was read back.
    GivenUp,
    /// Read back as the first.
    Won,
    /// Sent to the backend server.
    Sent,
    /// Over.
    Ended,
}

/// A rule that is dropped, to show that the exploration notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Dropped {
    Nothing,
    ReadBack,
    OrphanCheck,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Record {
    name: TryName,
    kind: RecordKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum RecordKind {
    Begin,
    Done,
    Abort,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    tries: Vec<TryPhase>,
    crashed: Vec<bool>,
    on_the_way: Vec<Record>,
    log: Vec<Record>,
    sent: u8,
}

impl World {
    fn new() -> Self {
        Self {
            tries: vec![TryPhase::Idle; TRIES.len()],
            crashed: vec![false; usize::from(DAEMONS)],
            on_the_way: Vec::new(),
            log: Vec::new(),
            sent: 0,
        }
    }

    /// Follows every event that may come next.
    fn next(&self, dropped: Dropped) -> Vec<Self> {
        let mut worlds = Vec::new();
        for index in 0..self.on_the_way.len() {
            let mut world = self.clone();
            let record = world.on_the_way.remove(index);
            world.log.push(record);
            worlds.push(world);
        }
        for daemon in 0..DAEMONS {
            if self.crashed[usize::from(daemon)] {
                continue;
            }
            let mut world = self.clone();
            world.crashed[usize::from(daemon)] = true;
            worlds.push(world);
        }
        for (index, name) in TRIES.iter().enumerate() {
            if !self.crashed[usize::from(name.daemon)] {
                worlds.extend(self.steps(index, dropped));
            }
        }
        worlds
    }

    fn steps(&self, index: usize, dropped: Dropped) -> Vec<Self> {
        let name = TRIES[index];
        let append = |kind| Record { name, kind };
        let to = |phase, record: Option<RecordKind>| {
            let mut world = self.clone();
            world.tries[index] = phase;
            world.on_the_way.extend(record.map(append));
            // In any order, so one order stands for all.
            world.on_the_way.sort_unstable();
            world
        };
        let verdict = self.read_back(name);
        match self.tries[index] {
            TryPhase::Idle => vec![to(TryPhase::Asked, Some(RecordKind::Begin))],
            TryPhase::Asked => {
                let mut worlds = vec![to(TryPhase::GivenUp, None)];
                match verdict {
                    Some(LedgerDecision::Accepted) => worlds.push(to(TryPhase::Won, None)),
                    Some(LedgerDecision::Rejected) => worlds.push(to(TryPhase::Ended, None)),
                    None if dropped == Dropped::ReadBack => worlds.push(to(TryPhase::Won, None)),
                    None => {}
                }
                worlds
            }
            TryPhase::GivenUp => match verdict {
                Some(LedgerDecision::Accepted) => {
                    vec![to(TryPhase::Ended, Some(RecordKind::Abort))]
                }
                Some(LedgerDecision::Rejected) | None => Vec::new(),
            },
            TryPhase::Won => {
                let mut sent = to(TryPhase::Sent, None);
                sent.sent += 1;
                let mut worlds = vec![sent, to(TryPhase::Ended, Some(RecordKind::Abort))];
                if dropped == Dropped::OrphanCheck {
                    let mut both = to(TryPhase::Sent, Some(RecordKind::Abort));
                    both.sent += 1;
                    worlds.push(both);
                }
                worlds
            }
            TryPhase::Sent => vec![to(TryPhase::Ended, Some(RecordKind::Done))],
            TryPhase::Ended => Vec::new(),
        }
    }

    /// What the log says of a try's `Begin`, by the real rules.
    fn read_back(&self, name: TryName) -> Option<LedgerDecision> {
        let mut ledger = KeyLedger::new(TimeSpan::from_secs(3_600));
        let mut found = None;
        for (record, offset) in self.log.iter().zip(1..) {
            let verdict = ledger.apply(LogOffset(offset), &envelope(*record));
            if record.name == name && record.kind == RecordKind::Begin {
                found = Some(verdict);
            }
        }
        found
    }

    /// Whether the log still lets somebody begin.
    fn is_free(&self) -> bool {
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
    let begin = RecordId(u128::from(record.name.daemon) * 10 + u128::from(record.name.number) + 1);
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
        daemon: format!("entry-{}", record.name.daemon).parse().unwrap(),
        incarnation: Incarnation(1),
        proposed_at: WallTime(0),
        key: "deposit-1".parse().unwrap(),
        begin,
        body,
    }
}

/// What an exploration found.
#[derive(Debug, Default)]
struct Findings {
    worlds: usize,
    sent_twice: usize,
    /// Sent, and yet free for another.
    sent_and_free: usize,
}

fn explore(dropped: Dropped) -> Findings {
    let mut findings = Findings::default();
    let mut seen = IndexSet::new();
    let mut open = vec![World::new()];
    while let Some(world) = open.pop() {
        if !seen.insert(world.clone()) {
            continue;
        }
        findings.worlds += 1;
        findings.sent_twice += usize::from(world.sent > 1);
        let begun = !world.log.is_empty();
        findings.sent_and_free += usize::from(begun && world.sent > 0 && world.is_free());
        open.extend(world.next(dropped));
    }
    findings
}

#[googletest::test]
fn explore_sent_at_most_once() {
    let findings = explore(Dropped::Nothing);
    expect_that!(findings.worlds, gt(1_000));
    expect_that!(findings.sent_twice, eq(0));
    expect_that!(findings.sent_and_free, eq(0));
}

#[googletest::test]
fn explore_notices_dropped_read_back() {
    expect_that!(explore(Dropped::ReadBack).sent_twice, gt(0));
}

#[googletest::test]
fn explore_notices_abort_after_sending() {
    expect_that!(explore(Dropped::OrphanCheck).sent_and_free, gt(0));
}
