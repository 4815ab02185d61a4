//! What callers' connections may hold, and which are closed first.

use std::net::{IpAddr, Ipv4Addr};

use googletest::prelude::*;
use ward_fleet::callers::{
    BodyLength, CallerBounds, CallerPhase, ConnectionLoad, EndpointKind, YieldNeed,
    choose_yielding, max_header_fields,
};
use ward_fleet::{CallerLimits, CoreShare, HostCapacity, LinkRate};
use ward_protocol::{MemorySize, MonoTime, TimeSpan};

const LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: TimeSpan::from_secs(3),
    idle_timeout: TimeSpan::from_secs(10),
};
const ONE: YieldNeed = YieldNeed {
    bytes: 0,
    connections: 1,
};

fn time(seconds: u64) -> MonoTime {
    MonoTime::default() + TimeSpan::from_secs(seconds)
}

/// A connection of the host with this number that entered a phase at a time.
fn load(source: u8, phase: CallerPhase, since: u64) -> ConnectionLoad {
    let source = IpAddr::V4(Ipv4Addr::new(10, 0, 0, source));
    ConnectionLoad::new(source, time(0)).entered(phase, time(since))
}

fn chosen(loads: &[ConnectionLoad], need: YieldNeed) -> Vec<usize> {
    choose_yielding(loads.iter().copied().enumerate(), need, time(20))
}

#[gtest]
fn choose_yielding_idle_before_unfinished() {
    let loads = [
        load(1, CallerPhase::Body, 1),
        load(1, CallerPhase::Idle, 19),
        load(1, CallerPhase::Head, 1),
    ];
    expect_that!(chosen(&loads, ONE), elements_are![eq(&1)]);
}

#[gtest]
fn choose_yielding_served_ones_stay() {
    let loads = [
        load(1, CallerPhase::Serving, 1),
        load(1, CallerPhase::Unread, 19),
    ];
    let need = YieldNeed {
        bytes: usize::MAX,
        connections: 2,
    };
    expect_that!(chosen(&loads, need), elements_are![eq(&1)]);
}

#[gtest]
fn choose_yielding_furthest_behind_first() {
    // The first has sent as much as a slow link carries, the second next to nothing.
    let fast = load(1, CallerPhase::Body, 10).moved(10 * (64 << 10), time(20));
    let slow = load(1, CallerPhase::Body, 15).moved(20, time(20));
    expect_that!(fast.lag(time(20)), eq(TimeSpan::ZERO));
    expect_that!(chosen(&[fast, slow], ONE), elements_are![eq(&1)]);
}

#[gtest]
fn choose_yielding_address_with_most_connections_first() {
    let mut loads = vec![load(1, CallerPhase::Idle, 1)];
    loads.extend([load(2, CallerPhase::Body, 18); 5]);
    let need = YieldNeed {
        bytes: 0,
        connections: 5,
    };
    expect_that!(chosen(&loads, need), not(contains(eq(&0))));
}

#[gtest]
fn choose_yielding_ends_when_enough_is_freed() {
    let idle = load(1, CallerPhase::Idle, 1);
    let need = YieldNeed {
        bytes: 2 * idle.held_bytes(),
        connections: 0,
    };
    expect_that!(chosen(&[idle; 5], need).len(), eq(2));
}

#[gtest]
fn choose_yielding_closed_many_new_connections_in_place_of_a_long_body() {
    let new = load(1, CallerPhase::Head, 19);
    let body = load(1, CallerPhase::Body, 19).moved(1 << 20, time(20));
    let mut loads = vec![new; 60];
    loads.push(body);
    let need = YieldNeed {
        bytes: 512 << 10,
        connections: 0,
    };
    expect_that!(chosen(&loads, need), elements_are![eq(&60)]);
    // A refusal that its caller can still read is kept, too.
    let refused = load(1, CallerPhase::Refused, 1);
    let need = YieldNeed { bytes: 1, ..need };
    expect_that!(chosen(&[refused, body], need), elements_are![eq(&1)]);
}

#[gtest]
fn held_bytes_grow_with_fields_and_body() {
    let plain = load(1, CallerPhase::Body, 1);
    let fields = ConnectionLoad {
        fields: 4_000,
        ..plain
    };
    expect_that!(fields.held_bytes(), gt(plain.held_bytes() + (1 << 20)));
    let body = ConnectionLoad {
        body: BodyLength::Exact(1 << 20),
        ..plain
    };
    expect_that!(body.held_bytes(), eq(plain.held_bytes()));
    let begun = body.moved(20 << 10, time(2));
    expect_that!(begun.held_bytes(), ge(plain.held_bytes() + (1 << 20)));
}

#[gtest]
fn is_overdue_only_beyond_the_manifest_limits() {
    let head = load(1, CallerPhase::Head, 1).moved(10, time(4));
    expect_false!(head.is_overdue(&LIMITS, time(4)));
    expect_true!(head.is_overdue(&LIMITS, time(8)));
    let unread = load(1, CallerPhase::Unread, 1);
    expect_false!(unread.is_overdue(&LIMITS, time(11)));
    expect_true!(unread.is_overdue(&LIMITS, time(12)));
    expect_false!(unread.moved(1, time(9)).is_overdue(&LIMITS, time(12)));
    expect_false!(load(1, CallerPhase::Serving, 1).is_overdue(&LIMITS, time(99)));
}

#[gtest]
fn connections_leave_a_reserve_for_the_daemon() {
    for descriptors in [600, 1_000, 3_075, 4_100] {
        let capacity = HostCapacity {
            cores: CoreShare(120),
            link: LinkRate(1_000_000),
            memory: MemorySize::from_mib(120),
            descriptors,
        };
        let bounds = CallerBounds::new(&capacity);
        let counts = EndpointKind::ALL.map(|endpoint| bounds.connections(endpoint));
        let sockets = descriptors as usize - 200;
        expect_that!(counts.iter().sum::<usize>(), le(sockets * 7 / 8));
        expect_that!(counts[0], ge(sockets * 6 / 10));
        expect_that!(bounds.memory(), lt(MemorySize::from_mib(120 / 2)));
    }
}

#[gtest]
fn max_header_fields_covers_the_shortest_fields() {
    expect_that!(max_header_fields(14_000), ge(2_000));
    expect_that!(max_header_fields(usize::MAX), le(24_576));
}
