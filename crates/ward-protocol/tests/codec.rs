//! Encoding and decoding of records and messages: round trips, truncated and
//! trailing bytes, and random bytes, which must not cause a panic.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use proptest::prelude::*;
use ward_protocol::codec::{decode, encode};
use ward_protocol::record::RECORD_FORMAT;
use ward_protocol::{
    ControlEnvelope, ControlRecord, Incarnation, MemorySize, PeerEnvelope, PlanEnvelope,
    PriorityLevel, RecordId, RequestEnvelope, SnapshotPart, WallTime,
};

fn reserve() -> ControlEnvelope {
    ControlEnvelope {
        format: RECORD_FORMAT,
        id: RecordId(7),
        sender: "entry-1".parse().unwrap(),
        incarnation: Incarnation(1),
        body: ControlRecord::Reserve {
            key: "colours:wedding@3".parse().unwrap(),
            backend: "engine-1".parse().unwrap(),
            memory: MemorySize::from_gib(12),
            priority: PriorityLevel::FIRST,
            deadline: WallTime(1_000),
        },
    }
}

#[googletest::test]
fn control_record_round_trip() {
    let bytes = encode(&reserve()).unwrap();
    expect_that!(decode::<ControlEnvelope>(&bytes).unwrap(), eq(&reserve()));
}

#[googletest::test]
fn control_record_truncated() {
    let bytes = encode(&reserve()).unwrap();
    for length in 0..bytes.len() {
        expect_that!(decode::<ControlEnvelope>(&bytes[..length]), err(anything()));
    }
}

#[googletest::test]
fn control_record_trailing() {
    let mut bytes = encode(&reserve()).unwrap();
    bytes.push(0);
    expect_that!(decode::<ControlEnvelope>(&bytes), err(anything()));
}

proptest! {
    #[test]
    fn decode_random_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode::<ControlEnvelope>(&bytes);
        let _ = decode::<PlanEnvelope>(&bytes);
        let _ = decode::<RequestEnvelope>(&bytes);
        let _ = decode::<PeerEnvelope>(&bytes);
        let _ = decode::<SnapshotPart>(&bytes);
    }
}
