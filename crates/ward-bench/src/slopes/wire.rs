//! Encoded sizes of records, messages and JSON bodies.

use serde::Serialize;
use ward_protocol::codec::encode;
use ward_protocol::{
    BackendOrder, BackendStatus, CacheTier, CachedCheckpoint, ControlRecord, EngineRole,
    FenceNumber, LogOffset, MemorySize, OrderKind, PeerEnvelope, PeerMessage, PriorityLevel,
    RecordId, ReservationId, ResidentPhase, ResidentReplica, WakeHint, WallTime,
};

use super::fit::{SlopePoint, SlopeSeries};
use super::measure::SlopeError;
use super::sample::{backend_id, engine, envelope, key, member};

/// Encoded size of one kind of record or message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct WireSize {
    /// Kind of the record, message or body.
    pub name: &'static str,
    /// Length of the encoding.
    pub bytes: usize,
}

/// An offset whose encoding is as long as in a log that has run for years.
const OFFSET: LogOffset = LogOffset(1 << 32);
const NOW: WallTime = WallTime(1_796_000_000_000);
const REPLICAS: [usize; 5] = [0, 5, 10, 20, 40];

/// Encoded sizes of control records and peer messages.
///
/// # Errors
///
/// When one cannot be encoded.
pub fn measure_wire() -> Result<Vec<WireSize>, SlopeError> {
    let mut sizes = Vec::new();
    for (name, body) in records()? {
        let record = envelope(member(0)?.daemon, 1, body);
        let bytes = encode(&record)?.len();
        sizes.push(WireSize { name, bytes });
    }
    for (name, message) in messages()? {
        let info = member(0)?;
        let envelope = PeerEnvelope {
            sender: info.daemon,
            incarnation: info.incarnation,
            message,
        };
        let bytes = encode(&envelope)?.len();
        sizes.push(WireSize { name, bytes });
    }
    let order = BackendOrder {
        order: RecordId(1 << 127),
        fence: FenceNumber(OFFSET.0),
        kind: OrderKind::Load {
            key: key(0)?,
            memory: MemorySize::from_gib(16),
        },
    };
    let bytes = serde_json::to_vec(&order)?.len();
    sizes.push(WireSize {
        name: "load order, JSON body",
        bytes,
    });
    Ok(sizes)
}

fn records() -> Result<Vec<(&'static str, ControlRecord)>, SlopeError> {
    let reservation = ReservationId(OFFSET.0);
    let reserve = ControlRecord::Reserve {
        key: key(0)?,
        backend: backend_id(0)?,
        memory: MemorySize::from_gib(16),
        priority: PriorityLevel::default(),
        deadline: NOW,
    };
    let join = ControlRecord::Join { member: member(0)? };
    let seen = ControlRecord::BackendSeen { info: engine(0)? };
    Ok(vec![
        ("record Join", join),
        ("record BackendSeen", seen),
        ("record Reserve", reserve),
        ("record Ready", ControlRecord::Ready { reservation }),
    ])
}

fn messages() -> Result<Vec<(&'static str, PeerMessage)>, SlopeError> {
    let wake = WakeHint {
        key: key(0)?,
        waiting: 20,
        priority: PriorityLevel::default(),
        deadline: NOW,
    };
    let probe = PeerMessage::Probe {
        sequence: 1 << 20,
        applied: OFFSET,
    };
    let released = PeerMessage::Released {
        backend: backend_id(0)?,
        fence: FenceNumber(OFFSET.0),
    };
    Ok(vec![
        ("message Probe, without seal", probe),
        ("message Wake, without seal", PeerMessage::Wake(wake)),
        (
            "message Fresh, without seal",
            PeerMessage::Fresh { end: OFFSET },
        ),
        ("message Released, without seal", released),
    ])
}

/// Size of an engine's status as its replicas grow in number, with a cached checkpoint for each.
///
/// # Errors
///
/// When one cannot be encoded.
#[allow(clippy::cast_precision_loss)]
pub fn measure_status() -> Result<SlopeSeries, SlopeError> {
    let mut points = Vec::new();
    for count in REPLICAS {
        let bytes = serde_json::to_vec(&status(count)?)?.len();
        points.push(SlopePoint {
            size: count as f64,
            value: bytes as f64,
        });
    }
    let per = "replica, with a cached checkpoint each";
    Ok(SlopeSeries::new(
        "engine status, JSON body",
        "bytes",
        per,
        points,
    ))
}

fn status(count: usize) -> Result<BackendStatus, SlopeError> {
    let mut resident = Vec::new();
    let mut cached = Vec::new();
    for number in 0..count {
        resident.push(ResidentReplica {
            key: key(number)?,
            phase: ResidentPhase::Ready,
            memory: MemorySize::from_gib(4),
            running: 1,
        });
        cached.push(CachedCheckpoint {
            key: key(number)?,
            tier: CacheTier::Disk,
        });
    }
    Ok(BackendStatus {
        backend: backend_id(0)?,
        boot: 1,
        fence: FenceNumber(OFFSET.0),
        role: EngineRole::Serving,
        memory: MemorySize::from_gib(80),
        resident,
        cached,
        running: 4,
        queued: 2,
        leaving: false,
    })
}
