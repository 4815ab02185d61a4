//! Whether the store is away for everyone.

mod support;

use googletest::prelude::*;
use support::{at, member};
use ward_fleet::HostMember;
use ward_fleet::outage::{OutageDetector, ProbeNumber, WitnessCandidate, choose_witnesses};
use ward_fleet::placement::MemberKey;

#[gtest]
fn away_counts_from_the_question_once_all_have_failed() {
    let mut watch = OutageDetector::default();
    let probe = watch.begin_probe([MemberKey(1), MemberKey(2)], at(1_000));
    expect_that!(watch.record_failure(MemberKey(1), probe), none());
    expect_that!(watch.record_failure(MemberKey(1), probe), none());
    let away = watch.record_failure(MemberKey(2), probe);
    expect_that!(away, some(eq(at(1_000))));
}

#[gtest]
fn away_needs_every_witness_of_the_same_question() {
    let mut watch = OutageDetector::default();
    let first = watch.begin_probe([MemberKey(1), MemberKey(2)], at(0));
    let second = watch.begin_probe([MemberKey(1), MemberKey(2)], at(300));
    expect_that!(watch.record_failure(MemberKey(1), first), none());
    expect_that!(watch.record_failure(MemberKey(2), second), none());
    let away = watch.record_failure(MemberKey(1), second);
    expect_that!(away, some(eq(at(300))));
}

#[gtest]
fn away_ignores_daemons_that_were_not_asked_and_unknown_questions() {
    let mut watch = OutageDetector::default();
    let probe = watch.begin_probe([MemberKey(1)], at(0));
    expect_that!(watch.record_failure(MemberKey(3), probe), none());
    expect_that!(watch.record_failure(MemberKey(1), ProbeNumber(77)), none());
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

/// Failure pattern: a third of the hosts, the coordinator among them, cannot reach
/// the store; the others leave the coordinator, so only hosts that fail are still
/// connected (`node_cut`).
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
