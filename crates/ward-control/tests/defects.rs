//! Checks of the safety rules, and that each check fails when its rule is disabled.

#![allow(clippy::unwrap_used)]

mod rig;

use googletest::prelude::*;
use rig::{LogMode, TestRig, engine, member, reserve, row};
use ward_control::{ControlEvent, DefectKind};
use ward_protocol::record::RECORD_FORMAT;
use ward_protocol::{
    ControlRecord, FenceNumber, FencingSupport, Incarnation, LogOffset, OrderKind, PeerEnvelope,
    PeerMessage, PriorityLevel, ResidentPhase, StoreLimits, ViewMode, WakeHint, WallTime,
};

/// Lease plus maximum order life, in milliseconds.
const TAKEOVER_WAIT: u64 = 5_000;

/// Expects that a check passes without defects and fails with the given one.
fn expect_detected(defect: DefectKind, rule_holds: impl Fn(Option<DefectKind>) -> bool) {
    expect_that!(
        rule_holds(None),
        eq(true),
        "{defect:?}: check fails without the defect"
    );
    expect_that!(
        rule_holds(Some(defect)),
        eq(false),
        "{defect:?}: check misses the defect"
    );
}

/// `d1` owns the only engine, has no orders of earlier owners to wait for, and has a plan
/// for `a@1` and `b@1`.
fn owner_rig(defect: Option<DefectKind>, fencing: FencingSupport) -> TestRig {
    let mut rig = TestRig::new(defect);
    rig.run(500);
    let info = engine(fencing);
    rig.inject("d1", ControlRecord::BackendSeen { info });
    rig.plan(vec![row("a@1"), row("b@1")]);
    rig.run(500);
    rig
}

/// `d0` owned the engine, with `a@1` reserved and admitted, and was expired at the time
/// returned, so that `d1` takes over.
fn takeover_rig(defect: Option<DefectKind>, fencing: FencingSupport) -> (TestRig, u64) {
    let mut rig = TestRig::new(defect);
    // The engine is in d0's zone, so it stays with d0 when d1 joins.
    let mut former = member("d0");
    former.zone = "moste".parse().unwrap();
    let mut info = engine(fencing);
    info.zone = former.zone.clone();
    rig.inject("d0", ControlRecord::Join { member: former });
    rig.inject("d0", ControlRecord::BackendSeen { info });
    rig.plan(vec![row("a@1")]);
    rig.run(600);
    rig.inject("d1", reserve("a@1"));
    rig.run(400);
    rig.status = Some(TestRig::empty_status(0));
    let expire = ControlRecord::Expire {
        daemon: "d0".parse().unwrap(),
        incarnation: Incarnation(1),
    };
    rig.inject("d1", expire);
    let expired_at = rig.now;
    (rig, expired_at)
}

#[googletest::test]
fn lease_lapsed_no_order() {
    expect_detected(DefectKind::SkipLease, |defect| {
        let mut rig = owner_rig(defect, FencingSupport::Ignores);
        rig.inject("d1", reserve("a@1"));
        rig.run(300);
        rig.log = LogMode::Down;
        rig.run(4_000);
        rig.status = Some(TestRig::empty_status(0));
        rig.run(1_000);
        rig.loads("a@1").is_empty()
    });
}

#[googletest::test]
fn lease_not_renewed_by_stale_read() {
    expect_detected(DefectKind::StaleRenewal, |defect| {
        let mut rig = owner_rig(defect, FencingSupport::Ignores);
        rig.inject("d1", reserve("a@1"));
        rig.run(300);
        rig.log = LogMode::Stale;
        rig.run(4_000);
        rig.status = Some(TestRig::empty_status(0));
        rig.run(1_000);
        rig.loads("a@1").is_empty()
    });
}

#[googletest::test]
fn lease_runs_from_start_of_read() {
    expect_detected(DefectKind::LeaseFromEnd, |defect| {
        let mut rig = owner_rig(defect, FencingSupport::Ignores);
        rig.inject("d1", reserve("a@1"));
        rig.run(300);
        rig.log = LogMode::Slow(3_500);
        rig.run(4_000);
        rig.status = Some(TestRig::empty_status(0));
        rig.run(1_000);
        rig.loads("a@1").is_empty()
    });
}

