//! Requests that crash the engines that run them, and come again.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::StatusCode;
use ward_protocol::TimeSpan;
use ward_stage::{
    CRASHING_PATH, CallerRequest, CrashKind, EngineFault, RunRecord, Stage, StagePlan,
};

use crate::support::{
    expect_models_served, send, set_all, stage, terms, wait_for_links, wait_until,
};

/// Time after the third crash from which on sends are counted, and how many the
/// platform allows then.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const MOST_LATE_SENDS: usize = 3;
/// Time for a crash that ends the connection to be known everywhere.
const SPREAD_TIME: Duration = Duration::from_millis(600);
/// Time after which an engine that crashed serves again.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// A lease during which no other daemon takes over.
const LONG_LEASE: TimeSpan = TimeSpan::from_secs(12);

/// One model, in the memory of every engine.
fn one_model() -> StagePlan {
    StagePlan {
        models: 1,
        ..StagePlan::default()
    }
}

async fn crashing_stage(test: &str, plan: &StagePlan, kind: CrashKind) -> Stage {
    let stage = stage(test, plan).await;
    set_all(&stage, EngineFault::Crash(kind));
    stage
}

fn crashing_path(route: &str) -> String {
    format!("/{route}/{CRASHING_PATH}")
}

fn crashing_request(number: usize, route: &str) -> CallerRequest {
    let model = Stage::model_name(0);
    let model = ["quick", "quote"].contains(&route).then_some(&*model);
    CallerRequest::new(format!("r{number}"), crashing_path(route), model)
}

/// Sends the same request under new ids to the daemons in turn.
async fn send_again_and_again(stage: &Stage, route: &str, times: usize, pause: Duration) {
    for number in 0..times {
        let mut request = crashing_request(number, route);
        request.timeout = Duration::from_millis(800);
        // What callers get of such a request is not checked.
        drop(send(stage, number % stage.daemons.len(), &request).await);
        tokio::time::sleep(pause).await;
    }
}

fn crashing_runs(stage: &Stage) -> Vec<RunRecord> {
    let runs = stage.ledger.runs().into_iter();
    runs.filter(|run| run.path.contains(CRASHING_PATH))
        .collect()
}

/// Lives of engines that ended under the request, in order.
fn ended_lives(stage: &Stage) -> Vec<(String, Instant)> {
    let mut lives: Vec<(String, Instant)> = Vec::new();
    for run in crashing_runs(stage) {
        if !lives.iter().any(|(engine, _)| *engine == run.engine) {
            lives.push((run.engine, run.begun_at));
        }
    }
    lives
}

/// Sends to engines later than a settling time after the third crash.
fn expect_few_late_sends(stage: &Stage) {
    let lives = ended_lives(stage);
    let Some((_, third)) = lives.get(2) else {
        return;
    };
    let runs = crashing_runs(stage);
    let late = runs
        .iter()
        .filter(|run| run.begun_at > *third + SETTLE_TIME);
    expect_that!(
        late.count(),
        le(MOST_LATE_SENDS),
        "{} engines ended",
        lives.len()
    );
}

