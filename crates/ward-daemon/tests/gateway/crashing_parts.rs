//! A part of many prompts that crashes each engine that begins to answer on it. No two of
//! these requests are alike; harmless ones share their other parts.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::StatusCode;
use ward_adapter::served::prompt_headers;
use ward_protocol::{PartId, TimeSpan};
use ward_stage::{
    CRASHING_PART, CallerRequest, CrashKind, EngineFault, RunRecord, Stage, StagePlan,
};

use crate::support::{
    restart_all_at_once, restart_coordinator, send, set_fault_on_all, stage, wait_until,
    wait_until_all_joined,
};

/// A send counts as late when it begins later than this after the fifth crash.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Number of late sends that the platform allows.
const MAX_LATE_SENDS: usize = 3;
/// Time between two requests of the traffic.
const SEND_INTERVAL: Duration = Duration::from_millis(25);
/// One in so many requests has the part that crashes engines.
const CRASHING_EVERY: usize = 8;
/// Timeout of each request of the traffic.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a crashed engine has its model again.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Time in which the store drops the entry of an engine that has ended.
const LAPSE_TIME: Duration = Duration::from_millis(1_200);
/// Reason that is logged when a blocked request is refused.
const CRASHES_REASON: &str = "a part of its prompt has crashed engines";
/// Time that a load from the weight store takes where it takes twice as long.
const LOAD_TIME: Duration = Duration::from_millis(1_800);
/// A lease long enough that no other daemon becomes coordinator during the test.
const LONG_LEASE: TimeSpan = TimeSpan::from_secs(30);
/// First part of all prompts.
const COMMON_PART: &str = "c0c0";
/// Part that crashing and some harmless prompts share.
const CUSTOMER_PART: &str = "d1d1";

fn plan() -> StagePlan {
    StagePlan {
        engines: 6,
        models: 1,
        ..StagePlan::default()
    }
}

/// A request for a model, whose last part is its own.
fn request(id: &str, shared_parts: &[&str]) -> CallerRequest {
    let own_part = format!("own-{id}");
    let parts = shared_parts.iter().copied().chain([own_part.as_str()]);
    let parts: Vec<PartId> = parts.map(|part| part.parse().unwrap()).collect();
    let path = format!("/quick/{id}");
    CallerRequest {
        timeout: CALLER_TIMEOUT,
        headers: prompt_headers(&parts),
        ..CallerRequest::new(id, path, Some(&Stage::model_name(0)))
    }
}

fn crashing_request(id: &str) -> CallerRequest {
    request(id, &[COMMON_PART, CUSTOMER_PART, CRASHING_PART])
}

fn crashing_request_of_model(id: &str, model: usize) -> CallerRequest {
    CallerRequest {
        model: Some(Stage::model_name(model)),
        ..crashing_request(id)
    }
}

/// A request with the part to the plain service, whose servers need no coordinator to
/// serve again after a crash.
fn crashing_request_without_model(id: &str) -> CallerRequest {
    CallerRequest {
        path: format!("/book/{id}"),
        model: None,
        ..crashing_request(id)
    }
}

/// How a harmless request ended that was sent once.
struct HarmlessOutcome {
    sent: Instant,
    served: bool,
}

/// Sends harmless and crashing requests to the daemons in turn for some time. Returns the
/// outcomes of the harmless ones.
async fn send_traffic(
    stage: &Stage,
    name: &str,
    daemons: &[usize],
    span: Duration,
) -> Vec<HarmlessOutcome> {
    let count = span.as_millis() / SEND_INTERVAL.as_millis();
    let sends = (0..usize::try_from(count).unwrap()).map(|number| async move {
        tokio::time::sleep(SEND_INTERVAL * u32::try_from(number).unwrap()).await;
        let id = format!("{name}-{number}");
        let daemon = daemons[number % daemons.len()];
        if number % CRASHING_EVERY == 0 {
            // The answer to such a request is not checked.
            drop(send(stage, daemon, &crashing_request(&id)).await);
            return None;
        }
        let parts: &[&str] = match number % 3 {
            0 => &[COMMON_PART, CUSTOMER_PART],
            _ => &[COMMON_PART],
        };
        let sent = Instant::now();
        let answer = send(stage, daemon, &request(&id, parts)).await;
        let served = answer.is_ok_and(|answer| answer.status == StatusCode::OK);
        Some(HarmlessOutcome { sent, served })
    });
    let outcomes = futures::future::join_all(sends).await;
    outcomes.into_iter().flatten().collect()
}

