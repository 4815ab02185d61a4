//! Confirmation of store outages.

mod support;

use googletest::prelude::*;
use support::{at, member};
use ward_fleet::HostMember;
use ward_fleet::outage::{OutageDetector, ProbeNumber, WitnessCandidate, choose_witnesses};
use ward_fleet::placement::MemberKey;

#[gtest]
fn record_failed_call_outage_counts_from_the_probe_once_all_failed() {
    let mut detector = OutageDetector::default();
    let probe = detector.begin_probe([MemberKey(1), MemberKey(2)], at(1_000));
    expect_that!(detector.record_failed_call(MemberKey(1), probe), none());
    expect_that!(detector.record_failed_call(MemberKey(1), probe), none());
    let outage = detector.record_failed_call(MemberKey(2), probe);
    expect_that!(outage, some(eq(at(1_000))));
}

#[gtest]
fn record_failed_call_needs_every_witness_of_one_probe() {
    let mut detector = OutageDetector::default();
    let first = detector.begin_probe([MemberKey(1), MemberKey(2)], at(0));
    let second = detector.begin_probe([MemberKey(1), MemberKey(2)], at(300));
    expect_that!(detector.record_failed_call(MemberKey(1), first), none());
    expect_that!(detector.record_failed_call(MemberKey(2), second), none());
    let outage = detector.record_failed_call(MemberKey(1), second);
    expect_that!(outage, some(eq(at(300))));
}

#[gtest]
fn record_failed_call_ignores_unprobed_daemons_and_unknown_probes() {
    let mut detector = OutageDetector::default();
    let probe = detector.begin_probe([MemberKey(1)], at(0));
    expect_that!(detector.record_failed_call(MemberKey(3), probe), none());
    expect_that!(
        detector.record_failed_call(MemberKey(1), ProbeNumber(77)),
        none()
    );
}

fn candidates(members: &[HostMember]) -> Vec<WitnessCandidate<'_>> {
    let numbered = (0..).zip(members);
    let candidates = numbered.map(|(key, member)| WitnessCandidate {
        key: MemberKey(key),
        member,
    });
    candidates.collect()
}

#[gtest]
fn witnesses_are_the_largest_hosts_of_each_zone() {
    let members = [
        member(1, "a", 100),
        member(2, "a", 400),
        member(3, "a", 300),
        member(4, "b", 100),
    ];
    let witnesses = choose_witnesses(&members, &candidates(&members));
    let expected = [MemberKey(1), MemberKey(2), MemberKey(3)];
    expect_that!(witnesses, container_eq(expected));
}

/// Failure pattern (`node_cut`): a third of the hosts, including the
/// coordinator, cannot reach the store. The other daemons leave the
/// coordinator, so all that are still connected report a failed probe.
#[gtest]
fn witnesses_are_none_once_a_known_daemon_has_left() {
    let known = [
        member(1, "a", 400),
        member(2, "a", 100),
        member(3, "b", 100),
    ];
    let connected = candidates(&known[1..]);
    expect_that!(choose_witnesses(&known, &connected), is_empty());
    expect_that!(
        choose_witnesses(&known[1..], &connected),
        container_eq([MemberKey(0), MemberKey(1)])
    );
}

#[gtest]
fn witnesses_without_any_daemon_are_none() {
    expect_that!(choose_witnesses(&[], &[]), is_empty());
}