/// Callers of other requests are served as if nothing were.
async fn expect_others_served(stage: &Stage) {
    for number in 0..3 {
        let request = CallerRequest::new(format!("other{number}"), "/stock/other", None);
        let answer = send(stage, number, &request).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_before_the_head_blocks_the_request() {
    let stage = crashing_stage("crash-head", &one_model(), CrashKind::BeforeHead).await;
    send_again_and_again(&stage, "stock", 40, Duration::from_millis(250)).await;
    expect_few_late_sends(&stage);
    expect_others_served(&stage).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_in_the_middle_of_a_stream_blocks_the_request() {
    let stage = crashing_stage("crash-stream", &one_model(), CrashKind::AfterHead).await;
    send_again_and_again(&stage, "quick", 40, Duration::from_millis(250)).await;
    expect_few_late_sends(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_in_the_middle_of_a_resumed_stream_blocks_the_request() {
    let stage = crashing_stage("crash-resumed", &one_model(), CrashKind::AfterHead).await;
    send_again_and_again(&stage, "quote", 40, Duration::from_millis(250)).await;
    expect_few_late_sends(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_of_a_whole_host_blocks_the_request_though_its_callers_left() {
    let stage = crashing_stage("crash-silent", &one_model(), CrashKind::Silent).await;
    send_again_and_again(&stage, "quick", 16, Duration::from_millis(250)).await;
    expect_few_late_sends(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_count_outlives_restarts_of_all_daemons() {
    let mut stage = crashing_stage("crash-restart", &one_model(), CrashKind::BeforeHead).await;
    for _ in 0..6 {
        send_again_and_again(&stage, "book", 8, Duration::from_millis(250)).await;
        for daemon in &mut stage.daemons {
            daemon.restart().unwrap();
        }
        stage.wait_ready().await.unwrap();
    }
    expect_few_late_sends(&stage);
    expect_others_served(&stage).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_block_outlives_rolling_restarts() {
    let mut stage = crashing_stage("crash-rolling", &one_model(), CrashKind::BeforeHead).await;
    send_again_and_again(&stage, "book", 8, Duration::from_millis(250)).await;
    for number in 0..9 {
        let daemon = number % stage.daemons.len();
        stage.daemons[daemon].restart().unwrap();
        stage.wait_ready().await.unwrap();
        send_again_and_again(&stage, "book", 4, Duration::from_millis(250)).await;
    }
    expect_few_late_sends(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_count_is_shared_while_nobody_coordinates() {
    let plan = StagePlan {
        daemons: 7,
        backend_servers: 4,
        lease: LONG_LEASE,
        ..one_model()
    };
    let mut stage = crashing_stage("crash-alone", &plan, CrashKind::BeforeHead).await;
    let coordinates = |daemon: &usize| terms(&stage, *daemon) > 0;
    wait_until("a coordinator", || {
        (0..7).any(|daemon| coordinates(&daemon))
    })
    .await;
    let coordinator = (0..7).find(coordinates).unwrap();
    stage.daemons[coordinator].kill();
    send_again_and_again(&stage, "book", 24, Duration::from_millis(500)).await;
    expect_few_late_sends(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_block_ends_the_wait_of_the_same_request() {
    let plan = StagePlan {
        engines: 4,
        models: 5,
        disk_copies: false,
        load_slowdown: 2,
        ..StagePlan::default()
    };
    let stage = crashing_stage("crash-waits", &plan, CrashKind::BeforeHead).await;
    let request = |id: &str, model: usize| {
        CallerRequest::new(id, crashing_path("quick"), Some(&Stage::model_name(model)))
    };
    // No engine holds the last model; its load takes longer than the rest.
    let waits = async {
        let waiting = request("waits", 4);
        let answer = send(&stage, 0, &waiting).await.unwrap();
        (answer.status, Instant::now())
    };
    let crashes = async {
        for daemon in [1, 2] {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let model = daemon - 1;
            drop(send(&stage, daemon, &request("crashes", model)).await);
        }
    };
    let ((status, answered), ()) = tokio::join!(waits, crashes);
    expect_that!(status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(stage.ledger.runs_of("waits"), is_empty());
    let lives = ended_lives(&stage);
    expect_that!(lives.len(), eq(2));
    let second = lives.get(1).map(|(_, at)| *at).unwrap();
    expect_that!(answered - second, le(SPREAD_TIME));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_of_many_callers_is_served_after_all_its_engines_lost_power() {
    let stage = stage("crash-popular", &one_model()).await;
    wait_for_links(&stage).await;
    for number in 0..9 {
        let answer = send(&stage, number % 3, &crashing_request(number, "stock")).await;
        expect_that!(answer.unwrap().status, eq(StatusCode::OK));
    }
    set_all(&stage, EngineFault::Crash(CrashKind::BeforeHead));
    let both = (9..12).map(|number| {
        let stage = &stage;
        async move { drop(send(stage, number % 3, &crashing_request(number, "stock")).await) }
    });
    futures::future::join_all(both).await;
    set_all(&stage, EngineFault::None);
    tokio::time::sleep(RESTART_TIME).await;
    for engine in &stage.engines[3..] {
        expect_that!(engine.id(), ends_with(".2"), "it is in its second life");
    }
    for number in 12..15 {
        let answer = send(&stage, number % 3, &crashing_request(number, "stock")).await;
        expect_that!(answer.unwrap().status, eq(StatusCode::OK));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_under_which_engines_crash_for_other_reasons_is_served() {
    let stage = crashing_stage("crash-others", &one_model(), CrashKind::BeforeHead).await;
    // Each engine ends once or twice; the requests that go on beside it do no harm.
    for number in 0..6 {
        let bad = CallerRequest::new(
            format!("bad{number}"),
            crashing_path(&format!("stock/{number}")),
            None,
        );
        drop(send(&stage, number % 3, &bad).await);
        let request = CallerRequest::new(format!("good{number}"), "/stock/good", None);
        drop(send(&stage, (number + 1) % 3, &request).await);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_others_served(&stage).await;
    expect_models_served(&stage, "/quick/a", &[Stage::model_name(0)]).await;
    let request = CallerRequest::new("good", "/stock/good", None);
    let answer = send(&stage, 0, &request).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::OK));
}
