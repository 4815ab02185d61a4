//! How often all daemons are told how busy engines are.

use googletest::prelude::*;
use ward_fleet::LinkRate;
use ward_fleet::pace::load_broadcast_interval;
use ward_protocol::TimeSpan;

const GIGABIT: LinkRate = LinkRate(1_000_000);

#[gtest]
fn loads_pause_of_a_small_fleet_is_the_shortest() {
    let pause = load_broadcast_interval(200, 12, GIGABIT);
    expect_that!(pause, eq(TimeSpan::from_millis(200)));
}

/// Load: 300 daemons, 600 busy engines of some 13 bytes each.
#[gtest]
fn loads_pause_keeps_tellings_within_a_part_of_the_link() {
    let pause = load_broadcast_interval(8_000, 300, GIGABIT);
    let megabits = 8.0 * 8_000.0 * 300.0 / 1e6 / pause.seconds();
    expect_that!(megabits, le(33.0));
    expect_that!(pause, gt(load_broadcast_interval(8_000, 100, GIGABIT)));
}

#[gtest]
fn loads_pause_on_a_narrow_link_stays_below_the_silence() {
    let pause = load_broadcast_interval(8_000, 300, LinkRate(10_000));
    expect_that!(pause, eq(TimeSpan::from_millis(600)));
}
