//! Which software versions served of late, as daemons know after restarts.

use std::time::Duration;

use googletest::prelude::*;
use ward_adapter::StoreTopic;
use ward_adapter::served::resume_headers;
use ward_adapter::store::{is_version_list_key, key_owner};
use ward_stage::{CallerRequest, EngineFault, Stage, StagePlan, StoreFault};

use crate::caller_stream::{CallerStream, OTHER_SOFTWARE, begin_streams, one_version};
use crate::support::{
    expect_refused, restart_all_at_once, send, stage, wait_until, wait_until_all_joined,
};

/// Time in which the coordinator renews its lease, and writes what has changed.
const RENEWAL_TIME: Duration = Duration::from_secs(1);
/// Time in which an engine that restarts gets its model again.
const RELOAD_TIME: Duration = Duration::from_secs(3);

/// Time in which an engine that restarts is back.
const RESTART_TIME: Duration = Duration::from_millis(1_500);

/// A request that takes up a stream and doesn't name it.
fn unnamed_resumption(id: &str) -> CallerRequest {
    let mut request = CallerRequest::new(id, "/quote/a", Some(&Stage::model_name(0)));
    request.headers = resume_headers(None, 2);
    request
}

/// A stage whose only engine has changed its software version, so that streams of the
/// former one may still be taken up.
async fn upgraded_stage(test: &str) -> Stage {
    let plan = StagePlan {
        engines: 1,
        models: 1,
        ..StagePlan::default()
    };
    let stage = stage(test, &plan).await;
    wait_until_all_joined(&stage).await;
    stage.engines[0].restart_with_software("v2".parse().unwrap());
    wait_until("the second version at all daemons", || {
        let mut logs = stage.daemons.iter().map(|daemon| daemon.log().unwrap());
        logs.all(|log| log.contains("a service has a further software version"))
    })
    .await;
    let request = CallerRequest::new("new", "/quote/a", Some(&Stage::model_name(0)));
    let answer = send(&stage, 0, &request).await.unwrap();
    expect_that!(answer.text(), contains_substring("part 1 v2"));
    tokio::time::sleep(RENEWAL_TIME).await;
    stage
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn restarted_daemons_forgot_that_another_version_served() {
    let mut stage = upgraded_stage("history-all").await;
    restart_all_at_once(&mut stage).await;
    for daemon in 0..3 {
        let request = unnamed_resumption(&format!("next{daemon}"));
        expect_refused(&stage, daemon, &request).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemon_restarted_without_store_forgot_that_another_version_served() {
    let mut stage = upgraded_stage("history-peers").await;
    stage.store.set_fault(StoreFault::Reset);
    for daemon in 0..3 {
        stage.daemons[daemon].restart().unwrap();
        stage.wait_ready().await.unwrap();
        let request = unnamed_resumption(&format!("next{daemon}"));
        expect_refused(&stage, daemon, &request).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn restarted_daemon_wrote_its_version_list_twice() {
    let mut stage = upgraded_stage("history-list").await;
    let daemon = stage.daemons[0].settings().daemon.clone();
    let is_list = |key: &str| is_version_list_key(key) && key_owner(key) == daemon.as_str();
    let lists = |stage: &Stage| stage.store.count(StoreTopic::Streams, is_list);
    let before = lists(&stage);
    stage.daemons[0].restart().unwrap();
    wait_until("the list of the restarted daemon", || {
        lists(&stage) > before
    })
    .await;
    tokio::time::sleep(2 * RENEWAL_TIME).await;
    expect_that!(lists(&stage), eq(before + 1));
}

/// Sends requests for streams to all daemons in turn, and expects that no stream holds events
/// of two versions.
async fn expect_unmixed_streams(stage: &Stage) {
    for number in 0..24 {
        let request = CallerRequest::new(
            format!("r{number}"),
            "/quote/a",
            Some(&Stage::model_name(0)),
        );
        let mut stream = CallerStream {
            first_try: request.id.clone(),
            events: String::new(),
        };
        stream.add(send(stage, number % 4, &request).await);
        expect_true!(stream.is_of_one_version(), "mixed: {:?}", stream.events);
    }
}

/// Case review/6: the report of a later incarnation was taken for one of the known, so that the
/// engine got its model again and streams of the former version.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_went_on_at_an_engine_that_had_restarted_with_another_version() {
    let stage = stage("history-restarted", &one_version()).await;
    wait_until_all_joined(&stage).await;
    tokio::time::sleep(RENEWAL_TIME).await;
    stage.store.set_fault(StoreFault::Busy);
    stage.engines[1].restart_with_software(OTHER_SOFTWARE.parse().unwrap());
    // Requests that the engine refuses let the coordinator ask it what it holds.
    let begun = begin_streams(&stage, &[0, 1, 2, 3], 24);
    tokio::time::sleep(RELOAD_TIME).await;
    drop(begun.broken_streams().await);
    for number in [0, 2, 3] {
        stage.engines[number].set_fault(EngineFault::BreakOff);
    }
    expect_unmixed_streams(&stage).await;
    expect_that!(stage.engines[1].models().len(), eq(0));
}

/// Case review/11: an idle engine restarted with another version, and its count of orders was
/// what the coordinator expected, so that it got a model and streams of the former version.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_went_on_at_an_idle_engine_that_had_restarted_with_another_version() {
    let plan = StagePlan {
        engines: 2,
        models: 2,
        ..one_version()
    };
    let stage = stage("history-idle", &plan).await;
    wait_until_all_joined(&stage).await;
    tokio::time::sleep(RENEWAL_TIME).await;
    stage.store.set_fault(StoreFault::Busy);
    stage.engines[1].restart_with_software(OTHER_SOFTWARE.parse().unwrap());
    tokio::time::sleep(RESTART_TIME).await;
    // More than one engine can run at a time, so that the model is ordered at the other.
    let begun = begin_streams(&stage, &[0, 1, 2, 3], 24);
    tokio::time::sleep(RELOAD_TIME).await;
    stage.engines[0].set_fault(EngineFault::BreakOff);
    expect_unmixed_streams(&stage).await;
    drop(begun.broken_streams().await);
}
