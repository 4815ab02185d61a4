//! Whether the store is away for everyone.

mod support;

use googletest::prelude::*;
use indexmap::IndexSet;
use support::{at, member, name};
use ward_fleet::outage::{OutageWatch, ProbeNumber, WitnessCandidate, choose_witnesses};
use ward_fleet::placement::MemberKey;
use ward_protocol::ZoneName;

fn zones() -> IndexSet<ZoneName> {
    ["a", "b"].into_iter().map(name).collect()
}

#[gtest]
fn away_counts_from_the_question_once_all_have_failed() {
    let mut watch = OutageWatch::default();
    let probe = watch.ask([MemberKey(1), MemberKey(2)], at(1_000));
    expect_that!(watch.note_away(MemberKey(1), probe), none());
    expect_that!(watch.note_away(MemberKey(1), probe), none());
    let away = watch.note_away(MemberKey(2), probe);
    expect_that!(away, some(eq(at(1_000))));
}

#[gtest]
fn away_needs_every_witness_of_the_same_question() {
    let mut watch = OutageWatch::default();
    let first = watch.ask([MemberKey(1), MemberKey(2)], at(0));
    let second = watch.ask([MemberKey(1), MemberKey(2)], at(300));
    expect_that!(watch.note_away(MemberKey(1), first), none());
    expect_that!(watch.note_away(MemberKey(2), second), none());
    let away = watch.note_away(MemberKey(1), second);
    expect_that!(away, some(eq(at(300))));
}

#[gtest]
fn away_ignores_daemons_that_were_not_asked_and_unknown_questions() {
    let mut watch = OutageWatch::default();
    let probe = watch.ask([MemberKey(1)], at(0));
    expect_that!(watch.note_away(MemberKey(3), probe), none());
    expect_that!(watch.note_away(MemberKey(1), ProbeNumber(77)), none());
}

#[gtest]
fn witnesses_are_the_largest_hosts_of_each_zone() {
    let members = [
        member(1, "a", 100),
        member(2, "a", 400),
        member(3, "a", 300),
        member(4, "b", 100),
    ];
    let candidates: Vec<_> = (0..)
        .zip(&members)
        .map(|(key, member)| WitnessCandidate {
            key: MemberKey(key),
            member,
        })
        .collect();
    let witnesses = choose_witnesses(&candidates, &zones(), &name("a"));
    let expected = [MemberKey(1), MemberKey(2), MemberKey(3)];
    expect_that!(witnesses, container_eq(expected));
}

#[gtest]
fn witnesses_of_a_zone_that_is_cut_off_are_not_replaced() {
    let members = [member(1, "a", 100)];
    let candidates: Vec<_> = members
        .iter()
        .map(|member| WitnessCandidate {
            key: MemberKey(0),
            member,
        })
        .collect();
    expect_that!(
        choose_witnesses(&candidates, &zones(), &name("a")),
        is_empty()
    );
    let seen = choose_witnesses(&candidates, &zones(), &name("b"));
    expect_that!(seen, container_eq([MemberKey(0)]));
}

#[gtest]
fn witnesses_of_a_lone_daemon_are_none() {
    let zones = [name("a")].into_iter().collect();
    expect_that!(choose_witnesses(&[], &zones, &name("a")), is_empty());
}
