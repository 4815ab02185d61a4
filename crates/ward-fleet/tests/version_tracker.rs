//! What a daemon knows of manifests that it has not read.

use googletest::prelude::*;
use ward_fleet::{ManifestStanding, ManifestVersion, VersionTracker};
use ward_protocol::{MonoTime, TimeSpan};

const BOUND: TimeSpan = TimeSpan::from_secs(2);

fn time(seconds: u64) -> MonoTime {
    MonoTime::default() + TimeSpan::from_secs(seconds)
}

#[gtest]
fn standing_counts_from_the_first_version_that_is_still_newer() {
    let mut tracker = VersionTracker::default();
    tracker.adopt(ManifestVersion(1));
    tracker.record(ManifestVersion(3), time(1));
    tracker.record(ManifestVersion(6), time(2));
    expect_that!(
        tracker.standing(time(3), BOUND),
        eq(ManifestStanding::Replaced)
    );
    // What came into force meanwhile has been known to be outdated for less.
    tracker.adopt(ManifestVersion(3));
    expect_that!(
        tracker.standing(time(3), BOUND),
        eq(ManifestStanding::Outdated)
    );
    expect_that!(tracker.newest(), eq(ManifestVersion(6)));
    tracker.adopt(ManifestVersion(7));
    expect_that!(
        tracker.standing(time(9), BOUND),
        eq(ManifestStanding::Newest)
    );
}

#[gtest]
fn lapse_forgets_old_announcements_for_good() {
    let mut tracker = VersionTracker::default();
    tracker.adopt(ManifestVersion(1));
    tracker.record(ManifestVersion(3), time(1));
    tracker.record(ManifestVersion(5), time(4));
    expect_that!(tracker.lapse(time(2)), some(eq(ManifestVersion(3))));
    expect_that!(tracker.behind_since(), some(eq(time(4))));
    expect_that!(tracker.lapse(time(4)), some(eq(ManifestVersion(5))));
    expect_that!(tracker.newest(), eq(ManifestVersion(1)));
    expect_false!(tracker.record(ManifestVersion(5), time(5)));
    expect_true!(tracker.record(ManifestVersion(6), time(5)));
    // A version that has lapsed may still be read.
    tracker.adopt(ManifestVersion(5));
    expect_that!(tracker.newest(), eq(ManifestVersion(6)));
}

#[gtest]
fn record_keeps_the_first_time_of_many_versions() {
    let mut tracker = VersionTracker::default();
    for version in 1..=1_000 {
        tracker.record(ManifestVersion(version), time(version));
    }
    expect_that!(tracker.behind_since(), some(eq(time(1))));
    expect_that!(tracker.newest(), eq(ManifestVersion(1_000)));
    tracker.adopt(ManifestVersion(999));
    expect_that!(tracker.behind_since(), some(le(time(1_000))));
}
