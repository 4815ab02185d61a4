//! Updates to a daemon's list of other daemons from the coordinator's view.

mod support;

use googletest::prelude::*;
use support::{empty_view, member, name};
use ward_fleet::{FleetView, HostMember};

fn view(complete: bool, joined: Vec<HostMember>, left: &[&str]) -> FleetView {
    FleetView {
        complete,
        joined,
        left: left.iter().map(|daemon| name(daemon)).collect(),
        ..empty_view()
    }
}

#[gtest]
fn apply_members_adds_changes_and_removes() {
    let mut members = vec![member(1, "a", 100), member(2, "a", 100)];
    let changed = member(2, "b", 300);
    let joined = vec![changed.clone(), member(3, "a", 100)];
    view(false, joined, &["host-1"]).apply_members(&mut members);
    expect_that!(members, container_eq([changed, member(3, "a", 100)]));
}

#[gtest]
fn apply_members_complete_view_replaces_all() {
    let mut members = vec![member(1, "a", 100), member(2, "a", 100)];
    view(true, vec![member(3, "a", 100)], &[]).apply_members(&mut members);
    expect_that!(members, container_eq([member(3, "a", 100)]));
}

#[gtest]
fn apply_members_without_changes_keeps_all() {
    let mut members = vec![member(1, "a", 100)];
    view(false, Vec::new(), &[]).apply_members(&mut members);
    expect_that!(members, container_eq([member(1, "a", 100)]));
}
