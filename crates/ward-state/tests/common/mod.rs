//! Builders of test records, and a state that they are applied to.

#![allow(clippy::unwrap_used, dead_code)]

use ward_protocol::record::RECORD_FORMAT;
use ward_protocol::{
    BackendInfo, BackendKind, ControlEnvelope, ControlRecord, FencingSupport, Incarnation,
    LogOffset, MemberInfo, MemorySize, PlanChange, PlanEnvelope, PlanRecord, PlanRevision, PlanRow,
    PriorityLevel, RecordId, ReplicaKey, RowTarget, WallTime,
};
use ward_state::{ApplyOutcome, ClusterState, PlanOutcome};

pub(crate) fn member(name: &str, zone: &str, incarnation: u64) -> MemberInfo {
    MemberInfo {
        daemon: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        zone: zone.parse().unwrap(),
        callers: "127.0.0.1:1".parse().unwrap(),
        peers: "127.0.0.1:2".parse().unwrap(),
        operators: "127.0.0.1:3".parse().unwrap(),
    }
}

pub(crate) fn engine(name: &str, zone: &str, memory: u64) -> BackendInfo {
    BackendInfo {
        backend: name.parse().unwrap(),
        kind: BackendKind::Engine,
        zone: zone.parse().unwrap(),
        address: "127.0.0.1:4".parse().unwrap(),
        memory: MemorySize::from_gib(memory),
        fencing: FencingSupport::Ignores,
        services: Vec::new(),
    }
}

pub(crate) fn row(target: &str, replicas: u16, memory: u64) -> PlanRow {
    PlanRow {
        target: target.parse::<RowTarget>().unwrap(),
        zones: Vec::new(),
        roles: Vec::new(),
        replicas,
        ready: 0,
        ready_from: None,
        priority: PriorityLevel::default(),
        memory: MemorySize::from_gib(memory),
        repeatable: true,
    }
}

pub(crate) fn control(
    id: u128,
    sender: &str,
    incarnation: u64,
    body: ControlRecord,
) -> ControlEnvelope {
    ControlEnvelope {
        format: RECORD_FORMAT,
        id: RecordId(id),
        sender: sender.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        body,
    }
}

pub(crate) fn plan(id: u128, body: PlanRecord) -> PlanEnvelope {
    PlanEnvelope {
        format: RECORD_FORMAT,
        id: RecordId(id),
        author: "planner".parse().unwrap(),
        submitted_at: WallTime(0),
        body,
    }
}

pub(crate) fn reserve(key: &str, backend: &str, memory: u64) -> ControlRecord {
    ControlRecord::Reserve {
        key: key.parse::<ReplicaKey>().unwrap(),
        backend: backend.parse().unwrap(),
        memory: MemorySize::from_gib(memory),
        priority: PriorityLevel::default(),
        deadline: WallTime(1),
    }
}

/// A state that records of both streams are applied to; each record gets the next offset
/// and a new id.
#[derive(Debug, Default, Clone)]
pub(crate) struct TestLog {
    pub(crate) state: ClusterState,
    pub(crate) offset: u64,
}

impl TestLog {
    pub(crate) fn control(&mut self, sender: &str, body: ControlRecord) -> ApplyOutcome {
        self.offset += 1;
        let envelope = control(u128::from(self.offset), sender, 1, body);
        self.state.apply_control(LogOffset(self.offset), envelope)
    }

    pub(crate) fn submit(&mut self, base: u64, change: PlanChange) -> PlanOutcome {
        self.offset += 1;
        let base = PlanRevision(base);
        let envelope = plan(u128::from(self.offset), PlanRecord::Submit { base, change });
        self.state.apply_plan(LogOffset(self.offset), envelope)
    }

    /// Submits a complete plan and adopts it; returns its revision.
    pub(crate) fn adopt(&mut self, rows: Vec<PlanRow>) -> u64 {
        let base = self.state.plans().head().0;
        self.submit(base, PlanChange::Whole { rows });
        let revision = self.state.plans().head();
        self.control("d1", ControlRecord::Adopt { revision });
        revision.0
    }

    /// A state with the member `d1` and engines of 24 GiB.
    pub(crate) fn start(engines: &[&str]) -> Self {
        let mut log = Self::default();
        let member = member("d1", "vic", 1);
        log.control("d1", ControlRecord::Join { member });
        for name in engines {
            let info = engine(name, "vic", 24);
            log.control("d1", ControlRecord::BackendSeen { info });
        }
        log
    }
}
