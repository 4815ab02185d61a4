//! One daemon with a log, an engine and a clock that the test controls.

#![allow(clippy::unwrap_used, dead_code)]

use ward_control::{
    ControlAction, ControlConfig, ControlCore, ControlEvent, DefectKind, DefectSet,
};
use ward_protocol::record::RECORD_FORMAT;
use ward_protocol::{
    AppendResult, BackendInfo, BackendKind, BackendOrder, BackendStatus, ControlEnvelope,
    ControlRecord, EngineRole, FenceNumber, FencingSupport, Incarnation, LogOffset, LogStream,
    MemberInfo, MemorySize, MonoTime, OrderKind, OrderResult, PlanChange, PlanEnvelope, PlanRecord,
    PlanRow, PriorityLevel, RawRecord, RecordId, ReservationId, ResidentPhase, ResidentReplica,
    WallTime, codec,
};

/// Milliseconds between ticks.
const TICK_MILLIS: u64 = 50;
const MICROS_PER_MILLI: u64 = 1_000;

pub(crate) fn member(name: &str) -> MemberInfo {
    MemberInfo {
        daemon: name.parse().unwrap(),
        incarnation: Incarnation(1),
        zone: "vic".parse().unwrap(),
        callers: "127.0.0.1:1".parse().unwrap(),
        peers: "127.0.0.1:2".parse().unwrap(),
        operators: "127.0.0.1:3".parse().unwrap(),
    }
}

pub(crate) fn engine(fencing: FencingSupport) -> BackendInfo {
    BackendInfo {
        backend: "e1".parse().unwrap(),
        kind: BackendKind::Engine,
        zone: "vic".parse().unwrap(),
        address: "127.0.0.1:4".parse().unwrap(),
        memory: MemorySize::from_gib(24),
        fencing,
        services: Vec::new(),
    }
}

pub(crate) fn row(target: &str) -> PlanRow {
    PlanRow {
        target: target.parse().unwrap(),
        zones: Vec::new(),
        roles: Vec::new(),
        replicas: 1,
        ready: 0,
        ready_from: None,
        priority: PriorityLevel::default(),
        memory: MemorySize::from_gib(10),
        repeatable: true,
    }
}

pub(crate) fn reserve(key: &str) -> ControlRecord {
    ControlRecord::Reserve {
        key: key.parse().unwrap(),
        backend: "e1".parse().unwrap(),
        memory: MemorySize::from_gib(10),
        priority: PriorityLevel::default(),
        deadline: WallTime(u64::MAX),
    }
}

/// How the log answers reads and appends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogMode {
    /// Reads and appends succeed at once.
    Up,
    /// Reads fail and appends are refused.
    Down,
    /// Reads of the control stream lack the newest record.
    Stale,
    /// Reads take this many milliseconds until they are answered.
    Slow(u64),
    /// Appends get no answer and take no effect.
    LostAppends,
}

/// One daemon with a simulated log and engine.
#[derive(Debug)]
pub(crate) struct TestRig {
    pub(crate) core: ControlCore,
    /// Current time in milliseconds.
    pub(crate) now: u64,
    pub(crate) log: LogMode,
    /// Status that the engine reports; without one, status requests fail.
    pub(crate) status: Option<BackendStatus>,
    /// Orders sent, with their times in milliseconds.
    pub(crate) orders: Vec<(u64, BackendOrder)>,
    /// Records whose append was requested, with the times in milliseconds.
    pub(crate) appends: Vec<(u64, ControlRecord)>,
    /// Whether the engine adopts the fencing numbers of the orders it receives.
    pub(crate) records_fences: bool,
    control: Vec<RawRecord>,
    plan: Vec<RawRecord>,
    /// Last number used as an offset or record id.
    last_number: u64,
}

impl TestRig {
    /// Daemon `d1` before its first event.
    pub(crate) fn new(defect: Option<DefectKind>) -> Self {
        let mut config = ControlConfig::new(member("d1"), 7);
        if let Some(defect) = defect {
            config = config.with_defects(DefectSet::only(defect));
        }
        Self {
            core: ControlCore::new(config, MonoTime(0)),
            now: 0,
            log: LogMode::Up,
            status: None,
            orders: Vec::new(),
            appends: Vec::new(),
            records_fences: true,
            control: Vec::new(),
            plan: Vec::new(),
            last_number: 0,
        }
    }

    /// Stores a control record of any daemon; returns the id of a reservation made by it.
    pub(crate) fn inject(&mut self, sender: &str, body: ControlRecord) -> ReservationId {
        self.last_number += 1;
        let envelope = ControlEnvelope {
            format: RECORD_FORMAT,
            id: RecordId(u128::from(self.last_number)),
            sender: sender.parse().unwrap(),
            incarnation: Incarnation(1),
            body,
        };
        self.store(&codec::encode(&envelope).unwrap());
        ReservationId(self.last_number)
    }

    /// Stores raw bytes as a control record.
    pub(crate) fn inject_bytes(&mut self, bytes: &[u8]) {
        self.last_number += 1;
        self.store(bytes);
    }

    fn store(&mut self, bytes: &[u8]) {
        self.control.push(RawRecord {
            offset: LogOffset(self.last_number),
            bytes: bytes.to_vec(),
        });
    }

