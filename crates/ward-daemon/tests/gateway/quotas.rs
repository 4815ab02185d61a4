//! Quotas of tenants over all daemons.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::StatusCode;
use tokio::task::JoinSet;
use ward_fleet::number::usize_to_f64;
use ward_fleet::{ManifestVersion, QuotaAmount, QuotaRate, QuotaUnit, TenantClass, TenantQuota};
use ward_stage::{
    CallerAnswer, CallerRequest, EngineFault, RunRecord, ServedTenant, Stage, StageCaller,
    StagePlan, StoreFault, key_headers,
};

use crate::support::{send, set_fault_on_all, stage, wait_until_all_joined};

/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Time until a daemon without a coordinator keeps an equal share.
const ALONE_TIME: Duration = Duration::from_secs(2);

fn quota(per_second: u64, burst: u64) -> TenantQuota {
    TenantQuota {
        rate: QuotaRate(per_second * 1_000),
        burst: QuotaAmount(burst),
        unit: QuotaUnit::Requests,
    }
}

/// A tenant whose only key is its name.
fn tenant(name: &str, quota: TenantQuota) -> ServedTenant {
    ServedTenant {
        name: name.parse().unwrap(),
        keys: vec![name.to_owned()],
        class: TenantClass {
            priority: 0,
            quota: Some(quota),
        },
    }
}

fn plan(tenants: &[ServedTenant]) -> StagePlan {
    StagePlan {
        tenants: tenants.to_vec(),
        ..StagePlan::default()
    }
}

fn request(id: String, tenant: &str) -> CallerRequest {
    CallerRequest {
        headers: key_headers(&[tenant], None),
        ..CallerRequest::new(id, "/stock/a", None)
    }
}

/// Sends a tenant's requests to a daemon for some time, each on a connection of its own.
async fn call_repeatedly(
    stage: &Stage,
    daemon: usize,
    tenant: &str,
    interval: Duration,
    span: Duration,
) -> Vec<CallerAnswer> {
    let started = Instant::now();
    let mut calls = JoinSet::new();
    while started.elapsed() < span {
        let id = format!("{tenant}-{daemon}-{}", started.elapsed().as_micros());
        let request = request(id, tenant);
        let address = stage.daemons[daemon].callers();
        calls.spawn(async move { StageCaller::connect(address).await?.send(&request).await });
        tokio::time::sleep(interval).await;
    }
    let answers = calls.join_all().await;
    answers
        .into_iter()
        .filter_map(std::result::Result::ok)
        .collect()
}

/// Number of answers with a status.
fn count(answers: &[CallerAnswer], status: StatusCode) -> usize {
    answers
        .iter()
        .filter(|answer| answer.status == status)
        .count()
}

/// Starts of the runs of a tenant later than `from`.
fn run_times(stage: &Stage, tenant: &str, from: Instant) -> Vec<Instant> {
    let runs = stage.ledger.runs().into_iter();
    let is_counted =
        |run: &RunRecord| run.begun_at >= from && run.tenants.iter().any(|name| name == tenant);
    runs.filter(is_counted).map(|run| run.begun_at).collect()
}

