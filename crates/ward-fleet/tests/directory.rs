//! Selection of the daemons that are listed to callers.

#![allow(clippy::unwrap_used)]

mod support;

use googletest::prelude::*;
use support::{member, name};
use ward_fleet::{HostMember, choose_hosts};

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
fn choose_hosts_single_host_of_a_zone_adds_other_zones() {
    let members = [
        member(1, "north", 250),
        member(2, "south", 250),
        member(3, "south", 250),
    ];
    expect_that!(chosen(&members, "north"), len(eq(3)));
}

#[gtest]
fn choose_hosts_small_hosts_are_left_out() {
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
