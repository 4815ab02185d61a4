//! The rules for control records: limits of replicas and memory, ownership, duplicates.

#![allow(clippy::unwrap_used)]

mod common;

use common::{TestLog, control, engine, member, reserve, row};
use googletest::prelude::*;
use ward_protocol::{
    ControlRecord, FenceNumber, LogOffset, MemorySize, PlanRevision, ReleaseReason, ReservationId,
    StoreLimits,
};
use ward_state::{ApplyOutcome, RejectReason, ReservationPhase};

fn rejected(reason: RejectReason) -> ApplyOutcome {
    ApplyOutcome::Rejected(reason)
}

#[googletest::test]
fn reserve_replica_limit() {
    let mut log = TestLog::start(&["e1", "e2"]);
    log.adopt(vec![row("a@1", 1, 10)]);
    expect_that!(
        log.control("d1", reserve("a@1", "e1", 10)),
        eq(&ApplyOutcome::Applied)
    );
    let key = "a@1".parse().unwrap();
    let reason = RejectReason::ReplicaLimit(key, 1);
    expect_that!(
        log.control("d1", reserve("a@1", "e2", 10)),
        eq(&rejected(reason))
    );
}

#[googletest::test]
fn reserve_memory_limit() {
    let mut log = TestLog::start(&["e1"]);
    log.adopt(vec![row("a@1", 1, 16), row("b@1", 1, 10)]);
    log.control("d1", reserve("a@1", "e1", 16));
    let reason = RejectReason::NoMemory("e1".parse().unwrap(), MemorySize::from_gib(8));
    expect_that!(
        log.control("d1", reserve("b@1", "e1", 10)),
        eq(&rejected(reason))
    );
}

#[googletest::test]
fn reserve_adapter_needs_ready_base() {
    let mut log = TestLog::start(&["e1"]);
    log.adopt(vec![row("a@1", 1, 10), row("a:x@1", 1, 1)]);
    let reason = RejectReason::NoBase("e1".parse().unwrap());
    log.control("d1", reserve("a@1", "e1", 10));
    let base = ReservationId(log.offset);
    expect_that!(
        log.control("d1", reserve("a:x@1", "e1", 1)),
        eq(&rejected(reason))
    );
    log.control("d1", ControlRecord::Ready { reservation: base });
    expect_that!(
        log.control("d1", reserve("a:x@1", "e1", 1)),
        eq(&ApplyOutcome::Applied)
    );
}

#[googletest::test]
fn drain_base_drains_adapters() {
    let mut log = TestLog::start(&["e1"]);
    log.adopt(vec![row("a@1", 1, 10), row("a:x@1", 1, 1)]);
    log.control("d1", reserve("a@1", "e1", 10));
    let base = ReservationId(log.offset);
    log.control("d1", ControlRecord::Ready { reservation: base });
    log.control("d1", reserve("a:x@1", "e1", 1));
    log.control("d1", ControlRecord::Drain { reservation: base });
    expect_that!(
        log.state
            .reservations()
            .values()
            .all(|state| state.draining),
        eq(true)
    );
}

#[googletest::test]
fn reserve_leaving_engine() {
    let mut log = TestLog::start(&["e1"]);
    log.adopt(vec![row("a@1", 1, 10)]);
    let backend: ward_protocol::BackendId = "e1".parse().unwrap();
    log.control(
        "d1",
        ControlRecord::BackendLeaving {
            backend: backend.clone(),
        },
    );
    let outcome = log.control("d1", reserve("a@1", "e1", 10));
    expect_that!(outcome, eq(&rejected(RejectReason::NotLoadable(backend))));
}