fn crashing_runs(stage: &Stage) -> Vec<RunRecord> {
    let has_part = |run: &RunRecord| {
        let mut parts = run.shared_parts.iter();
        parts.any(|part| part.as_str() == CRASHING_PART)
    };
    stage.ledger.runs().into_iter().filter(has_part).collect()
}

/// When each engine began the first run with the part that ended it, in order.
fn crash_times(stage: &Stage) -> Vec<Instant> {
    let mut crashes: Vec<(String, Instant)> = Vec::new();
    for run in crashing_runs(stage) {
        if !crashes.iter().any(|(engine, _)| *engine == run.engine) {
            crashes.push((run.engine, run.begun_at));
        }
    }
    crashes.into_iter().map(|(_, at)| at).collect()
}

/// Expects at most `MAX_LATE_SENDS` sends with the part later than `SETTLE_TIME` after
/// the fifth crash.
fn expect_few_late_sends(stage: &Stage) {
    let crashes = crash_times(stage);
    expect_that!(crashes.len(), ge(1), "the part crashes engines");
    let Some(fifth) = crashes.get(4) else {
        return;
    };
    let runs = crashing_runs(stage);
    let late = runs
        .iter()
        .filter(|run| run.begun_at > *fifth + SETTLE_TIME);
    expect_that!(
        late.count(),
        le(MAX_LATE_SENDS),
        "{} engines ended",
        crashes.len()
    );
}

/// Expects that harmless requests sent later than twice `SETTLE_TIME` after the fifth crash,
/// or the last if there were fewer, are served at least half as often as at other times,
/// when nearly all are.
fn expect_harmless_served(stage: &Stage, outcomes: &[HarmlessOutcome]) {
    let crashes = crash_times(stage);
    let Some(crash) = crashes.get(4).or(crashes.last()) else {
        return;
    };
    let late: Vec<_> = outcomes
        .iter()
        .filter(|outcome| outcome.sent > *crash + SETTLE_TIME * 2)
        .collect();
    expect_that!(late.len(), ge(20), "harmless requests sent that late");
    let served = late.iter().filter(|outcome| outcome.served).count();
    expect_that!(served * 2, ge(late.len()), "{served} of {}", late.len());
}

