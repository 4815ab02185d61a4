//! Reads whose answers the store cuts, since they would hold more than it allows.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use ward_stage::{CallerRequest, Stage, StagePlan, StoreFault};

use crate::support::{add_route, newest_in_force, send, stage, wait_until, write_manifest};

/// Routes of a manifest of some 200 kB, of which five fit into an answer.
const ROUTE_COUNT: usize = 1_000;
/// Versions written while the daemon is refused.
const VERSION_COUNT: usize = 8;
/// Time within which a change must be in force.
const CHANGE_TIME: Duration = Duration::from_secs(2);

fn has_logged(stage: &Stage, daemon: usize, parts: &[&str]) -> bool {
    let log = stage.daemons[daemon].log().unwrap();
    log.lines()
        .any(|line| parts.iter().all(|part| line.contains(part)))
}

/// Guards against review/12: the last daemon of a system read the first of several large
/// manifests and went on at the end of the log, so the newest one never came into force.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn newest_manifest_was_passed_over_after_a_read_that_the_store_cut() {
    let plan = StagePlan {
        daemons: 1,
        ..StagePlan::default()
    };
    let mut stage = stage("cut-manifest", &plan).await;
    for number in 0..ROUTE_COUNT {
        add_route(&mut stage, &format!("filler{number}"));
    }
    stage.store.set_fault(StoreFault::Busy);
    wait_until("a refused read", || {
        has_logged(&stage, 0, &["manifest: read failed"])
    })
    .await;
    for _ in 1..VERSION_COUNT {
        write_manifest(&mut stage);
    }
    add_route(&mut stage, "late");
    write_manifest(&mut stage);
    stage.store.set_fault(StoreFault::None);
    wait_until("a read that was cut", || {
        has_logged(&stage, 0, &["store: read was cut"])
    })
    .await;
    tokio::time::sleep(CHANGE_TIME).await;
    let answer = send(&stage, 0, &CallerRequest::new("late", "/late/a", None)).await;
    expect_that!(answer.unwrap().status, eq(StatusCode::OK));
    expect_that!(newest_in_force(&stage, 0), eq(stage.manifest.version));
}