#[googletest::test]
fn seen_again_ends_leaving_only_from_owner() {
    let mut log = TestLog::start(&["e1"]);
    let backend: ward_protocol::BackendId = "e1".parse().unwrap();
    let member = member("d2", "bezigrad", 1);
    log.control("d2", ControlRecord::Join { member });
    let leaving = ControlRecord::BackendLeaving {
        backend: backend.clone(),
    };
    log.control("d1", leaving);
    let info = engine("e1", "vic", 48);
    let seen = ControlRecord::BackendSeen { info };
    log.control("d2", seen.clone());
    expect_that!(log.state.backends()[&backend].leaving, eq(true));
    log.control("d1", seen);
    expect_that!(log.state.backends()[&backend].leaving, eq(false));
}

#[googletest::test]
fn admission_order_and_slots() {
    let mut log = TestLog::start(&["e1", "e2", "e3"]);
    let limits = StoreLimits {
        model_loads: 1,
        adapter_loads: 1,
    };
    log.control(
        "d1",
        ControlRecord::Limits {
            base: LogOffset::ZERO,
            limits,
        },
    );
    log.adopt(vec![
        row("a@1", 1, 10),
        row("b@1", 1, 10),
        row("c@1", 1, 10),
    ]);
    log.control("d1", reserve("a@1", "e1", 10));
    let first = ReservationId(log.offset);
    log.control("d1", reserve("b@1", "e2", 10));
    let second = ReservationId(log.offset);
    let mut urgent = reserve("c@1", "e3", 10);
    if let ControlRecord::Reserve { priority, .. } = &mut urgent {
        *priority = ward_protocol::PriorityLevel::FIRST;
    }
    log.control("d1", urgent);
    let third = ReservationId(log.offset);
    let phase = |log: &TestLog, id| log.state.reservations()[&id].phase;
    expect_that!(phase(&log, first), eq(ReservationPhase::Loading));
    expect_that!(phase(&log, second), eq(ReservationPhase::Waiting));
    log.control("d1", ControlRecord::Ready { reservation: first });
    expect_that!(phase(&log, third), eq(ReservationPhase::Loading));
    expect_that!(phase(&log, second), eq(ReservationPhase::Waiting));
}

#[googletest::test]
fn lowered_plan_drains_newest_and_unready() {
    let mut log = TestLog::start(&["e1", "e2", "e3"]);
    log.adopt(vec![row("a@1", 3, 10)]);
    let mut ids = Vec::new();
    for name in ["e1", "e2", "e3"] {
        log.control("d1", reserve("a@1", name, 10));
        ids.push(ReservationId(log.offset));
    }
    log.control(
        "d1",
        ControlRecord::Ready {
            reservation: ids[0],
        },
    );
    log.control(
        "d1",
        ControlRecord::Ready {
            reservation: ids[2],
        },
    );
    log.adopt(vec![row("a@1", 1, 10)]);
    let draining = |id: &ReservationId| log.state.reservations()[id].draining;
    expect_that!(draining(&ids[0]), eq(false));
    expect_that!(draining(&ids[1]), eq(true));
    expect_that!(draining(&ids[2]), eq(true));
}

#[googletest::test]
fn found_counts_beyond_plan_and_memory() {
    let mut log = TestLog::start(&["e1"]);
    log.adopt(vec![row("a@1", 1, 20)]);
    let found = ControlRecord::Found {
        backend: "e1".parse().unwrap(),
        key: "b@1".parse().unwrap(),
        memory: MemorySize::from_gib(20),
    };
    expect_that!(log.control("d1", found), eq(&ApplyOutcome::Applied));
    let reason = RejectReason::NoMemory("e1".parse().unwrap(), MemorySize::from_gib(4));
    expect_that!(
        log.control("d1", reserve("a@1", "e1", 20)),
        eq(&rejected(reason))
    );
}

#[googletest::test]
fn sender_of_old_incarnation_is_rejected() {
    let mut log = TestLog::start(&["e1"]);
    let member = member("d1", "vic", 2);
    let envelope = control(900, "d1", 2, ControlRecord::Join { member });
    log.offset += 1;
    log.state.apply_control(LogOffset(log.offset), envelope);
    let outcome = log.control("d1", ControlRecord::Leave);
    expect_that!(
        outcome,
        matches_pattern!(ApplyOutcome::Rejected(pat!(
            RejectReason::WrongIncarnation(..)
        )))
    );
}

