//! Interval between broadcasts of engine loads.

use googletest::prelude::*;
use ward_fleet::LinkRate;
use ward_fleet::pace::load_broadcast_interval;
use ward_protocol::TimeSpan;

const GIGABIT: LinkRate = LinkRate(1_000_000);

#[gtest]
fn load_broadcast_interval_of_a_small_fleet_is_minimal() {
    let interval = load_broadcast_interval(200, 12, GIGABIT);
    expect_that!(interval, eq(TimeSpan::from_millis(200)));
}

/// Load pattern: 300 daemons and 600 busy engines of about 13 bytes each.
#[gtest]
fn load_broadcast_interval_keeps_broadcasts_within_a_part_of_the_link() {
    let interval = load_broadcast_interval(8_000, 300, GIGABIT);
    let megabits = 8.0 * 8_000.0 * 300.0 / 1e6 / interval.seconds();
    expect_that!(megabits, le(33.0));
    expect_that!(interval, gt(load_broadcast_interval(8_000, 100, GIGABIT)));
}

#[gtest]
fn load_broadcast_interval_on_a_narrow_link_is_capped() {
    let interval = load_broadcast_interval(8_000, 300, LinkRate(10_000));
    expect_that!(interval, eq(TimeSpan::from_millis(600)));
}
