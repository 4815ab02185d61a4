//! Bounds the CPU time of an idle daemon with a plan of the expected future size.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use ward_control::{ControlConfig, ControlCore, ControlEvent};
use ward_protocol::codec::encode;
use ward_protocol::record::RECORD_FORMAT;
use ward_protocol::{
    ControlEnvelope, ControlRecord, Incarnation, LogOffset, LogStream, MemberInfo, MemorySize,
    MonoTime, PlanChange, PlanEnvelope, PlanRecord, PlanRevision, PlanRow, PriorityLevel,
    RawRecord, RecordId, WallTime,
};

const MODELS: usize = 700;
const ADAPTERS: usize = 28_000;
/// Events per second of an idle daemon: ticks, reads, status reports, probes.
const EVENTS_PER_SECOND: u32 = 45;
/// Maximum share of a core for the control thread, in thousandths.
const MAX_CORE_PERMILLE: u32 = 35;
const EVENTS: u64 = 100;
const ATTEMPTS: usize = 5;

fn member() -> MemberInfo {
    MemberInfo {
        daemon: "entry-1".parse().unwrap(),
        incarnation: Incarnation(1),
        zone: "vic".parse().unwrap(),
        callers: "127.0.0.1:1".parse().unwrap(),
        peers: "127.0.0.1:2".parse().unwrap(),
        operators: "127.0.0.1:3".parse().unwrap(),
    }
}

fn row(target: &str) -> PlanRow {
    PlanRow {
        target: target.parse().unwrap(),
        zones: Vec::new(),
        roles: Vec::new(),
        replicas: 2,
        ready: 0,
        ready_from: None,
        priority: PriorityLevel::default(),
        memory: MemorySize::from_gib(14),
        repeatable: true,
    }
}

fn plan() -> RawRecord {
    let models = (0..MODELS).map(|model| row(&format!("model-{model}@1")));
    let adapters = (0..ADAPTERS).map(|adapter| {
        let model = adapter % MODELS;
        row(&format!("model-{model}:adapter-{adapter}@1"))
    });
    let change = PlanChange::Whole {
        rows: models.chain(adapters).collect(),
    };
    let envelope = PlanEnvelope {
        format: RECORD_FORMAT,
        id: RecordId(1),
        author: "planner".parse().unwrap(),
        submitted_at: WallTime(0),
        body: PlanRecord::Submit {
            base: PlanRevision(0),
            change,
        },
    };
    RawRecord {
        offset: LogOffset(1),
        bytes: encode(&envelope).unwrap(),
    }
}

fn control(offset: u64, body: ControlRecord) -> RawRecord {
    let envelope = ControlEnvelope {
        format: RECORD_FORMAT,
        id: RecordId(offset.into()),
        sender: member().daemon,
        incarnation: member().incarnation,
        body,
    };
    RawRecord {
        offset: LogOffset(offset),
        bytes: encode(&envelope).unwrap(),
    }
}

fn read(stream: LogStream, now: MonoTime, records: Vec<RawRecord>) -> ControlEvent {
    let end = records.last().map_or(LogOffset(2), |record| record.offset);
    ControlEvent::Read {
        stream,
        started: now,
        records,
        end,
        cut: None,
    }
}

fn daemon_with_plan() -> ControlCore {
    let start = MonoTime(1);
    let mut core = ControlCore::new(ControlConfig::new(member(), 1), start);
    let join = ControlRecord::Join { member: member() };
    let adopt = ControlRecord::Adopt {
        revision: PlanRevision(1),
    };
    let records = vec![control(1, join), control(2, adopt)];
    core.step(start, WallTime(1), ControlEvent::NoSnapshot);
    core.step(
        start,
        WallTime(1),
        read(LogStream::Plan, start, vec![plan()]),
    );
    core.step(start, WallTime(1), read(LogStream::Control, start, records));
    assert_eq!(core.state().adopted(), PlanRevision(1));
    core
}

#[googletest::test]
fn step_idle_with_large_plan() {
    let mut core = daemon_with_plan();
    let mut now = MonoTime(1);
    // The fastest of several attempts counts, since other processes may interfere.
    let took = (0..ATTEMPTS).map(|_| {
        let started = Instant::now();
        for _ in 0..EVENTS {
            now = MonoTime(now.0 + 1_000);
            core.step(now, WallTime(2), ControlEvent::Tick);
        }
        started.elapsed()
    });
    let per_event = took.min().unwrap() / u32::try_from(EVENTS).unwrap();
    let budget = Duration::from_millis(MAX_CORE_PERMILLE.into()) / EVENTS_PER_SECOND;
    expect_that!(per_event, lt(budget));
}
