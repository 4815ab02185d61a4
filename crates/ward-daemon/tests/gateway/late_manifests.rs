//! Manifests that take long to read, and daemons that know of a newer one.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use futures::future::join_all;
use googletest::prelude::*;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use ward_fleet::{HostMember, LoadReport, ManifestVersion, MemberMessage, ReportEncoder};
use ward_protocol::codec::encode;
use ward_stage::{CallerRequest, LinkFault, Stage, StagePlan};

use crate::support::{
    add_route, newest_in_force, send, stage, wait_until_all_joined, write_manifest,
};

/// Time within which a change must be in force everywhere.
const CHANGE_TIME: Duration = Duration::from_secs(3);
/// Time between two changes that come quickly.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Routes of a large manifest, some 300 kB.
const ROUTE_COUNT: usize = 1_600;
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which daemons hear of a version.
const ANNOUNCE_TIME: Duration = Duration::from_millis(700);
/// Time after which a version that nobody has counts as lost.
const LOST_VERSION_TIME: Duration = Duration::from_secs(8);

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
    let first = (stage.manifest.version, Instant::now());
    let mut served = BTreeSet::new();
    while first.1.elapsed() < CHANGE_TIME {
        let next_change = tokio::time::Instant::now() + CHANGE_INTERVAL;
        let statuses = join_all((0..stage.daemons.len()).map(|daemon| {
            let status = status_of(&stage, daemon, "/late/a");
            tokio::time::timeout_at(next_change, status)
        }));
        for (daemon, status) in statuses.await.into_iter().enumerate() {
            if status == Ok(Some(StatusCode::OK)) {
                served.insert(daemon);
            }
        }
        tokio::time::sleep_until(next_change).await;
        write_manifest(&mut stage);
    }
    expect_that!(served.len(), eq(stage.daemons.len()), "{served:?}");
    for daemon in 0..stage.daemons.len() {
        let in_force = newest_in_force(&stage, daemon);
        expect_that!(in_force, ge(first.0), "at {daemon}");
    }
    // The last one as well, though reads of former ones may still be under way.
    let last = (stage.manifest.version, Instant::now());
    for daemon in 0..stage.daemons.len() {
        let is_served = is_served_in_time(&stage, daemon, "/late/b", last.1).await;
        expect_true!(is_served, "at {daemon}");
        while newest_in_force(&stage, daemon) < last.0 && last.1.elapsed() < CHANGE_TIME {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        let in_force = newest_in_force(&stage, daemon);
        expect_that!(in_force, eq(last.0), "at {daemon}");
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

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemon_that_knew_of_a_newer_manifest_denied_what_only_that_one_allows() {
    let plan = StagePlan {
        direct_daemons: 1,
        ..StagePlan::default()
    };
    let mut stage = large_stage("late-denied", &plan).await;
    stage
        .store_link
        .set_fault(LinkFault::Delay(Duration::from_millis(40)));
    add_route(&mut stage, "late");
    write_manifest(&mut stage);
    // In that time the others hear of the version, and are still reading it.
    tokio::time::sleep(ANNOUNCE_TIME).await;
    let is_late = |daemon| newest_in_force(&stage, daemon) < stage.manifest.version;
    expect_true!(is_late(1) && is_late(2), "both in force too early to test");
    for daemon in 1..stage.daemons.len() {
        let status = status_of(&stage, daemon, "/late/a").await;
        let allowed = any![eq(StatusCode::OK), eq(StatusCode::SERVICE_UNAVAILABLE)];
        expect_that!(status, some(allowed), "at {daemon}");
    }
    tokio::time::sleep(CHANGE_TIME).await;
    for daemon in 1..stage.daemons.len() {
        let status = status_of(&stage, daemon, "/late/b").await;
        expect_that!(status, some(eq(StatusCode::OK)), "at {daemon}");
        let unknown = status_of(&stage, daemon, "/never/a").await;
        expect_that!(unknown, some(eq(StatusCode::NOT_FOUND)), "at {daemon}");
    }
}

/// Tells the coordinator, as another daemon would, of a version that nobody else has.
async fn announce(stage: &Stage, coordinator: usize, version: ManifestVersion) {
    let settings = stage.daemons[coordinator].settings().clone();
    let member = HostMember {
        daemon: "host-9".parse().unwrap(),
        zone: settings.zone.clone(),
        callers: "127.0.0.9:9".parse().unwrap(),
        peers: "127.0.0.9:10".parse().unwrap(),
        capacity: settings.capacity,
    };
    let report = LoadReport {
        manifest: version,
        ..LoadReport::default()
    };
    let report = Box::new(ReportEncoder::default().encode(report));
    let mut stream = TcpStream::connect(settings.peers).await.unwrap();
    for message in [MemberMessage::Hello(member), MemberMessage::Report(report)] {
        let content = encode(&message).unwrap();
        let length = u32::try_from(content.len()).unwrap();
        stream.write_all(&length.to_be_bytes()).await.unwrap();
        stream.write_all(&content).await.unwrap();
    }
    // The views until the connection ends are not of interest.
    let mut views = Vec::new();
    let read = stream.read_to_end(&mut views);
    drop(tokio::time::timeout(Duration::from_millis(500), read).await);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn version_that_nobody_could_give_was_ignored_or_refused_all_for_ever() {
    let stage = stage("late-lost", &StagePlan::default()).await;
    let coordinator = wait_until_all_joined(&stage).await;
    let newer = ManifestVersion(stage.manifest.version.0 + 1);
    announce(&stage, coordinator, newer).await;
    let announced = Instant::now();
    // A newer one is due, so the one in force must not be used.
    tokio::time::sleep(CHANGE_TIME / 2).await;
    for daemon in 0..stage.daemons.len() {
        let status = status_of(&stage, daemon, "/stock/a").await;
        expect_that!(
            status,
            some(eq(StatusCode::SERVICE_UNAVAILABLE)),
            "at {daemon}"
        );
    }
    // The store has answered with the one in force for long enough.
    while announced.elapsed() < LOST_VERSION_TIME {
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    for daemon in 0..stage.daemons.len() {
        let status = status_of(&stage, daemon, "/stock/b").await;
        expect_that!(status, some(eq(StatusCode::OK)), "at {daemon}");
    }
}