#[googletest::test]
fn takeover_waits_for_former_owner() {
    expect_detected(DefectKind::SkipTakeoverWait, |defect| {
        let (mut rig, expired_at) = takeover_rig(defect, FencingSupport::Ignores);
        rig.run(12_000);
        let loads = rig.loads("a@1");
        !loads.is_empty() && loads.iter().all(|at| *at >= expired_at + TAKEOVER_WAIT)
    });
}

#[googletest::test]
fn takeover_touches_before_loading() {
    expect_detected(DefectKind::SkipTouch, |defect| {
        let (mut rig, _) = takeover_rig(defect, FencingSupport::Checks);
        rig.records_fences = false;
        rig.run(4_000);
        let touched = rig
            .orders
            .iter()
            .any(|(_, order)| order.kind == OrderKind::Touch);
        let early = !rig.loads("a@1").is_empty();
        rig.records_fences = true;
        rig.run(4_000);
        touched && !early && !rig.loads("a@1").is_empty()
    });
}

#[googletest::test]
fn notice_needs_fence_and_incarnation() {
    expect_detected(DefectKind::AnyNotice, |defect| {
        let (mut rig, expired_at) = takeover_rig(defect, FencingSupport::Ignores);
        rig.run(300);
        let fence = rig.core.state().backends()[0].fence;
        for (incarnation, fence) in [(1, FenceNumber(fence.0 - 1)), (2, fence)] {
            let message = PeerMessage::Released {
                backend: "e1".parse().unwrap(),
                fence,
            };
            let envelope = PeerEnvelope {
                sender: "d0".parse().unwrap(),
                incarnation: Incarnation(incarnation),
                message,
            };
            rig.deliver(ControlEvent::Peer { envelope });
        }
        rig.run(12_000);
        rig.loads("a@1")
            .iter()
            .all(|at| *at >= expired_at + TAKEOVER_WAIT)
    });
}

#[googletest::test]
fn notice_of_former_owner_ends_wait() {
    let (mut rig, expired_at) = takeover_rig(None, FencingSupport::Ignores);
    rig.run(300);
    let fence = rig.core.state().backends()[0].fence;
    let envelope = PeerEnvelope {
        sender: "d0".parse().unwrap(),
        incarnation: Incarnation(1),
        message: PeerMessage::Released {
            backend: "e1".parse().unwrap(),
            fence,
        },
    };
    rig.deliver(ControlEvent::Peer { envelope });
    rig.run(1_000);
    expect_that!(rig.loads("a@1").first(), some(lt(&(expired_at + 2_000))));
}

#[googletest::test]
fn loads_only_when_admitted() {
    expect_detected(DefectKind::OrderUnadmitted, |defect| {
        let mut rig = owner_rig(defect, FencingSupport::Ignores);
        let limits = StoreLimits {
            model_loads: 1,
            adapter_loads: 1,
        };
        let base = LogOffset::ZERO;
        rig.inject("d1", ControlRecord::Limits { base, limits });
        rig.inject("d1", reserve("a@1"));
        rig.inject("d1", reserve("b@1"));
        rig.status = Some(TestRig::empty_status(0));
        rig.run(900);
        !rig.loads("a@1").is_empty() && rig.loads("b@1").is_empty()
    });
}

#[googletest::test]
fn release_waits_for_load_orders() {
    expect_detected(DefectKind::EarlyRelease, |defect| {
        let mut rig = owner_rig(defect, FencingSupport::Ignores);
        rig.inject("d1", reserve("a@1"));
        rig.status = Some(TestRig::empty_status(0));
        rig.run(400);
        let ordered = rig.loads("a@1")[0];
        rig.plan(Vec::new());
        rig.run(6_000);
        let released = rig.appended(|body| matches!(body, ControlRecord::Release { .. }));
        !released.is_empty() && released.iter().all(|at| *at >= ordered + 2_000)
    });
}

