//! Reads whose answers the store cuts, since they would hold more than it allows.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use ward_stage::{CallerRequest, Stage, StagePlan, StoreFault};

use crate::support::{
    add_route, newest_in_force, send, stage, wait_until, wait_until_all_joined, write_manifest,
};

/// Routes of a manifest of some 200 kB, of which five fit into an answer.
const ROUTE_COUNT: usize = 1_000;
/// Versions written while the daemon is refused.
const VERSION_COUNT: usize = 8;
/// Time within which a change must be in force.
const CHANGE_TIME: Duration = Duration::from_secs(2);
/// Length of an entry of which four fit into an answer.
const LONG_ENTRY_BYTES: usize = 250_000;
/// Number of entries that fill more than one answer.
const LONG_ENTRY_COUNT: usize = 5;

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

/// Guards against the same cause in the reader of the engines: the removal of an engine was
/// never seen, since other records between two reads filled the answer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn removal_of_an_engine_was_passed_over_after_a_read_that_the_store_cut() {
    let plan = StagePlan {
        backend_servers: 3,
        ..StagePlan::default()
    };
    let mut stage = stage("cut-engines", &plan).await;
    let coordinator = wait_until_all_joined(&stage).await;
    let engine = stage.engines.pop().unwrap();
    let gone = engine.id();
    drop(engine);
    for number in 0..LONG_ENTRY_COUNT {
        let value = "x".repeat(LONG_ENTRY_BYTES);
        stage.store.put_entry(&format!("odd-{number}"), Some(value));
    }
    stage.store.put_entry(&gone, None);
    let engine = format!("\"engine\":\"{gone}\"");
    wait_until("the removal", || {
        has_logged(&stage, coordinator, &["engines: gone", &engine])
    })
    .await;
}
