//! Sample records and states of a given size.

use ward_protocol::id::IdError;
use ward_protocol::record::RECORD_FORMAT;
use ward_protocol::{
    BackendId, BackendInfo, BackendKind, ControlEnvelope, ControlRecord, DaemonId, FencingSupport,
    Incarnation, LogOffset, MemberInfo, MemorySize, PlanChange, PlanEnvelope, PlanRecord,
    PlanRevision, PlanRow, PriorityLevel, RecordId, ReplicaKey, ReservationId, RowTarget,
    StoreLimits, WallTime, ZoneName,
};
use ward_state::{ApplyOutcome, ClusterState};

const ZONES: usize = 4;
const PORTS: usize = 50_000;
/// Memory of one replica, small enough that few engines hold many.
const REPLICA_MEMORY: MemorySize = MemorySize::from_gib(4);
const ENGINE_MEMORY: MemorySize = MemorySize::from_gib(80);
/// Number of replicas of `REPLICA_MEMORY` that fit on one engine.
pub(super) const REPLICAS_PER_ENGINE: usize = 20;

/// A control state to which sample records are applied.
#[derive(Debug, Default)]
pub(super) struct SampleState {
    pub(super) state: ClusterState,
    offset: u64,
    sender: Option<DaemonId>,
}

impl SampleState {
    pub(super) fn apply_control(&mut self, body: ControlRecord) -> Option<LogOffset> {
        let sender = match (&body, &self.sender) {
            (ControlRecord::Join { member }, _) => member.daemon.clone(),
            (_, sender) => sender.clone()?,
        };
        self.sender.get_or_insert_with(|| sender.clone());
        self.offset += 1;
        let offset = LogOffset(self.offset);
        let envelope = envelope(sender, u128::from(self.offset), body);
        let outcome = self.state.apply_control(offset, envelope);
        (outcome == ApplyOutcome::Applied).then_some(offset)
    }

    pub(super) fn join(&mut self, number: usize) -> Result<(), IdError> {
        let member = member(number)?;
        self.apply_control(ControlRecord::Join { member });
        if self.state.applied() == LogOffset(1) {
            let limits = StoreLimits {
                model_loads: u16::MAX,
                adapter_loads: u16::MAX,
            };
            let base = LogOffset::ZERO;
            self.apply_control(ControlRecord::Limits { base, limits });
        }
        Ok(())
    }

    pub(super) fn add_engine(&mut self, number: usize) -> Result<(), IdError> {
        let info = engine(number)?;
        self.apply_control(ControlRecord::BackendSeen { info });
        Ok(())
    }

    pub(super) fn submit(&mut self, rows: Vec<PlanRow>) -> Result<(), IdError> {
        self.offset += 1;
        let envelope = PlanEnvelope {
            format: RECORD_FORMAT,
            id: RecordId(u128::from(self.offset)),
            author: "planner".parse()?,
            submitted_at: WallTime(0),
            body: PlanRecord::Submit {
                base: self.state.plans().head(),
                change: PlanChange::Whole { rows },
            },
        };
        self.state.apply_plan(LogOffset(self.offset), envelope);
        let revision: PlanRevision = self.state.plans().head();
        self.apply_control(ControlRecord::Adopt { revision });
        Ok(())
    }

    pub(super) fn reserve(&mut self, number: usize) -> Result<Option<ReservationId>, IdError> {
        let body = ControlRecord::Reserve {
            key: key(number)?,
            backend: backend_id(number / REPLICAS_PER_ENGINE)?,
            memory: REPLICA_MEMORY,
            priority: PriorityLevel::default(),
            deadline: WallTime(1),
        };
        Ok(self
            .apply_control(body)
            .map(|offset| ReservationId(offset.0)))
    }
}

pub(super) fn envelope(sender: DaemonId, id: u128, body: ControlRecord) -> ControlEnvelope {
    ControlEnvelope {
        format: RECORD_FORMAT,
        // The highest bit makes the encoding as long as that of the random ids in production.
        id: RecordId(id | 1 << 127),
        sender,
        incarnation: Incarnation(1_796_000_000_000),
        body,
    }
}

pub(super) fn member(number: usize) -> Result<MemberInfo, IdError> {
    let port = |service: usize| {
        let port = u16::try_from(1_024 + (number * 3 + service) % PORTS).unwrap_or(1);
        std::net::SocketAddr::from(([10, 0, 0, 1], port))
    };
    Ok(MemberInfo {
        daemon: format!("entry-{number:04}").parse()?,
        incarnation: Incarnation(1_796_000_000_000),
        zone: zone(number)?,
        callers: port(0),
        peers: port(1),
        operators: port(2),
    })
}

pub(super) fn engine(number: usize) -> Result<BackendInfo, IdError> {
    Ok(BackendInfo {
        backend: backend_id(number)?,
        kind: BackendKind::Engine,
        zone: zone(number)?,
        address: std::net::SocketAddr::from(([10, 0, 1, 1], 8_000)),
        memory: ENGINE_MEMORY,
        fencing: FencingSupport::Checks,
        services: Vec::new(),
    })
}

pub(super) fn rows(count: usize) -> Result<Vec<PlanRow>, IdError> {
    (0..count).map(row).collect()
}

fn row(number: usize) -> Result<PlanRow, IdError> {
    Ok(PlanRow {
        target: RowTarget::Replica(key(number)?),
        zones: Vec::new(),
        roles: Vec::new(),
        replicas: 1,
        ready: 0,
        ready_from: None,
        priority: PriorityLevel::default(),
        memory: REPLICA_MEMORY,
        repeatable: true,
    })
}

pub(super) fn key(number: usize) -> Result<ReplicaKey, IdError> {
    Ok(ReplicaKey {
        model: format!("customer-{number:05}-assistant").parse()?,
        version: "2026-12-01".parse()?,
        adapter: None,
    })
}

pub(super) fn backend_id(number: usize) -> Result<BackendId, IdError> {
    format!("engine-{number:05}").parse()
}

fn zone(number: usize) -> Result<ZoneName, IdError> {
    format!("zone-{}", number % ZONES).parse()
}
