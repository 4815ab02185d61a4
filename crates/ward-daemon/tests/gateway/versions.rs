//! Streams that callers take up while engines of several software versions serve: a
//! stream goes on only at the version that began it.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;

use ward_adapter::served::resume_headers;
use ward_stage::{CallerRequest, PLAIN_SOFTWARE, Stage, StagePlan, StoreFault};

use crate::caller_stream::{
    CallerStream, OTHER_SOFTWARE, begin_streams, expect_taken_up, one_version, send_in_background,
    take_up, two_versions,
};
use crate::support::{
    expect_refused, restart_all_at_once, send, stage, wait_until, wait_until_all_joined,
};

/// Time in which a slow stream brings some of its events, but not all.
const SOME_EVENTS: Duration = Duration::from_millis(750);
/// The same for most of its events.
const MOST_EVENTS: Duration = Duration::from_millis(1_300);

fn quick_request(id: &str) -> CallerRequest {
    CallerRequest::new(id, "/quote/a", Some(&Stage::model_name(0)))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemon_that_died_took_the_version_of_its_streams_along() {
    let mut stage = stage("versions-died", &two_versions()).await;
    wait_until_all_joined(&stage).await;
    let begun = begin_streams(&stage, &[0], 16);
    tokio::time::sleep(SOME_EVENTS).await;
    stage.daemons[0].kill();
    let mut streams = begun.broken_streams().await;
    take_up(&stage, &[1, 2, 3], &mut streams, "next").await;
    expect_taken_up(&streams, 16);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_taken_up_twice_went_on_at_another_version() {
    let mut stage = stage("versions-twice", &two_versions()).await;
    wait_until_all_joined(&stage).await;
    let begun = begin_streams(&stage, &[0], 12);
    tokio::time::sleep(SOME_EVENTS).await;
    stage.daemons[0].kill();
    let mut streams = begun.broken_streams().await;
    let second = streams.iter().enumerate().map(|(number, stream)| {
        let request = stream.resumption(&format!("second{number}"));
        send_in_background(&stage, 1, request)
    });
    let second: Vec<_> = second.collect();
    tokio::time::sleep(SOME_EVENTS).await;
    stage.daemons[1].kill();
    for (stream, reader) in streams.iter_mut().zip(second) {
        stream.add(reader.await.unwrap());
    }
    take_up(&stage, &[2, 3], &mut streams, "third").await;
    expect_taken_up(&streams, 12);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_went_on_at_another_version_without_coordinator_and_store() {
    let mut stage = stage("versions-alone", &two_versions()).await;
    let coordinator = wait_until_all_joined(&stage).await;
    stage.store.set_fault(StoreFault::Reset);
    stage.daemons[coordinator].kill();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let others: Vec<_> = (0..4).filter(|daemon| *daemon != coordinator).collect();
    let begun = begin_streams(&stage, &others[..1], 12);
    tokio::time::sleep(SOME_EVENTS).await;
    stage.daemons[others[0]].kill();
    let mut streams = begun.broken_streams().await;
    take_up(&stage, &others[1..], &mut streams, "next").await;
    expect_taken_up(&streams, 12);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_went_on_at_another_version_after_all_daemons_restarted() {
    let mut stage = stage("versions-all", &two_versions()).await;
    wait_until_all_joined(&stage).await;
    let begun = begin_streams(&stage, &[0, 1, 2, 3], 16);
    tokio::time::sleep(MOST_EVENTS).await;
    restart_all_at_once(&mut stage).await;
    let mut streams = begun.broken_streams().await;
    take_up(&stage, &[1, 2, 3, 0], &mut streams, "next").await;
    expect_taken_up(&streams, 16);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_was_lost_with_its_keepers_that_restarted_before_its_daemon() {
    let mut stage = stage("versions-keepers", &two_versions()).await;
    wait_until_all_joined(&stage).await;
    let begun = begin_streams(&stage, &[0], 12);
    tokio::time::sleep(SOME_EVENTS).await;
    for daemon in [1, 2, 3, 0] {
        stage.daemons[daemon].restart().unwrap();
        stage.wait_ready().await.unwrap();
    }
    let mut streams = begun.broken_streams().await;
    take_up(&stage, &[0, 1, 2, 3], &mut streams, "next").await;
    expect_taken_up(&streams, 12);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_the_only_version_goes_on_after_all_daemons_restarted() {
    let mut stage = stage("versions-one", &one_version()).await;
    wait_until_all_joined(&stage).await;
    let begun = begin_streams(&stage, &[0, 1, 2, 3], 16);
    tokio::time::sleep(SOME_EVENTS).await;
    restart_all_at_once(&mut stage).await;
    let mut streams = begun.broken_streams().await;
    take_up(&stage, &[1, 2, 3, 0], &mut streams, "next").await;
    expect_taken_up(&streams, 16);
    let mut request = quick_request("unnamed");
    request.headers = resume_headers(None, 2);
    let answer = send(&stage, 2, &request).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::OK));
}

/// Sends new requests to a daemon until one is answered by another software version.
async fn wait_until_other_version_serves(stage: &Stage, daemon: usize) {
    for number in 0..200 {
        let request = quick_request(&format!("new{daemon}-{number}"));
        let answer = send(stage, daemon, &request).await;
        if answer.is_ok_and(|answer| answer.text().contains(OTHER_SOFTWARE)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the other software version did not serve in time");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_came_back_with_another_version_continued_the_stream() {
    let plan = StagePlan {
        engines: 1,
        ..one_version()
    };
    let mut stage = stage("versions-back", &plan).await;
    wait_until_all_joined(&stage).await;
    let begun = begin_streams(&stage, &[0], 4);
    tokio::time::sleep(SOME_EVENTS).await;
    stage.daemons[0].kill();
    stage.engines[0].restart_with_software(OTHER_SOFTWARE.parse().unwrap());
    let streams = begun.broken_streams().await;
    expect_that!(streams.len(), ge(2));
    for daemon in 1..4 {
        wait_until_other_version_serves(&stage, daemon).await;
    }
    for (number, stream) in streams.iter().enumerate() {
        let request = stream.resumption(&format!("next{number}"));
        expect_refused(&stage, 1 + number % 3, &request).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_began_before_a_second_version_came_goes_on() {
    let plan = StagePlan {
        engines: 3,
        ..one_version()
    };
    let mut stage = stage("versions-second", &plan).await;
    wait_until_all_joined(&stage).await;
    stage.engines[2].restart_with_software(OTHER_SOFTWARE.parse().unwrap());
    tokio::time::sleep(Duration::from_millis(500)).await;
    let begun = begin_streams(&stage, &[0], 12);
    wait_until("the second version at all daemons", || {
        let mut logs = stage.daemons.iter().map(|daemon| daemon.log().unwrap());
        logs.all(|log| log.contains("a service has a further software version"))
    })
    .await;
    // The keepers are told now.
    tokio::time::sleep(Duration::from_millis(100)).await;
    stage.daemons[0].kill();
    let mut streams = begun.broken_streams().await;
    take_up(&stage, &[1, 2, 3], &mut streams, "next").await;
    expect_taken_up(&streams, 12);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_version_is_gone_went_on_at_another() {
    let mut stage = stage("versions-gone", &two_versions()).await;
    wait_until_all_joined(&stage).await;
    let begun = begin_streams(&stage, &[0], 12);
    tokio::time::sleep(SOME_EVENTS).await;
    stage.daemons[0].kill();
    let streams = begun.broken_streams().await;
    let other = OTHER_SOFTWARE.parse().unwrap();
    for engine in [0, 2] {
        stage.engines[engine].restart_with_software(std::clone::Clone::clone(&other));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let of_former = |stream: &&CallerStream| !stream.events.contains(OTHER_SOFTWARE);
    let former: Vec<_> = streams.iter().filter(of_former).collect();
    expect_that!(former.len(), gt(0));
    for (number, stream) in former.iter().enumerate() {
        let request = stream.resumption(&format!("next{number}"));
        expect_refused(&stage, 1 + number % 3, &request).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_an_unknown_version_is_refused_at_once() {
    let stage = stage("versions-unknown", &two_versions()).await;
    wait_until_all_joined(&stage).await;
    for daemon in 0..4 {
        let mut request = quick_request(&format!("unknown{daemon}"));
        request.headers = resume_headers(Some("never-seen"), 2);
        expect_refused(&stage, daemon, &request).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_names_no_first_try_is_refused_while_two_versions_serve() {
    let stage = stage("versions-unnamed", &two_versions()).await;
    wait_until_all_joined(&stage).await;
    for daemon in 0..4 {
        let mut request = quick_request(&format!("unnamed{daemon}"));
        request.headers = resume_headers(None, 2);
        expect_refused(&stage, daemon, &request).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_waited_in_vain_for_a_model_that_only_another_version_holds() {
    // The second engine holds the other model.
    let plan = StagePlan {
        engines: 3,
        models: 2,
        software: &[PLAIN_SOFTWARE, PLAIN_SOFTWARE, OTHER_SOFTWARE],
        ..two_versions()
    };
    let mut stage = stage("versions-model", &plan).await;
    wait_until_all_joined(&stage).await;
    let begun = begin_streams(&stage, &[0], 12);
    tokio::time::sleep(SOME_EVENTS).await;
    stage.daemons[0].kill();
    stage.engines[0].drain(&stage.store);
    let mut streams = begun.broken_streams().await;
    streams.retain(|stream| !stream.events.contains(OTHER_SOFTWARE));
    expect_that!(streams.len(), gt(0));
    tokio::time::sleep(Duration::from_secs(1)).await;
    take_up(&stage, &[1, 2, 3], &mut streams, "next").await;
    expect_taken_up(&streams, 0);
    expect_true!(streams.iter().all(CallerStream::is_complete));
}
