//! Bytes that daemons exchange, as their metrics count them.

use std::time::Duration;

use googletest::prelude::*;
use ward_stage::{CallerRequest, Stage, StageCaller, StagePlan};

use crate::support::{send, stage, wait_until_all_joined};

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_POLLS: u32 = 100;

/// Bytes that a daemon counted with all of these labels.
async fn peer_bytes(stage: &Stage, daemon: usize, labels: &[&str]) -> u64 {
    let metrics = stage.daemons[daemon].settings().metrics;
    let mut caller = StageCaller::connect(metrics).await.unwrap();
    let request = CallerRequest::new("metrics", "/metrics", None);
    let answer = caller.send(&request).await.unwrap().text();
    let lines = answer.lines();
    let counts = lines.filter(|line| line.starts_with("ward_peer_bytes_total{"));
    let counts = counts.filter(|line| labels.iter().all(|label| line.contains(label)));
    counts
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// Waits until a daemon has counted bytes with all of these labels.
async fn wait_for_bytes(stage: &Stage, daemon: usize, labels: &[&str]) {
    for _ in 0..MAX_POLLS {
        if peer_bytes(stage, daemon, labels).await > 0 {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("daemon {daemon} counted no bytes with {labels:?}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn peer_bytes_of_views_and_reports_are_counted_at_both_ends() {
    let stage = stage("peer-bytes", &StagePlan::default()).await;
    let coordinator = wait_until_all_joined(&stage).await;
    let follower = (coordinator + 1) % stage.daemons.len();
    let request = CallerRequest::new("r1", "/stock/a", None);
    send(&stage, follower, &request).await.unwrap();
    for kind in ["kind=\"view\"", "kind=\"complete_view\""] {
        wait_for_bytes(&stage, coordinator, &["direction=\"sent\"", kind]).await;
        wait_for_bytes(&stage, follower, &["direction=\"received\"", kind]).await;
    }
    let report = "kind=\"report\"";
    wait_for_bytes(&stage, follower, &["direction=\"sent\"", report]).await;
    wait_for_bytes(&stage, coordinator, &["direction=\"received\"", report]).await;
    // All daemons of a stage run in one availability zone.
    let nearby = ["direction=\"received\"", report, "zone=\"same\""];
    wait_for_bytes(&stage, coordinator, &nearby).await;
    expect_that!(
        peer_bytes(&stage, coordinator, &["zone=\"other\""]).await,
        eq(0)
    );
}