/// Most runs in any window.
fn most_in_window(times: &[Instant]) -> usize {
    let in_window = |start: &Instant| {
        let times = times.iter();
        times
            .filter(|time| **time >= *start && **time < *start + WINDOW)
            .count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn quota_was_exceeded_by_all_daemons_together() {
    let tenants = [tenant("hot", quota(20, 20)), tenant("calm", quota(20, 20))];
    let stage = stage("quota-sum", &plan(&tenants)).await;
    wait_until_all_joined(&stage).await;
    let begun = Instant::now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let span = Duration::from_secs(8);
    let hot = (0..3).map(|daemon| call_repeatedly(&stage, daemon, "hot", CALL_INTERVAL, span));
    let calm_interval = Duration::from_millis(200);
    let calm = (0..3).map(|daemon| call_repeatedly(&stage, daemon, "calm", calm_interval, span));
    let (hot, calm) = futures::join!(
        futures::future::join_all(hot),
        futures::future::join_all(calm)
    );
    let times = run_times(&stage, "hot", begun);
    let all = times.len();
    expect_that!(most_in_window(&times), le(4 * 20 + 20));
    // It gets what it is entitled to, whatever it asks for.
    expect_that!(all, ge(8 * 20 * 8 / 10));
    let hot = hot.concat();
    expect_that!(count(&hot, StatusCode::OK), eq(all));
    let refused = hot.iter().filter(|answer| answer.status != StatusCode::OK);
    for answer in refused {
        expect_that!(answer.status, eq(StatusCode::TOO_MANY_REQUESTS));
        expect_true!(answer.headers.contains_key("retry-after"));
    }
    let calm = calm.concat();
    expect_that!(count(&calm, StatusCode::OK) * 100, ge(calm.len() * 95));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn quota_of_a_daemon_cut_off_from_store_and_peers_is_its_share() {
    let tenants = [tenant("hot", quota(30, 30))];
    let mut stage = stage("quota-cut", &plan(&tenants)).await;
    let coordinator = wait_until_all_joined(&stage).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    // The coordinator had given the daemon much more than its share.
    let kept = (coordinator + 1) % 3;
    let before = Duration::from_millis(500);
    call_repeatedly(&stage, kept, "hot", CALL_INTERVAL, before).await;
    stage.store.set_fault(StoreFault::Reset);
    for daemon in (0..3).filter(|daemon| *daemon != kept) {
        stage.daemons[daemon].kill();
    }
    tokio::time::sleep(ALONE_TIME).await;
    let begun = Instant::now();
    let answers = call_repeatedly(&stage, kept, "hot", CALL_INTERVAL, WINDOW).await;
    let times = run_times(&stage, "hot", begun);
    expect_that!(count(&answers, StatusCode::OK), eq(times.len()));
    // A third of the burst, and of the rate; the last requests may have waited a moment.
    expect_that!(most_in_window(&times), le(10 + 4 * 10 + 1));
    let elapsed = begun.elapsed().as_secs_f64();
    expect_that!(usize_to_f64(times.len()), le(10.0 + elapsed * 10.0 + 1.0));
    expect_that!(times.len(), ge(4 * 10 * 8 / 10));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn quota_was_charged_for_requests_that_no_engine_ran() {
    let tenants = [tenant("acme", quota(1, 10))];
    let stage = stage("quota-refund", &plan(&tenants)).await;
    wait_until_all_joined(&stage).await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    set_fault_on_all(&stage, EngineFault::RetryAfter(Duration::from_secs(1)));
    for number in 0..20 {
        let answer = send(&stage, 0, &request(format!("refused-{number}"), "acme")).await;
        expect_that!(answer.unwrap().status, eq(StatusCode::SERVICE_UNAVAILABLE));
    }
    set_fault_on_all(&stage, EngineFault::None);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let mut served = 0;
    for number in 0..6 {
        let answer = send(&stage, 0, &request(format!("served-{number}"), "acme")).await;
        served += usize::from(answer.unwrap().status == StatusCode::OK);
    }
    expect_that!(served, eq(6));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn quota_refusal_is_explained_by_its_log_line() {
    let tenants = [tenant("acme", quota(1, 0))];
    let mut stage = stage("quota-log", &plan(&tenants)).await;
    wait_until_all_joined(&stage).await;
    for number in 0..20 {
        drop(send(&stage, 0, &request(format!("r{number}"), "acme")).await);
    }
    let is_refusal = |line: &&str| line.contains("quota: refused");
    crate::support::wait_until("a refusal", || {
        let log = stage.daemons[0].log().unwrap();
        log.lines().any(|line| is_refusal(&line))
    })
    .await;
    let log = stage.daemons[0].log().unwrap();
    let line = log.lines().find(is_refusal).unwrap();
    for part in [
        "\"request\":\"r",
        "acme",
        "credit",
        "grant_age",
        "burst",
        "wait",
    ] {
        expect_that!(line, contains_substring(part));
    }
    // A lowered quota is in force everywhere soon.
    stage.manifest.version = ManifestVersion(stage.manifest.version.0 + 1);
    let raised = [tenant("acme", quota(1_000, 100))];
    stage.store.put_manifest_of(&stage.manifest, &raised);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let answer = send(&stage, 0, &request("raised".to_owned(), "acme")).await;
    expect_that!(answer.unwrap().status, eq(StatusCode::OK));
}
