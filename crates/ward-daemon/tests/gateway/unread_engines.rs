//! Coordinators that cannot read the engines from the store.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use ward_stage::{CallerRequest, StagePlan, StoreFault};

use crate::support::{all_terms, send, stage, wait_until, wait_until_all_joined};

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn coordinator_that_could_not_read_the_engines_took_them_from_all_daemons() {
    let mut stage = stage("faults-engines", &StagePlan::default()).await;
    let coordinator = wait_until_all_joined(&stage).await;
    stage.store.set_fault(StoreFault::HangEngines);
    let terms = all_terms(&stage);
    stage.daemons[coordinator].kill();
    wait_until("a successor", || all_terms(&stage) > terms).await;
    // Long enough for its read to fail, and for its first views.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let request = |number: usize| CallerRequest::new(format!("e{number}"), "/stock/a", None);
    for daemon in (0..3).filter(|daemon| *daemon != coordinator) {
        let answer = send(&stage, daemon, &request(daemon)).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK), "at {daemon}");
    }
}
