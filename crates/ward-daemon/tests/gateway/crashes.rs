//! Requests that crash the engines that run them and are sent repeatedly.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::StatusCode;
use ward_protocol::TimeSpan;
use ward_stage::{
    CRASHING_PATH, CallerRequest, CrashKind, EngineFault, RunRecord, Stage, StagePlan,
};

use crate::support::{
    expect_models_served, restart_all_at_once, restart_coordinator, send, set_fault_on_all, stage,
    terms, wait_until, wait_until_all_joined,
};

/// A send counts as late when it begins later than this after the third crash.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Number of late sends that the platform allows.
const MAX_LATE_SENDS: usize = 3;
/// Maximum time from the start of the second run that crashes an engine until the
/// waiting request is refused. A crash closes the connection, so it is noticed at once.
const PROPAGATION_TIME: Duration = Duration::from_millis(600);
/// Time after which a crashed engine serves again.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// A lease long enough that no other daemon becomes coordinator during the test.
const LONG_LEASE: TimeSpan = TimeSpan::from_secs(12);

/// A stage with one model, which every engine holds in memory.
fn one_model() -> StagePlan {
    StagePlan {
        models: 1,
        ..StagePlan::default()
    }
}

async fn crashing_stage(test: &str, plan: &StagePlan, kind: CrashKind) -> Stage {
    let stage = stage(test, plan).await;
    set_fault_on_all(&stage, EngineFault::Crash(kind));
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

/// Sends the same content under new request ids to all daemons in turn.
async fn send_repeatedly(stage: &Stage, route: &str, times: usize, pause: Duration) {
    for number in 0..times {
        let mut request = crashing_request(number, route);
        request.timeout = Duration::from_millis(800);
        // The answer to such a request is not checked.
        drop(send(stage, number % stage.daemons.len(), &request).await);
        tokio::time::sleep(pause).await;
    }
}

fn crashing_runs(stage: &Stage) -> Vec<RunRecord> {
    let runs = stage.ledger.runs().into_iter();
    runs.filter(|run| run.path.contains(CRASHING_PATH))
        .collect()
}

/// Engine incarnations that ended while running the request, with the start of their
/// first run, in order.
fn ended_incarnations(stage: &Stage) -> Vec<(String, Instant)> {
    let mut incarnations: Vec<(String, Instant)> = Vec::new();
    for run in crashing_runs(stage) {
        if !incarnations.iter().any(|(engine, _)| *engine == run.engine) {
            incarnations.push((run.engine, run.begun_at));
        }
    }
    incarnations
}

/// Expects at most `MAX_LATE_SENDS` sends to engines later than `SETTLE_TIME` after the
/// third crash.
fn expect_few_late_sends(stage: &Stage) {
    let incarnations = ended_incarnations(stage);
    let Some((_, third)) = incarnations.get(2) else {
        return;
    };
    let runs = crashing_runs(stage);
    let late = runs
        .iter()
        .filter(|run| run.begun_at > *third + SETTLE_TIME);
    expect_that!(
        late.count(),
        le(MAX_LATE_SENDS),
        "{} engines ended",
        incarnations.len()
    );
}

/// Expects that other requests are served normally.
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
    send_repeatedly(&stage, "stock", 40, Duration::from_millis(250)).await;
    expect_few_late_sends(&stage);
    expect_others_served(&stage).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_in_the_middle_of_a_stream_blocks_the_request() {
    let stage = crashing_stage("crash-stream", &one_model(), CrashKind::AfterHead).await;
    send_repeatedly(&stage, "quick", 40, Duration::from_millis(250)).await;
    expect_few_late_sends(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_in_the_middle_of_a_resumed_stream_blocks_the_request() {
    let stage = crashing_stage("crash-resumed", &one_model(), CrashKind::AfterHead).await;
    send_repeatedly(&stage, "quote", 40, Duration::from_millis(250)).await;
    expect_few_late_sends(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_of_a_whole_host_blocks_the_request_though_its_callers_left() {
    let stage = crashing_stage("crash-silent", &one_model(), CrashKind::Silent).await;
    send_repeatedly(&stage, "quick", 16, Duration::from_millis(250)).await;
    expect_few_late_sends(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_count_outlives_restarts_of_all_daemons() {
    let mut stage = crashing_stage("crash-restart", &one_model(), CrashKind::BeforeHead).await;
    for _ in 0..6 {
        send_repeatedly(&stage, "book", 8, Duration::from_millis(250)).await;
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
async fn crash_block_outlives_its_coordinator_and_then_all_daemons() {
    let mut stage = crashing_stage("crash-successor", &one_model(), CrashKind::BeforeHead).await;
    let coordinator = wait_until_all_joined(&stage).await;
    send_repeatedly(&stage, "book", 8, Duration::from_millis(250)).await;
    restart_coordinator(&mut stage, coordinator).await;
    // Several renewals of the new term.
    tokio::time::sleep(RESTART_TIME).await;
    restart_all_at_once(&mut stage).await;
    let runs = crashing_runs(&stage).len();
    send_repeatedly(&stage, "book", 8, Duration::from_millis(250)).await;
    expect_that!(crashing_runs(&stage).len(), eq(runs), "still blocked");
    expect_few_late_sends(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_block_outlives_rolling_restarts() {
    let mut stage = crashing_stage("crash-rolling", &one_model(), CrashKind::BeforeHead).await;
    send_repeatedly(&stage, "book", 8, Duration::from_millis(250)).await;
    for number in 0..9 {
        let daemon = number % stage.daemons.len();
        stage.daemons[daemon].restart().unwrap();
        stage.wait_ready().await.unwrap();
        send_repeatedly(&stage, "book", 4, Duration::from_millis(250)).await;
    }
    expect_few_late_sends(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_count_is_shared_without_a_coordinator() {
    let plan = StagePlan {
        daemons: 7,
        backend_servers: 4,
        lease: LONG_LEASE,
        ..one_model()
    };
    let mut stage = crashing_stage("crash-alone", &plan, CrashKind::BeforeHead).await;
    let is_coordinator = |daemon: &usize| terms(&stage, *daemon) > 0;
    wait_until("a coordinator", || {
        (0..7).any(|daemon| is_coordinator(&daemon))
    })
    .await;
    let coordinator = (0..7).find(is_coordinator).unwrap();
    stage.daemons[coordinator].kill();
    send_repeatedly(&stage, "book", 24, Duration::from_millis(500)).await;
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
    // No engine holds the last model, and its load takes longer than the other requests
    // of this test.
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
    let incarnations = ended_incarnations(&stage);
    expect_that!(incarnations.len(), eq(2));
    let second = incarnations.get(1).map(|(_, at)| *at).unwrap();
    expect_that!(answered - second, le(PROPAGATION_TIME));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_of_many_callers_is_served_after_all_its_engines_lost_power() {
    let stage = stage("crash-popular", &one_model()).await;
    wait_until_all_joined(&stage).await;
    for number in 0..9 {
        let answer = send(&stage, number % 3, &crashing_request(number, "stock")).await;
        expect_that!(answer.unwrap().status, eq(StatusCode::OK));
    }
    set_fault_on_all(&stage, EngineFault::Crash(CrashKind::BeforeHead));
    let sends = (9..12).map(|number| {
        let stage = &stage;
        async move { drop(send(stage, number % 3, &crashing_request(number, "stock")).await) }
    });
    futures::future::join_all(sends).await;
    set_fault_on_all(&stage, EngineFault::None);
    tokio::time::sleep(RESTART_TIME).await;
    for engine in &stage.engines[3..] {
        expect_that!(engine.id(), ends_with(".2"), "restarted once");
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
    // Each engine crashes once or twice. The requests that run beside the crashing ones
    // must not be suspected of causing the crash.
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

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn model_of_a_crashed_engine_was_refused_until_its_entry_lapsed() {
    // Each engine holds one model in memory, and copies of the others on disk.
    let plan = StagePlan {
        models: 3,
        ..StagePlan::default()
    };
    let stage = stage("crash-model", &plan).await;
    wait_until_all_joined(&stage).await;
    let model = Stage::model_name(0);
    let request = |id: &str| CallerRequest::new(id, "/quick/a", Some(&model));
    let first = request("first");
    let crash = async {
        tokio::time::sleep(Duration::from_millis(60)).await;
        for engine in &stage.engines {
            if engine.models().contains(&model.parse().unwrap()) {
                engine.crash();
            }
        }
    };
    // The answer breaks off.
    drop(tokio::join!(send(&stage, 0, &first), crash));
    // The crash is noticed 100 ms later.
    tokio::time::sleep(Duration::from_millis(200)).await;
    for number in 0..3 {
        let answer = send(&stage, number, &request(&format!("r{number}"))).await;
        expect_that!(answer.unwrap().status, eq(StatusCode::OK));
    }
}
