//! Manifests that take long to read, and daemons that know of a newer one.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::StatusCode;
use ward_fleet::ManifestVersion;
use ward_stage::{CallerRequest, LinkFault, Stage, StagePlan};

use crate::support::{send, stage, wait_until_all_joined};

/// Time within which a change must be in force everywhere.
const CHANGE_TIME: Duration = Duration::from_secs(3);
/// Time between two changes that come quickly.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Routes of a large manifest, some 300 kB.
const ROUTE_COUNT: usize = 1_600;
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Adds a route that leads to the plain service, without writing the manifest.
fn add_route(stage: &mut Stage, name: &str) {
    let mut route = stage.manifest.routes.last().unwrap().clone();
    name.clone_into(&mut route.name);
    route.prefix = format!("/{name}/");
    stage.manifest.routes.push(route);
}

/// Writes the manifest with the next version.
fn write_manifest(stage: &mut Stage) {
    stage.manifest.version = ManifestVersion(stage.manifest.version.0 + 1);
    stage.store.put_manifest(&stage.manifest);
}

async fn status_of(stage: &Stage, daemon: usize, path: &str) -> Option<StatusCode> {
    let request = CallerRequest::new(format!("{path}-{daemon}"), path, None);
    send(stage, daemon, &request)
        .await
        .ok()
        .map(|answer| answer.status)
}

/// Whether a daemon serves a path within `CHANGE_TIME` after `begun`.
async fn is_served_in_time(stage: &Stage, daemon: usize, path: &str, begun: Instant) -> bool {
    while begun.elapsed() < CHANGE_TIME {
        if status_of(stage, daemon, path).await == Some(StatusCode::OK) {
            return true;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    false
}

async fn large_stage(test: &str, plan: &StagePlan) -> Stage {
    let mut stage = stage(test, plan).await;
    wait_until_all_joined(&stage).await;
    for number in 0..ROUTE_COUNT {
        add_route(&mut stage, &format!("filler{number}"));
    }
    stage
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_started_never_read_a_manifest_that_takes_longer_than_a_second() {
    let mut stage = large_stage("late-large", &StagePlan::default()).await;
    add_route(&mut stage, "late");
    write_manifest(&mut stage);
    // Each 16 kB take this long, so the whole takes between one and two seconds.
    stage
        .store_link
        .set_fault(LinkFault::Delay(Duration::from_millis(60)));
    for daemon in &mut stage.daemons {
        daemon.kill();
    }
    let started = Instant::now();
    for daemon in &mut stage.daemons {
        daemon.restart().unwrap();
    }
    for daemon in 0..stage.daemons.len() {
        let is_served = is_served_in_time(&stage, daemon, "/late/a", started).await;
        expect_true!(is_served, "at {daemon}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn read_that_was_under_way_ended_with_each_announcement_of_a_newer_manifest() {
    let plan = StagePlan {
        direct_daemons: 1,
        ..StagePlan::default()
    };
    let mut stage = large_stage("late-announced", &plan).await;
    // The daemons behind the proxy need about 0.7 s, the one that announces far less.
    stage
        .store_link
        .set_fault(LinkFault::Delay(Duration::from_millis(25)));
    add_route(&mut stage, "late");
    write_manifest(&mut stage);
    let written = Instant::now();
    while written.elapsed() < CHANGE_TIME {
        tokio::time::sleep(CHANGE_INTERVAL).await;
        write_manifest(&mut stage);
    }
    for daemon in 0..stage.daemons.len() {
        let status = status_of(&stage, daemon, "/late/a").await;
        expect_that!(status, some(eq(StatusCode::OK)), "at {daemon}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_store_kept_a_manifest_away_that_other_daemons_had() {
    let plan = StagePlan {
        direct_daemons: 1,
        ..StagePlan::default()
    };
    let mut stage = large_stage("late-silent", &plan).await;
    stage.store_link.set_fault(LinkFault::HoldAll);
    add_route(&mut stage, "late");
    write_manifest(&mut stage);
    let written = Instant::now();
    for daemon in 0..stage.daemons.len() {
        let is_served = is_served_in_time(&stage, daemon, "/late/a", written).await;
        expect_true!(is_served, "at {daemon}");
        expect_that!(written.elapsed(), lt(CHANGE_TIME / 2), "at {daemon}");
    }
}
