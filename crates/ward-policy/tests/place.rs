//! Placement and eviction of replicas.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_policy::{
    EngineView, HeldReplica, PlaceChoice, PlaceRequest, choose_engine_to_wake, place_replica,
    place_replica_by,
};
use ward_protocol::{CacheTier, EngineRole, MemorySize, PriorityLevel, ReservationId, TimeSpan};

fn held(number: u64, key: &str, gib: u64) -> HeldReplica {
    HeldReplica {
        reservation: ReservationId(number),
        key: key.parse().unwrap(),
        memory: MemorySize::from_gib(gib),
        priority: PriorityLevel::default(),
        idle: Some(TimeSpan::from_secs(60)),
        wanted: false,
        ready: true,
    }
}

fn engine(name: &str, zone: &str, held: Vec<HeldReplica>) -> EngineView {
    EngineView {
        backend: name.parse().unwrap(),
        zone: zone.parse().unwrap(),
        role: EngineRole::Serving,
        memory: MemorySize::from_gib(40),
        counted: held.iter().map(|replica| replica.memory).sum(),
        held,
        tier: CacheTier::Remote,
        load: 0,
    }
}

fn place_request(key: &str, gib: u64) -> PlaceRequest {
    PlaceRequest {
        key: key.parse().unwrap(),
        memory: MemorySize::from_gib(gib),
        priority: PriorityLevel::default(),
        zones: Vec::new(),
        roles: Vec::new(),
        occupied_zones: Vec::new(),
    }
}

fn place(name: &str) -> PlaceChoice {
    PlaceChoice::Place {
        backend: name.parse().unwrap(),
    }
}

fn evict(name: &str, victims: &[u64]) -> PlaceChoice {
    PlaceChoice::Evict {
        backend: name.parse().unwrap(),
        victims: victims.iter().copied().map(ReservationId).collect(),
    }
}

#[googletest::test]
fn place_fastest_tier() {
    let mut cached = engine("e2", "a", vec![]);
    cached.tier = CacheTier::Memory;
    let engines = [engine("e1", "a", vec![]), cached];
    expect_that!(
        place_replica(&place_request("m@1", 10), &engines),
        eq(&place("e2"))
    );
}

#[googletest::test]
fn place_free_before_eviction() {
    let full = engine("e1", "a", vec![held(1, "x@1", 40)]);
    let engines = [full, engine("e2", "a", vec![])];
    expect_that!(
        place_replica(&place_request("m@1", 10), &engines),
        eq(&place("e2"))
    );
}

#[googletest::test]
fn evict_for_faster_tier() {
    let mut full = engine("e1", "a", vec![held(1, "x@1", 40)]);
    full.tier = CacheTier::Disk;
    let engines = [full, engine("e2", "a", vec![])];
    let request = place_request("m@1", 10);
    expect_that!(place_replica(&request, &engines), eq(&place("e2")));
    let free = place_replica_by(&request, &engines, |_, _| 1.0);
    expect_that!(free, eq(&evict("e1", &[1])));
    let forbidden = place_replica_by(&request, &engines, |_, _| f64::INFINITY);
    expect_that!(forbidden, eq(&place("e2")));
    let mut engines = engines;
    engines[0].held[0].idle = Some(TimeSpan::from_secs(300));
    expect_that!(place_replica(&request, &engines), eq(&evict("e1", &[1])));
}

#[googletest::test]
fn place_other_zone() {
    let engines = [engine("e1", "a", vec![]), engine("e2", "b", vec![])];
    let mut request = place_request("m@1", 10);
    request.occupied_zones = vec!["a".parse().unwrap()];
    expect_that!(place_replica(&request, &engines), eq(&place("e2")));
}

#[googletest::test]
fn place_adapter_with_base() {
    let engines = [
        engine("e1", "a", vec![]),
        engine("e2", "a", vec![held(1, "m@1", 10)]),
    ];
    expect_that!(
        place_replica(&place_request("m:x@1", 1), &engines),
        eq(&place("e2"))
    );
    expect_that!(
        place_replica(&place_request("o:x@1", 1), &engines),
        eq(&PlaceChoice::Impossible)
    );
}

#[googletest::test]
fn evict_fewest_then_cheapest() {
    let small = engine("e1", "a", vec![held(1, "x@1", 20), held(2, "y@1", 20)]);
    let single = engine("e2", "a", vec![held(3, "z@1", 30), held(4, "w@1", 10)]);
    let choice = place_replica(&place_request("m@1", 30), &[small, single]);
    expect_that!(choice, eq(&evict("e2", &[3])));
}

#[googletest::test]
fn evict_adapters_with_base() {
    let full = engine("e1", "a", vec![held(1, "x@1", 38), held(2, "x:fine@1", 2)]);
    let choice = place_replica(&place_request("m@1", 30), &[full]);
    expect_that!(choice, eq(&evict("e1", &[2, 1])));
}

#[googletest::test]
fn evict_never_protected() {
    let changes: [fn(&mut HeldReplica); 4] = [
        |replica| replica.idle = None,
        |replica| replica.wanted = true,
        |replica| replica.priority = PriorityLevel::FIRST,
        |replica| replica.ready = false,
    ];
    for change in changes {
        let mut adapter = held(2, "x:fine@1", 2);
        change(&mut adapter);
        let full = engine("e1", "a", vec![held(1, "x@1", 38), adapter]);
        expect_that!(
            place_replica(&place_request("m@1", 30), &[full]),
            eq(&PlaceChoice::Impossible)
        );
    }
}

#[googletest::test]
fn evict_own_base_never() {
    let full = engine("e1", "a", vec![held(1, "x@1", 40)]);
    expect_that!(
        place_replica(&place_request("x:fine@1", 1), &[full]),
        eq(&PlaceChoice::Impossible)
    );
}

#[googletest::test]
fn standby_woken_not_loaded() {
    let mut standby = engine("e1", "a", vec![]);
    standby.role = EngineRole::Standby;
    let engines = [standby];
    expect_that!(
        place_replica(&place_request("m@1", 10), &engines),
        eq(&PlaceChoice::Impossible)
    );
    expect_that!(
        choose_engine_to_wake(&place_request("m@1", 10), &engines),
        some(eq(&"e1".parse().unwrap()))
    );
    expect_that!(
        choose_engine_to_wake(&place_request("m@1", 50), &engines),
        none()
    );
}