#[googletest::test]
fn release_by_former_owner_is_rejected() {
    let mut log = TestLog::start(&["e1"]);
    log.adopt(vec![row("a@1", 1, 10)]);
    log.control("d1", reserve("a@1", "e1", 10));
    let reservation = ReservationId(log.offset);
    log.control(
        "d2",
        ControlRecord::Join {
            member: member("d2", "vic", 1),
        },
    );
    let backend: ward_protocol::BackendId = "e1".parse().unwrap();
    log.control(
        "d1",
        ControlRecord::Yield {
            backend: backend.clone(),
        },
    );
    let release = ControlRecord::Release {
        reservation,
        reason: ReleaseReason::Unloaded,
    };
    let mut outcome = log.control("d1", release.clone());
    if log.state.backends()[&backend].owner == Some("d1".parse().unwrap()) {
        // If d1 owns the engine after all, d2 is the one whose release must be rejected.
        outcome = log.control("d2", release);
    }
    expect_that!(outcome, eq(&rejected(RejectReason::NotOwner(backend))));
}

#[googletest::test]
fn gone_only_by_owner() {
    let mut log = TestLog::start(&["e1"]);
    log.control(
        "d2",
        ControlRecord::Join {
            member: member("d2", "bezigrad", 1),
        },
    );
    let backend: ward_protocol::BackendId = "e1".parse().unwrap();
    let gone = ControlRecord::BackendGone {
        backend: backend.clone(),
    };
    expect_that!(
        log.control("d2", gone.clone()),
        eq(&rejected(RejectReason::NotOwner(backend)))
    );
    expect_that!(log.control("d1", gone), eq(&ApplyOutcome::Applied));
}

#[googletest::test]
fn leave_during_takeover_is_not_clean() {
    let mut log = TestLog::start(&["e1"]);
    let backend: ward_protocol::BackendId = "e1".parse().unwrap();
    // d1 expires; its successor leaves before it has shown that d1's orders are over.
    log.control(
        "d2",
        ControlRecord::Join {
            member: member("d2", "bezigrad", 1),
        },
    );
    let expire = ControlRecord::Expire {
        daemon: "d1".parse().unwrap(),
        incarnation: ward_protocol::Incarnation(1),
    };
    log.control("d2", expire);
    log.control(
        "d3",
        ControlRecord::Join {
            member: member("d3", "moste", 1),
        },
    );
    let owner = log.state.backends()[&backend].owner.clone().unwrap();
    log.control(owner.as_str(), ControlRecord::Leave);
    let state = &log.state.backends()[&backend];
    expect_that!(state.former.as_ref().unwrap().clean, eq(false));
    expect_that!(state.fence, eq(FenceNumber(log.offset)));
}

#[googletest::test]
fn duplicate_record_is_ignored() {
    let mut log = TestLog::start(&["e1", "e2"]);
    log.adopt(vec![row("a@1", 2, 10)]);
    let envelope = control(77, "d1", 1, reserve("a@1", "e1", 10));
    log.state.apply_control(LogOffset(50), envelope.clone());
    let outcome = log.state.apply_control(LogOffset(51), envelope);
    expect_that!(outcome, eq(&rejected(RejectReason::Duplicate)));
}

#[googletest::test]
fn adopt_needs_plan_read() {
    let mut log = TestLog::start(&[]);
    let revision = PlanRevision(90);
    let envelope = control(9, "d1", 1, ControlRecord::Adopt { revision });
    let outcome = log.state.apply_control(LogOffset(60), envelope);
    expect_that!(outcome, eq(&ApplyOutcome::NeedsPlan(revision)));
    expect_that!(log.state.applied(), lt(LogOffset(60)));
}
