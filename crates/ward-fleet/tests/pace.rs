//! Intervals between broadcasts of engine loads, between reads of the engines and between
//! plans, and how a reader catches up.

use std::time::Duration;

use googletest::prelude::*;
use ward_fleet::LinkRate;
use ward_fleet::number::floor_to_u64;
use ward_fleet::pace::{
    CatchUp, catch_up, load_broadcast_interval, plan_pause, standalone_read_interval,
};
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

/// Bytes a second that the store sends to 300 daemons which read one after another, each
/// for a second.
fn store_rate(bytes: f64, interval: TimeSpan) -> f64 {
    300.0 * bytes / (interval.seconds() + 1.0)
}

/// Load pattern: 300 daemons start at once before 3,000 engines; a page of the list has 700 kB
/// and the whole 4 MB, and all reads share 80 MB/s.
#[gtest]
fn standalone_read_interval_kept_a_busy_store_busy() {
    let first = standalone_read_interval(0, false, 0.0);
    expect_that!(first, eq(TimeSpan::from_millis(800)));
    expect_that!(store_rate(0.7e6, first), gt(80e6));
    let later = standalone_read_interval(9, false, 0.0);
    expect_that!(store_rate(0.7e6, later), lt(40e6));
    let long = standalone_read_interval(0, true, 0.5);
    expect_that!(store_rate(0.7e6, long), lt(40e6));
}

/// Load pattern: 12,000 engines write 10,000 heartbeats a second of 400 bytes, and a reader
/// takes up to a megabyte a read. Returns how many records it is behind after each of its
/// reads, of which one takes `seconds`.
fn backlogs(seconds: f64) -> Vec<u64> {
    const ENGINES: usize = 12_000;
    const READ_RECORDS: u64 = 2_500;
    const WRITTEN_PER_SECOND: f64 = 10_000.0;
    let written = floor_to_u64(seconds * WRITTEN_PER_SECOND);
    let mut left_out = written;
    let mut backlogs = Vec::new();
    for _ in 0..200 {
        left_out = match catch_up(left_out, ENGINES) {
            CatchUp::Changes => (left_out + written).saturating_sub(READ_RECORDS),
            CatchUp::Newest => written,
        };
        backlogs.push(left_out);
    }
    backlogs
}

#[gtest]
fn reader_that_was_slower_than_the_writers_got_ever_further_behind() {
    for seconds in [0.1, 0.25, 0.4, 1.0] {
        let greatest = backlogs(seconds).into_iter().max();
        expect_that!(greatest, some(le(24_000)), "{seconds} s");
    }
    let fast = backlogs(0.1).into_iter().next_back();
    expect_that!(fast, some(eq(0)));
}

/// Load pattern: 12,000 engines, over which a plan goes in 35 ms of a core, on a host with a
/// quarter of one.
#[gtest]
fn plans_of_a_large_fleet_took_all_of_the_thread() {
    let spent = Duration::from_millis(140);
    let share = |pause: Duration| spent.as_secs_f64() / (spent + pause).as_secs_f64();
    let pause = plan_pause(spent);
    expect_that!(share(pause.requested), le(0.5));
    expect_that!(share(pause.requested + pause.regular), le(0.3));
}

/// Daemons regard a coordinator as lost that sends no view for 1.2 s.
#[gtest]
fn plan_pause_after_a_freeze_lost_all_daemons() {
    let pause = plan_pause(Duration::from_secs(7));
    let silence = pause.regular + pause.requested;
    expect_that!(silence, le(Duration::from_millis(400)));
}

#[gtest]
fn plan_pause_of_a_small_fleet_is_minimal() {
    let pause = plan_pause(Duration::from_micros(300));
    expect_that!(pause.requested, eq(Duration::from_millis(3)));
    expect_that!(pause.regular, eq(Duration::from_millis(50)));
}