/// Expects that harmless requests with each chain of parts are served now.
async fn expect_all_harmless_served(stage: &Stage) {
    for (number, parts) in [&[COMMON_PART][..], &[COMMON_PART, CUSTOMER_PART]]
        .into_iter()
        .enumerate()
    {
        for daemon in 0..stage.daemons.len() {
            let request = request(&format!("harmless-{number}-{daemon}"), parts);
            let answer = send(stage, daemon, &request).await.unwrap();
            expect_that!(answer.status, eq(StatusCode::OK), "{parts:?}");
        }
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn part_of_unlike_requests_crashed_one_engine_after_the_other() {
    let stage = stage("part-unlike", &plan()).await;
    wait_until_all_joined(&stage).await;
    set_fault_on_all(&stage, EngineFault::CrashOnPart(CrashKind::AfterHead));
    let outcomes = send_traffic(&stage, "r", &[0, 1, 2], Duration::from_secs(14)).await;
    expect_few_late_sends(&stage);
    expect_harmless_served(&stage, &outcomes);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn part_whose_engines_end_before_the_head_crashed_them_all() {
    let stage = stage("part-head", &plan()).await;
    wait_until_all_joined(&stage).await;
    set_fault_on_all(&stage, EngineFault::CrashOnPart(CrashKind::BeforeHead));
    let outcomes = send_traffic(&stage, "r", &[0, 1, 2], Duration::from_secs(14)).await;
    expect_few_late_sends(&stage);
    expect_harmless_served(&stage, &outcomes);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn part_was_answered_before_it_crashed_engines() {
    let stage = stage("part-later", &plan()).await;
    wait_until_all_joined(&stage).await;
    send_traffic(&stage, "before", &[0, 1, 2], Duration::from_secs(2)).await;
    let answered = crashing_runs(&stage).len();
    expect_that!(answered, ge(5), "the part was served");
    let begun = Instant::now();
    set_fault_on_all(&stage, EngineFault::CrashOnPart(CrashKind::AfterHead));
    send_traffic(&stage, "after", &[0, 1, 2], Duration::from_secs(10)).await;
    let late = begun + SETTLE_TIME + Duration::from_secs(3);
    let runs = crashing_runs(&stage);
    let late_runs = runs.iter().filter(|run| run.begun_at > late).count();
    expect_that!(late_runs, le(MAX_LATE_SENDS));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn part_block_was_lost_when_the_coordinator_and_then_all_daemons_restarted() {
    let mut stage = stage("part-restart", &plan()).await;
    let coordinator = wait_until_all_joined(&stage).await;
    set_fault_on_all(&stage, EngineFault::CrashOnPart(CrashKind::AfterHead));
    send_traffic(&stage, "first", &[0, 1, 2], Duration::from_secs(6)).await;
    restart_coordinator(&mut stage, coordinator).await;
    // The new coordinator has written its record by then.
    tokio::time::sleep(RESTART_TIME).await;
    restart_all_at_once(&mut stage).await;
    send_traffic(&stage, "second", &[0, 1, 2], Duration::from_secs(4)).await;
    expect_few_late_sends(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn part_was_blocked_only_where_the_coordinator_was_heard() {
    let plan = StagePlan {
        daemons: 5,
        backend_servers: 4,
        lease: LONG_LEASE,
        ..plan()
    };
    let mut stage = stage("part-alone", &plan).await;
    let coordinator = wait_until_all_joined(&stage).await;
    stage.daemons[coordinator].kill();
    let others: Vec<usize> = (0..5).filter(|daemon| *daemon != coordinator).collect();
    set_fault_on_all(&stage, EngineFault::CrashOnPart(CrashKind::BeforeHead));
    for number in 0..50 {
        let request = crashing_request_without_model(&format!("r{number}"));
        // The answer to such a request is not checked.
        drop(send(&stage, others[number % others.len()], &request).await);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    expect_few_late_sends(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn part_block_left_a_waiting_request_in_the_queue() {
    let plan = StagePlan {
        models: 7,
        disk_copies: false,
        load_slowdown: 2,
        ..plan()
    };
    let stage = stage("part-waits", &plan).await;
    wait_until_all_joined(&stage).await;
    set_fault_on_all(&stage, EngineFault::CrashOnPart(CrashKind::AfterHead));
    for model in 0..4 {
        let crashing = crashing_request_of_model(&format!("crash{model}"), model);
        drop(send(&stage, 1 + model % 2, &crashing).await);
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    // No engine holds the last model; its load takes longer than the block needs.
    let begun = Instant::now();
    let waiting = CallerRequest {
        timeout: Duration::from_secs(4),
        ..crashing_request_of_model("waits", 6)
    };
    let status = send(&stage, 0, &waiting).await.unwrap().status;
    let waited = begun.elapsed();
    expect_that!(status, eq(StatusCode::SERVICE_UNAVAILABLE));
    // Log lines are written after the answer.
    wait_until("the refusal's reason", || {
        stage.daemons[0].log().unwrap().contains(CRASHES_REASON)
    })
    .await;
    expect_that!(stage.ledger.runs_of("waits"), is_empty());
    expect_that!(waited, lt(LOAD_TIME), "refused before its model is ready");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn harmless_parts_were_blamed_for_engines_that_lost_power_together() {
    let stage = stage("part-power", &plan()).await;
    wait_until_all_joined(&stage).await;
    for round in 0..4 {
        // Each request of the traffic runs on some engine when all of them end.
        let name = format!("round{round}");
        let traffic = send_traffic_without_part(&stage, &name, Duration::from_secs(1));
        let crash = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            for engine in &stage.engines {
                engine.crash();
            }
        };
        tokio::join!(traffic, crash);
        tokio::time::sleep(LAPSE_TIME + RESTART_TIME).await;
        expect_all_harmless_served(&stage).await;
    }
}

async fn send_traffic_without_part(stage: &Stage, name: &str, span: Duration) {
    let count = span.as_millis() / SEND_INTERVAL.as_millis();
    let sends = (0..usize::try_from(count).unwrap()).map(|number| async move {
        tokio::time::sleep(SEND_INTERVAL * u32::try_from(number).unwrap()).await;
        let parts: &[&str] = match number % 3 {
            0 => &[COMMON_PART, CUSTOMER_PART],
            _ => &[COMMON_PART],
        };
        let harmless = request(&format!("{name}-{number}"), parts);
        // Requests that run when the engines end fail.
        drop(send(stage, number % stage.daemons.len(), &harmless).await);
    });
    futures::future::join_all(sends).await;
}
