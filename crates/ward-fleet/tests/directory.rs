//! Which daemons callers are told to use.

#![allow(clippy::unwrap_used)]

mod support;

use googletest::prelude::*;
use support::name;
use ward_fleet::{CoreShare, HostCapacity, HostMember, LinkRate, choose_hosts};
use ward_protocol::MemorySize;

fn member(number: u8, zone: &str, cores: u32) -> HostMember {
    HostMember {
        daemon: name(&format!("host-{number}")),
        zone: name(zone),
        callers: format!("10.0.0.{number}:80").parse().unwrap(),
        peers: format!("10.0.0.{number}:81").parse().unwrap(),
        capacity: HostCapacity {
            cores: CoreShare(cores),
            link: LinkRate(1_000_000),
            memory: MemorySize::from_mib(260),
            descriptors: 4_000,
        },
    }
}

fn chosen(members: &[HostMember], zone: &str) -> Vec<String> {
    let hosts = choose_hosts(members, Some(&name(zone)), 64);
    hosts.iter().map(|host| host.ip().to_string()).collect()
}

#[gtest]
fn choose_hosts_own_zone_first() {
    let members = [
        member(1, "north", 250),
        member(2, "north", 250),
        member(3, "south", 250),
    ];
    expect_that!(
        chosen(&members, "north"),
        unordered_elements_are![eq("10.0.0.1"), eq("10.0.0.2")]
    );
}

#[gtest]
fn choose_hosts_lone_host_of_a_zone_gets_company() {
    let members = [
        member(1, "north", 250),
        member(2, "south", 250),
        member(3, "south", 250),
    ];
    expect_that!(chosen(&members, "north"), len(eq(3)));
}

#[gtest]
fn choose_hosts_small_ones_are_spared() {
    let members = [
        member(1, "north", 500),
        member(2, "north", 500),
        member(3, "north", 120),
    ];
    expect_that!(chosen(&members, "north"), not(contains(eq("10.0.0.3"))));
}

#[gtest]
fn choose_hosts_unknown_zone_gets_all() {
    let members = [member(1, "north", 250), member(2, "south", 250)];
    expect_that!(chosen(&members, "east"), len(eq(2)));
}