    /// Submits a complete plan; the daemon adopts it as time passes.
    pub(crate) fn plan(&mut self, rows: Vec<PlanRow>) {
        self.last_number += 1;
        let base = self.core.state().plans().head();
        let envelope = PlanEnvelope {
            format: RECORD_FORMAT,
            id: RecordId(u128::from(self.last_number)),
            author: "planner".parse().unwrap(),
            submitted_at: WallTime(0),
            body: PlanRecord::Submit {
                base,
                change: PlanChange::Whole { rows },
            },
        };
        self.plan.push(RawRecord {
            offset: LogOffset(self.last_number),
            bytes: codec::encode(&envelope).unwrap(),
        });
    }

    /// Status of an engine without replicas.
    pub(crate) fn empty_status(fence: u64) -> BackendStatus {
        BackendStatus {
            backend: "e1".parse().unwrap(),
            boot: 1,
            fence: FenceNumber(fence),
            role: EngineRole::Serving,
            memory: MemorySize::from_gib(24),
            resident: Vec::new(),
            cached: Vec::new(),
            running: 0,
            queued: 0,
            leaving: false,
        }
    }

    /// Adds a replica to the status that the engine reports.
    pub(crate) fn add_resident(&mut self, key: &str, phase: ResidentPhase) {
        let replica = ResidentReplica {
            key: key.parse().unwrap(),
            phase,
            memory: MemorySize::from_gib(10),
            running: 0,
        };
        self.status.as_mut().unwrap().resident.push(replica);
    }

    /// Advances the clock in ticks.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += TICK_MILLIS;
            self.deliver(ControlEvent::Tick);
        }
    }

    /// Passes an event to the daemon, and the answers to its actions until there are none.
    pub(crate) fn deliver(&mut self, event: ControlEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = MonoTime(self.now * MICROS_PER_MILLI);
            let actions = self.core.step(now, WallTime(self.now), event);
            events.extend(actions.into_iter().filter_map(|action| self.answer(action)));
        }
    }

    fn answer(&mut self, action: ControlAction) -> Option<ControlEvent> {
        let now = MonoTime(self.now * MICROS_PER_MILLI);
        match action {
            ControlAction::ReadSnapshot => Some(ControlEvent::NoSnapshot),
            ControlAction::Read { stream, .. } if self.log == LogMode::Down => {
                Some(ControlEvent::ReadFailed { stream })
            }
            ControlAction::Read { stream, from } => Some(self.read(stream, from)),
            ControlAction::Append { envelope } => Some(self.append(&envelope)),
            ControlAction::FetchStatus { backend, .. } => Some(match self.status.clone() {
                Some(status) => ControlEvent::Status {
                    started: now,
                    status,
                },
                None => ControlEvent::StatusFailed { backend },
            }),
            ControlAction::Order { backend, order, .. } => {
                if self.records_fences
                    && let Some(status) = &mut self.status
                {
                    status.fence = order.fence;
                }
                let event = ControlEvent::OrderEnded {
                    backend,
                    order: order.order,
                    result: OrderResult::Taken,
                };
                self.orders.push((self.now, order));
                Some(event)
            }
            ControlAction::FetchHosts => Some(ControlEvent::HostsFailed),
            _ => None,
        }
    }

    fn read(&self, stream: LogStream, from: LogOffset) -> ControlEvent {
        let records = if stream == LogStream::Plan {
            &self.plan
        } else {
            &self.control
        };
        let stale = self.log == LogMode::Stale && stream == LogStream::Control;
        let seen = &records[..records.len() - usize::from(stale)];
        let age = match self.log {
            LogMode::Slow(age) => age,
            LogMode::Up | LogMode::Down | LogMode::Stale | LogMode::LostAppends => 0,
        };
        ControlEvent::Read {
            stream,
            started: MonoTime(self.now.saturating_sub(age) * MICROS_PER_MILLI),
            records: seen
                .iter()
                .filter(|record| record.offset >= from)
                .cloned()
                .collect(),
            end: seen.last().map_or(LogOffset::ZERO, |record| record.offset),
            cut: None,
        }
    }

    fn append(&mut self, envelope: &ControlEnvelope) -> ControlEvent {
        let record = envelope.id;
        self.appends.push((self.now, envelope.body.clone()));
        let result = match self.log {
            LogMode::Down => AppendResult::Refused,
            LogMode::LostAppends => AppendResult::Unknown,
            LogMode::Up | LogMode::Stale | LogMode::Slow(_) => {
                self.last_number += 1;
                self.store(&codec::encode(envelope).unwrap());
                AppendResult::Stored
            }
        };
        ControlEvent::Appended { record, result }
    }

    /// Times of the load orders for a key, in milliseconds.
    pub(crate) fn loads(&self, key: &str) -> Vec<u64> {
        let loads = self.orders.iter().filter(|(_, order)| {
            matches!(&order.kind, OrderKind::Load { key: ordered, .. } if ordered.to_string() == key)
        });
        loads.map(|(at, _)| *at).collect()
    }

    /// Times at which appends of matching records were requested, in milliseconds.
    pub(crate) fn appended(&self, matches: impl Fn(&ControlRecord) -> bool) -> Vec<u64> {
        let appends = self.appends.iter().filter(|(_, body)| matches(body));
        appends.map(|(at, _)| *at).collect()
    }
}
