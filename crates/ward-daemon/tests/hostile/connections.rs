//! Crowds that open connections and send nothing, or read no answers.

use std::time::Duration;

use googletest::prelude::*;

use crate::crowd::SendPlan;
use crate::door::CrowdDoor;
use crate::support::SmallStage;

/// Requests sent ahead on one connection.
const REQUESTS_AHEAD: usize = 2_000;
/// Requests sent ahead at a time by a caller that sends slowly.
const REQUESTS_A_PIECE: usize = 20;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_send_nothing() {
    let mut stage = SmallStage::start("hostile-silent").await;
    stage
        .expect_bounds_kept(|_: &CrowdDoor, _| SendPlan::default())
        .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_ahead_whose_answers_are_not_read() {
    let mut stage = SmallStage::start("hostile-ahead").await;
    let plan = |door: &CrowdDoor, number| {
        let request = door.head(number, "Content-Length: 0\r\n");
        SendPlan {
            pieces: vec![request.repeat(REQUESTS_AHEAD)],
            pause: Duration::ZERO,
        }
    };
    stage.expect_bounds_kept(plan).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_slowly_whose_answers_are_not_read() {
    let mut stage = SmallStage::start("hostile-unread").await;
    let plan = |door: &CrowdDoor, number| {
        let request = door.head(number, "Content-Length: 0\r\n");
        let piece = request.repeat(REQUESTS_A_PIECE);
        SendPlan {
            pieces: vec![piece; REQUESTS_AHEAD / REQUESTS_A_PIECE],
            pause: Duration::from_millis(10),
        }
    };
    stage.expect_bounds_kept(plan).await;
}