#[googletest::test]
fn unexplained_replica_is_counted_and_unloaded() {
    expect_detected(DefectKind::IgnoreFound, |defect| {
        let mut rig = owner_rig(defect, FencingSupport::Ignores);
        rig.status = Some(TestRig::empty_status(0));
        rig.add_resident("stray@1", ResidentPhase::Ready);
        rig.run(2_000);
        let counted = rig.appended(|body| matches!(body, ControlRecord::Found { .. }));
        let unload = |kind: &OrderKind| matches!(kind, OrderKind::Unload { .. });
        !counted.is_empty() && rig.orders.iter().any(|(_, order)| unload(&order.kind))
    });
}

#[googletest::test]
fn append_without_answer_is_not_assumed_stored() {
    expect_detected(DefectKind::GuessStored, |defect| {
        let mut rig = owner_rig(defect, FencingSupport::Ignores);
        rig.status = Some(TestRig::empty_status(0));
        rig.run(500);
        rig.log = LogMode::LostAppends;
        let hint = WakeHint {
            key: "a@1".parse().unwrap(),
            waiting: 1,
            priority: PriorityLevel::default(),
            deadline: WallTime(u64::MAX),
        };
        let requested_at = rig.now;
        for _ in 0..8 {
            rig.deliver(ControlEvent::Wanted { hint: hint.clone() });
            rig.run(1_000);
        }
        let reserve = |body: &ControlRecord| matches!(body, ControlRecord::Reserve { .. });
        let tries = rig.appended(reserve);
        let early = tries
            .iter()
            .filter(|at| **at < requested_at + 2_000)
            .count();
        early == 1 && tries.len() > 1
    });
}

#[googletest::test]
fn leaving_engine_gets_no_load() {
    expect_detected(DefectKind::LoadLeaving, |defect| {
        let mut rig = owner_rig(defect, FencingSupport::Ignores);
        rig.inject("d1", reserve("a@1"));
        let mut status = TestRig::empty_status(0);
        status.leaving = true;
        rig.status = Some(status);
        rig.run(3_000);
        rig.loads("a@1").is_empty()
    });
}

#[googletest::test]
fn newer_format_stops_decisions() {
    expect_detected(DefectKind::SkipNewerFormat, |defect| {
        let mut rig = owner_rig(defect, FencingSupport::Ignores);
        rig.inject("d1", reserve("a@1"));
        rig.run(300);
        let newer = u8::try_from(RECORD_FORMAT + 1).unwrap();
        rig.inject_bytes(&[newer, 9, 9, 9]);
        rig.run(4_000);
        rig.status = Some(TestRig::empty_status(0));
        rig.run(1_000);
        let routing = rig.core.view().mode == ViewMode::RoutingOnly;
        routing && rig.loads("a@1").is_empty()
    });
}

#[googletest::test]
fn malformed_record_is_skipped_and_counted() {
    let mut rig = owner_rig(None, FencingSupport::Ignores);
    rig.inject_bytes(&[1, 0xff, 0xff]);
    rig.inject("d1", reserve("a@1"));
    rig.run(500);
    expect_that!(rig.core.state().skipped(), eq(1));
    expect_that!(rig.core.state().reservations().len(), eq(1));
}

#[googletest::test]
fn restart_of_engine_releases_replica() {
    let mut rig = owner_rig(None, FencingSupport::Ignores);
    rig.inject("d1", reserve("a@1"));
    rig.status = Some(TestRig::empty_status(0));
    rig.run(300);
    rig.add_resident("a@1", ResidentPhase::Ready);
    rig.run(3_000);
    let mut status = TestRig::empty_status(0);
    status.boot = 2;
    rig.status = Some(status);
    rig.run(3_000);
    let restarted = rig.appended(|body| {
        matches!(
            body,
            ControlRecord::Release {
                reason: ward_protocol::ReleaseReason::Restarted,
                ..
            }
        )
    });
    expect_that!(restarted, len(eq(1)));
}

#[googletest::test]
fn stop_waits_for_orders_and_leaves() {
    let mut rig = owner_rig(None, FencingSupport::Ignores);
    rig.inject("d1", reserve("a@1"));
    rig.status = Some(TestRig::empty_status(0));
    rig.run(300);
    let ordered = *rig.loads("a@1").last().unwrap();
    rig.deliver(ControlEvent::Stop);
    rig.run(5_000);
    let left = rig.appended(|body| *body == ControlRecord::Leave);
    expect_that!(left, elements_are![ge(&(ordered + 2_000))]);
}
